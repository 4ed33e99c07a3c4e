"""Records of what clients and targets observed in a soak, and checks of the promises on them."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

import msgspec

from benchmarks._announcement_ledger import (
    AnnouncementLedger,
    ExcusedInterval,
    broken_announcements,
)

# From the site files: `drainMs`, `configApplyMs`, `stabilityWindowMs`, `gracePeriodS`, the
# retry budget.
DRAIN_S: Final = 2.0
CONFIG_APPLY_S: Final = 2.0
STABILITY_WINDOW_S: Final = 3.0
GRACE_S: Final = 6.0
RETRY_RATIO: Final = 0.2
RETRY_WINDOW_S: Final = 10.0
RETRY_EXTRA: Final = 30.0
REFUSAL_STATUSES: Final = frozenset({503})
BAD_GATEWAY: Final = 502


class Run(msgspec.Struct):
    """Record one run of a request at a target; times are monotonic, in seconds."""

    target: str
    service: str
    started_at: float
    answered_at: float | None = None


class SentRequest(msgspec.Struct):
    """Record one request of a client and its outcome.

    `status` 0 is a lost connection. `promises_not_run` marks a refusal with `Retry-After`, which
    says that the request didn't run. `is_whole` tells whether the body is that of a target that
    ran the request.
    """

    request: str
    vm: str
    process: int
    path: str
    is_idempotent: bool
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    promises_not_run: bool = False
    is_whole: bool = False


class AcknowledgedLeaving(msgspec.Struct, frozen=True):
    """Record when a daemon acknowledged that a target leaves."""

    target: str
    acknowledged_at: float


class AppliedVersion(msgspec.Struct, frozen=True):
    """Record when the store acknowledged a version, and the path prefix that only it serves.

    `services_by_path` gives, for the paths whose route changes between versions, the services
    at which this version lets requests run.
    """

    prefix: str
    acknowledged_at: float
    services_by_path: dict[str, frozenset[str]] = {}


class FaultRecord(msgspec.Struct):
    """Record one fault: its name, its VM (`*` for all), its begin and its end.

    `is_of_target` marks faults that don't affect the daemon, its links or the store.
    """

    name: str
    vm: str
    began_at: float
    is_planned: bool = False
    ended_at: float = float("inf")
    is_of_target: bool = False


class Ledger:
    """Hold everything that was observed in one soak."""

    def __init__(self) -> None:
        self.runs_by_request: dict[str, list[Run]] = defaultdict(list)
        self.sent: list[SentRequest] = []
        self.acknowledged_leavings: list[AcknowledgedLeaving] = []
        self.versions: list[AppliedVersion] = []
        self.faults: list[FaultRecord] = []
        self.announcements = AnnouncementLedger()
        # The VM and the daemon's process that a request was sent to, and when it was sent.
        self.origin_by_request: dict[str, tuple[str, int, float]] = {}
        self.process_by_vm: dict[str, int] = {}


def broken_promises(ledger: Ledger) -> list[str]:
    """Return a line for each broken promise, with the ids that show it."""
    return [
        *_find_altered_answers(ledger),
        *_find_double_runs(ledger),
        *_find_runs_of_refused(ledger),
        *_find_runs_after_leaving(ledger),
        *_find_cut_by_stop(ledger),
        *_find_failed_by_stop(ledger),
        *_find_retries_over_budget(ledger),
        *_find_wrong_versions(ledger),
        *_find_runs_at_wrong_services(ledger),
        *_find_broken_announcements(ledger),
    ]


def _find_broken_announcements(ledger: Ledger) -> list[str]:
    """Find targets that got requests beyond the limit or the leaving that they announced.

    Planned stops aren't excused: a restarted daemon counts as another process.
    """
    ledger.announcements.excused_intervals = [
        ExcusedInterval(vm, fault.began_at, fault.ended_at)
        for fault in ledger.faults
        if not (fault.is_of_target or fault.is_planned or fault.name.startswith("store"))
        for vm in _vms_of(ledger, fault)
    ]
    return broken_announcements(ledger.announcements)


def _vms_of(ledger: Ledger, fault: FaultRecord) -> set[str]:
    """Return the VMs that a fault affects."""
    return {sent.vm for sent in ledger.sent} if fault.vm == "*" else {fault.vm}


def _find_altered_answers(ledger: Ledger) -> list[str]:
    """Find successful answers whose body isn't that of a target that ran the request."""
    return [
        f"WHOLE {sent.request}: {sent.status} at {sent.vm} with a body that isn't its target's"
        for sent in ledger.sent
        if sent.status is not None and 200 <= sent.status < 300 and not sent.is_whole
    ]


