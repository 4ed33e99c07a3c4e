"""The metrics of a daemon."""

from typing import TYPE_CHECKING, Final

from daisywharf._call._exchange import CallReply
from daisywharf._daemon._platform_actor import PlatformCounts
from daisywharf._fleet._state import CopyState, FleetStatus
from daisywharf._signals._counts import RequestCounts
from daisywharf._signals._gate_metrics import gate_metrics, gate_stats
from daisywharf._signals._metrics import Metric, Sample, counter, gauge, render
from daisywharf._signals._process import process_stats

if TYPE_CHECKING:
    from daisywharf._daemon._daemon import Daemon

ACTOR_TIMEOUT_S: Final = 5.0


def metrics_reply(daemon: "Daemon") -> CallReply:
    """Return all metrics of a daemon as an answer."""
    exposition = render(metrics_of(daemon))
    return CallReply(200, {"Content-Type": exposition.content_type}, exposition.body)


def metrics_of(daemon: "Daemon") -> list[Metric]:
    """Return all metrics of a daemon."""
    fleet_status = daemon.running.fleet.view(None).get(timeout=ACTOR_TIMEOUT_S).status
    gates = [gate_stats(gate) for gate in list(daemon.gates.gate_by_id.values())]
    return [
        *_request_metrics(daemon, daemon.caller.counts),
        *gate_metrics(gates),
        *_link_metrics(daemon),
        *_fleet_metrics(daemon, fleet_status),
        *_platform_metrics(daemon.platform_counts, fleet_status),
        *_process_metrics(),
    ]


def _request_metrics(daemon: "Daemon", counts: RequestCounts) -> list[Metric]:
    samples = [
        Sample(
            count,
            {
                "customer": labels.customer,
                "call_class": labels.call_class,
                "outcome": labels.outcome,
            },
        )
        for labels, count in sorted(counts.count_by_labels.copy().items())
    ]
    entered = Sample(sum(sample.value for sample in samples) + daemon.entered_in_flight.count)
    return [
        counter("daisywharf_requests_total", "Requests entered, by how they ended.", *samples),
        counter("daisywharf_requests_entered_total", "Requests entered.", entered),
        gauge(
            "daisywharf_requests_in_flight",
            "Requests entered and not yet answered.",
            Sample(daemon.entered_in_flight.count),
        ),
        counter(
            "daisywharf_retries_total",
            "Attempts after the first of a call.",
            Sample(daemon.caller.retries),
        ),
    ]


def _link_metrics(daemon: "Daemon") -> list[Metric]:
    counts = daemon.links.counts

    def by_direction(received: int, transmitted: int) -> tuple[Sample, Sample]:
        return Sample(received, {"direction": "in"}), Sample(transmitted, {"direction": "out"})

    return [
        counter(
            "daisywharf_link_frames_total",
            "Frames on links.",
            *by_direction(counts.frames_in, counts.frames_out),
        ),
        counter(
            "daisywharf_link_bytes_total",
            "Bytes of frames on links.",
            *by_direction(counts.bytes_in, counts.bytes_out),
        ),
        counter(
            "daisywharf_link_refused_peers_total",
            "Peers that could not prove a key.",
            Sample(counts.refused_peers),
        ),
        counter(
            "daisywharf_link_bad_frames_total",
            "Frames that could not be read.",
            Sample(counts.bad_frames),
        ),
        counter(
            "daisywharf_link_silent_total",
            "Links that were replaced because they went silent.",
            Sample(counts.silent_links),
        ),
        gauge("daisywharf_links_open", "Open links.", Sample(len(daemon.links.link_by_address))),
    ]


def _fleet_metrics(daemon: "Daemon", status: FleetStatus) -> list[Metric]:
    snapshot = daemon.holder.current
    targets = sum(len(targets) for targets in snapshot.targets_by_service.values())
    zones = [Sample(int(zone.is_heard), {"zone": zone.zone}) for zone in status.zones]
    is_confirmed = status.copy_state is not CopyState.UNCONFIRMED
    return [
        counter(
            "daisywharf_snapshots_total", "Snapshots handed to callers.", Sample(snapshot.sequence)
        ),
        gauge(
            "daisywharf_fleet_daemons",
            "Daemons of this zone, this one included.",
            Sample(status.daemons_in_zone),
        ),
        gauge(
            "daisywharf_fleet_daemons_suspected",
            "Daemons of this zone that don't answer.",
            Sample(len(status.suspects)),
        ),
        gauge("daisywharf_fleet_targets", "Targets that may be called.", Sample(targets)),
        gauge(
            "daisywharf_fleet_services",
            "Services with targets.",
            Sample(len(snapshot.targets_by_service)),
        ),
        gauge("daisywharf_fleet_zone_heard", "Whether another zone is heard.", *zones),
        gauge("daisywharf_contracts", "Contracts in force.", Sample(status.contract_count)),
        gauge(
            "daisywharf_contracts_newest_version",
            "Newest version of any contract.",
            Sample(status.newest_version),
        ),
        gauge(
            "daisywharf_contracts_confirmed",
            "Whether this copy of the contracts is confirmed.",
            Sample(int(is_confirmed)),
        ),
        gauge(
            "daisywharf_draining",
            "Whether this daemon is stopping.",
            Sample(int(daemon.is_draining)),
        ),
    ]


def _platform_metrics(counts: PlatformCounts, status: FleetStatus) -> list[Metric]:
    calls = counts.calls.count_by_outcome.copy()
    failures = counts.failures.count_by_outcome.copy()
    age_s = status.platform_word_age_s
    return [
        counter(
            "daisywharf_platform_calls_total", "Calls to the platform.", *_action_samples(calls)
        ),
        counter(
            "daisywharf_platform_failures_total",
            "Calls to the platform that failed.",
            *_action_samples(failures),
        ),
        gauge(
            "daisywharf_platform_word_age_seconds",
            "Since the platform was last heard, here or through peers; absent where it never was.",
            *(() if age_s is None else (Sample(age_s),)),
        ),
    ]


def _action_samples(count_by_action: dict[str, int]) -> list[Sample]:
    return [Sample(count, {"action": action}) for action, count in sorted(count_by_action.items())]


def _process_metrics() -> list[Metric]:
    stats = process_stats()
    threads = [
        Sample(cpu_s, {"thread": thread}) for thread, cpu_s in sorted(stats.cpu_s_by_thread.items())
    ]
    return [
        counter("process_cpu_seconds_total", "Processor time of the process.", Sample(stats.cpu_s)),
        counter(
            "daisywharf_thread_cpu_seconds_total",
            "Processor time of the threads that live, by their kind.",
            *threads,
        ),
        gauge("process_resident_memory_bytes", "Resident memory.", Sample(stats.resident_bytes)),
        gauge("process_open_fds", "Open files and sockets.", Sample(stats.open_files)),
    ]