def _find_double_runs(ledger: Ledger) -> list[str]:
    """Find requests that aren't idempotent and ran more than once."""
    return [
        f"ONCE {sent.request}: ran at"
        f" {[run.target for run in ledger.runs_by_request[sent.request]]}"
        for sent in ledger.sent
        if not sent.is_idempotent and len(ledger.runs_by_request.get(sent.request, ())) > 1
    ]


def _find_runs_of_refused(ledger: Ledger) -> list[str]:
    """Find requests that ran although their refusal says that they didn't."""
    return [
        f"NOT-RUN {sent.request}: {sent.status} at {sent.vm} says that it didn't run,"
        f" but it ran at {runs[0].target}"
        for sent in ledger.sent
        if sent.promises_not_run and (runs := ledger.runs_by_request.get(sent.request))
    ]


def _find_runs_after_leaving(ledger: Ledger) -> list[str]:
    """Find runs that began more than `DRAIN_S` after the target's leaving was acknowledged."""
    left_at = {leaving.target: leaving.acknowledged_at for leaving in ledger.acknowledged_leavings}
    return [
        f"DRAIN {request}: began at {run.target} {late_s:.2f} s after its leaving was acknowledged"
        for request, runs in ledger.runs_by_request.items()
        for run in runs
        if (late_s := run.started_at - left_at.get(run.target, float("inf"))) > DRAIN_S
    ]


def _find_cut_by_stop(ledger: Ledger) -> list[str]:
    """Find requests that were pending when their daemon got SIGTERM and lost their connection."""
    lines = []
    for stop in ledger.faults:
        if stop.name != "stop-daemon":
            continue
        for sent in ledger.sent:
            ended_at = sent.ended_at or float("inf")
            is_pending = sent.vm == stop.vm and sent.sent_at < stop.began_at < ended_at
            if not is_pending or sent.status != 0:
                continue
            if not _had_unplanned_fault(
                ledger, sent.sent_at - STABILITY_WINDOW_S, ended_at, sent.vm, includes_store=False
            ):
                after_stop_s = ended_at - stop.began_at
                lines.append(
                    f"STOP {sent.request}: cut at {sent.vm} {after_stop_s:.2f} s after SIGTERM"
                )
    return lines


def _find_failed_by_stop(ledger: Ledger) -> list[str]:
    """Find requests that ran, but got 502 from a daemon within the grace period of its stop."""
    stops = [fault for fault in ledger.faults if fault.name == "stop-daemon"]
    lines = []
    for sent in ledger.sent:
        runs = ledger.runs_by_request.get(sent.request, [])
        if sent.status != BAD_GATEWAY or not runs or sent.ended_at is None:
            continue
        vms = [sent.vm, *(vm_of(run.target) for run in runs)]
        if any(
            _had_unplanned_fault(ledger, sent.sent_at - STABILITY_WINDOW_S, sent.ended_at, vm)
            for vm in vms
        ):
            continue
        lines += [
            f"STOP {sent.request}: failed at {sent.vm} {sent.ended_at - fault.began_at:.2f} s"
            f" after SIGTERM, sent {sent.sent_at - fault.began_at:.2f} s after it"
            for fault in stops
            if fault.vm == sent.vm and fault.began_at < sent.ended_at < fault.began_at + GRACE_S
        ]
    return lines


def vm_of(target: str) -> str:
    """Return the VM of a target, whose name is that of the VM and the incarnation's number."""
    return target.rpartition("-")[0]


def _had_unplanned_fault(
    ledger: Ledger, since: float, until: float, vm: str, *, includes_store: bool = True
) -> bool:
    """Return whether an unplanned fault of a VM, or of the store, overlaps a span of time."""
    return any(
        fault.began_at <= until and fault.ended_at >= since and not fault.is_planned
        for fault in ledger.faults
        if fault.vm in (vm, "*") and (includes_store or not fault.name.startswith("store"))
    )


def _find_retries_over_budget(ledger: Ledger) -> list[str]:
    """Find services that got more retries than the budget allows in any `RETRY_WINDOW_S`."""
    runs_by_service: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for runs in ledger.runs_by_request.values():
        for number, run in enumerate(runs):
            runs_by_service[run.service].append((run.started_at, number > 0))
    lines = []
    for service, service_runs in runs_by_service.items():
        service_runs.sort()
        window_start = 0
        retries = 0
        for index, (at, is_retry) in enumerate(service_runs):
            retries += is_retry
            while service_runs[window_start][0] < at - RETRY_WINDOW_S:
                retries -= service_runs[window_start][1]
                window_start += 1
            first_runs = index + 1 - window_start - retries
            if retries > RETRY_RATIO * first_runs + RETRY_EXTRA:
                lines.append(
                    f"BUDGET {service}: {retries} retries to {first_runs} first runs by {at:.1f} s"
                )
                break
    return lines


def _find_wrong_versions(ledger: Ledger) -> list[str]:
    """Find versions late at daemons without faults, and returns to an older version at any."""
    lines = []
    index_by_prefix = {version.prefix: index for index, version in enumerate(ledger.versions)}
    newest_before = _newest_before(ledger, index_by_prefix)
    for sent in ledger.sent:
        index = index_by_prefix.get(_prefix_of(sent))
        if index is None or not sent.status:
            continue
        is_served = sent.status != 404
        if is_served and index < newest_before.get(sent.request, 0):
            lines.append(f"CONFIG {sent.request}: {sent.vm} returned to {ledger.versions[index]}")
        expected = _version_in_force(ledger, sent)
        if expected is None or not _is_undisturbed(ledger, sent):
            continue
        if is_served != (index == expected):
            lines.append(
                f"CONFIG {sent.request}: {sent.status} for {sent.path} at {sent.vm},"
                f" in force is {ledger.versions[expected].prefix}"
            )
    return lines


def _find_runs_at_wrong_services(ledger: Ledger) -> list[str]:
    """Find runs at a service to which no version possibly in force routes the request."""
    lines = []
    for sent, allowed in requests_with_allowed_services(ledger):
        lines += [
            f"CONFIG {sent.request}: {sent.path} ran at {run.service} from {sent.vm},"
            f" allowed are {sorted(allowed)}"
            for run in ledger.runs_by_request.get(sent.request, ())
            if run.service not in allowed
        ]
    return lines


def requests_with_allowed_services(ledger: Ledger) -> Iterator[tuple[SentRequest, frozenset[str]]]:
    """Yield the requests whose route changes between versions, and where each may run."""
    for sent in ledger.sent:
        path = _prefix_of(sent)
        ended_at = sent.ended_at or float("inf")
        index_in_force = 0
        possible_versions: list[AppliedVersion] = []
        for index, version in enumerate(ledger.versions):
            if version.acknowledged_at + CONFIG_APPLY_S < sent.sent_at:
                index_in_force = index
            if version.acknowledged_at <= ended_at:
                possible_versions.append(version)
        if (
            possible_versions
            and path in possible_versions[0].services_by_path
            and _is_undisturbed(ledger, sent)
        ):
            services = [
                version.services_by_path[path] for version in possible_versions[index_in_force:]
            ]
            yield sent, frozenset[str]().union(*services)


def _is_undisturbed(ledger: Ledger, sent: SentRequest) -> bool:
    """Return whether the VM's daemon and the store had no fault for a stability window before."""
    return not any(
        fault.began_at <= sent.sent_at and fault.ended_at >= sent.sent_at - STABILITY_WINDOW_S
        for fault in ledger.faults
        if fault.vm in (sent.vm, "*") and not fault.is_of_target
    )


def _newest_before(ledger: Ledger, index_by_prefix: dict[str, int]) -> dict[str, int]:
    """Return, by request, the newest version its process had answered with when it was sent.

    The time of sending counts: a request is routed on arrival, however late its answer is.
    """
    events: list[tuple[float, bool, SentRequest]] = []
    for sent in ledger.sent:
        if _prefix_of(sent) in index_by_prefix:
            events.append((sent.sent_at, True, sent))
            if sent.status and sent.status != 404 and sent.ended_at is not None:
                events.append((sent.ended_at, False, sent))
    newest_by_process: dict[int, int] = {}
    newest_before = {}
    for _, is_start, sent in sorted(events, key=lambda event: event[0]):
        newest = newest_by_process.get(sent.process, 0)
        if is_start:
            newest_before[sent.request] = newest
        else:
            newest_by_process[sent.process] = max(newest, index_by_prefix[_prefix_of(sent)])
    return newest_before


def _prefix_of(sent: SentRequest) -> str:
    """Return the first segment of a request's path, between slashes."""
    return f"/{sent.path.split('/')[1]}/"


def _version_in_force(ledger: Ledger, sent: SentRequest) -> int | None:
    """Return the index of the version that must be in force for a request.

    None while a newer version may or may not be in force yet.
    """
    index_in_force = None
    for index, version in enumerate(ledger.versions):
        if version.acknowledged_at + CONFIG_APPLY_S < sent.sent_at:
            index_in_force = index
        elif version.acknowledged_at <= (sent.ended_at or sent.sent_at):
            return None
    return index_in_force
