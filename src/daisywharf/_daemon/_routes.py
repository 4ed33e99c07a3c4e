"""The HTTP routes of a daemon for callers, targets and operators."""

from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs

from daisywharf._call._exchange import CallReply
from daisywharf._call._snapshot import is_ready
from daisywharf._call._wsgi import Environ, body_of
from daisywharf._daemon._announcement import (
    Announcement,
    check_is_on_this_vm,
    read_announcement,
    target_from,
)
from daisywharf._daemon._entry import ENTRY_PREFIX, enter_call
from daisywharf._daemon._fleet_actor import FleetView
from daisywharf._daemon._forwarding import host_gate
from daisywharf._daemon._http import Routes, json_reply
from daisywharf._daemon._in_force import ContractInForce, ZoneCount
from daisywharf._daemon._links import LinkCounts
from daisywharf._daemon._metrics import metrics_reply
from daisywharf._daemon._onward import ONWARD_PREFIX, call_onward
from daisywharf._daemon._order_routes import add_order_routes
from daisywharf._daemon._status import (
    AnnouncementAccepted,
    DaemonStatus,
    DrainAccepted,
    Health,
    HealthState,
    LinkStatus,
)
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CustomerId, TargetId
from daisywharf._signals import Event, log_event
from daisywharf._topology import GateHost, Target

if TYPE_CHECKING:
    from daisywharf._daemon._daemon import Daemon

RENEW_AFTER_S: Final = 1.0
LOOPBACK_HOSTS: Final = ("127.0.0.1", "::1")
ACTOR_TIMEOUT_S: Final = 5.0
TARGETS_PREFIX: Final = "/targets/"
DRAIN_SUFFIX: Final = "/drain"
DRAIN_RETRY_AFTER_S: Final = 1.0


def routes_of(daemon: "Daemon") -> Routes:
    """Return the routes of a daemon."""
    routes = Routes(find_gate=daemon.gates.gate_by_id.get)
    routes.route_by_path["POST /announce"] = lambda environ: _announce(daemon, environ)
    routes.route_by_path["POST /withdraw"] = lambda environ: _withdraw(daemon, environ)
    routes.route_by_path["GET /healthz"] = lambda environ: _health(daemon)
    routes.route_by_path["GET /status"] = lambda environ: _status(daemon, environ)
    routes.route_by_path["GET /metrics"] = lambda environ: metrics_reply(daemon)
    routes.route_by_path["GET /targets"] = lambda environ: json_reply(_targets(daemon))
    add_order_routes(daemon, routes)
    routes.route_by_prefix[TARGETS_PREFIX] = lambda environ: _drain(daemon, environ)
    routes.route_by_prefix[ONWARD_PREFIX] = lambda environ: call_onward(
        daemon.caller, daemon.gates, environ
    )
    routes.route_by_prefix[ENTRY_PREFIX] = lambda environ: _enter(daemon, environ)
    return routes


def status_of(daemon: "Daemon", customer: CustomerId | None = None) -> DaemonStatus:
    """Return a daemon's status, with the zone counts of one customer's contract."""
    view: FleetView = daemon.running.fleet.view(customer).get(timeout=ACTOR_TIMEOUT_S)
    snapshot = daemon.holder.current
    return DaemonStatus(
        vm=snapshot.vm,
        zone=snapshot.zone,
        incarnation=daemon.running.member.incarnation,
        is_draining=daemon.is_draining,
        is_confirmed=view.is_confirmed,
        in_force=tuple(
            ContractInForce(name, contract.version, _zone_counts(view) if name == customer else ())
            for name, contract in sorted(snapshot.contract_by_customer.items())
        ),
        target_count=len(_targets(daemon)),
        snapshot_sequence=snapshot.sequence,
        links=_link_status(daemon.links.counts),
        fleet=view.status,
    )


def _zone_counts(view: FleetView) -> tuple[ZoneCount, ...]:
    return tuple(
        ZoneCount(zone.zone, zone.daemons_known, zone.daemons_confirmed, zone.is_reachable)
        for zone in view.zones
    )


def _link_status(counts: LinkCounts) -> LinkStatus:
    return LinkStatus(
        frames_in=counts.frames_in,
        frames_out=counts.frames_out,
        bytes_in=counts.bytes_in,
        bytes_out=counts.bytes_out,
        refused_peers=counts.refused_peers,
        bad_frames=counts.bad_frames,
        silent_links=counts.silent_links,
    )


def _health(daemon: "Daemon") -> CallReply:
    if daemon.is_draining:
        return json_reply(Health(HealthState.DRAINING), status=503)
    if not is_ready(daemon.holder.current):
        return json_reply(Health(HealthState.STARTING), status=503)
    return json_reply(Health(HealthState.SERVING))


def _status(daemon: "Daemon", environ: Environ) -> CallReply:
    query = parse_qs(environ.get("QUERY_STRING", ""))
    customer = query.get("customer")
    return json_reply(status_of(daemon, CustomerId(customer[0]) if customer else None))


def _drain(daemon: "Daemon", environ: Environ) -> CallReply:
    path = environ["PATH_INFO"]
    target_id = TargetId(path.removeprefix(TARGETS_PREFIX).removesuffix(DRAIN_SUFFIX))
    if not path.endswith(DRAIN_SUFFIX) or environ["REQUEST_METHOD"] != "POST":
        message = f"no route for {path}; drain a target with POST /targets/ID/drain"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    gate = daemon.gates.gate_by_id.get(target_id)
    if gate is not None:
        gate.drain()
    is_known = daemon.running.fleet.request_drain(target_id).get(timeout=ACTOR_TIMEOUT_S)
    if not is_known:
        message = f"no target {target_id!r} is known here; see `daisywharf target list`"
        raise RequestError(ErrorKind.NO_TARGET, message)
    return json_reply(DrainAccepted(target_id))


def _targets(daemon: "Daemon") -> list[Target]:
    by_service = daemon.holder.current.targets_by_service
    return [target for targets in by_service.values() for target in targets]


def _enter(daemon: "Daemon", environ: Environ) -> CallReply:
    if daemon.is_draining:
        message = (
            f"the daemon of {daemon.settings.vm} is stopping; "
            "send the request to the daemon of another VM"
        )
        raise RequestError(ErrorKind.DRAINING, message, retry_after_s=DRAIN_RETRY_AFTER_S)
    with daemon.entered_in_flight:
        return enter_call(daemon.caller, environ)


def _announce(daemon: "Daemon", environ: Environ) -> CallReply:
    announcement = _read_announcement(daemon, environ)
    settings = daemon.settings
    target = target_from(announcement, vm=settings.vm, zone=settings.zone, http=daemon.http.address)
    if target.gate is GateHost.DAEMON:
        host_gate(daemon.gates, target, local_address=announcement.address)
    is_drained = daemon.running.fleet.announce(target).get(timeout=ACTOR_TIMEOUT_S)
    gate = daemon.gates.gate_by_id.get(target.target_id)
    if is_drained and gate is not None:
        gate.drain()
    return json_reply(AnnouncementAccepted(RENEW_AFTER_S, is_drained))


def _read_announcement(daemon: "Daemon", environ: Environ) -> Announcement:
    settings = daemon.settings
    own_hosts = frozenset({settings.http.host, settings.links.host, *LOOPBACK_HOSTS})
    try:
        announcement = read_announcement(body_of(environ))
        check_is_on_this_vm(
            own_hosts, sender=environ["REMOTE_ADDR"], announced=announcement.address.host
        )
        return announcement
    except RequestError as error:
        log_event(Event.ANNOUNCEMENT_REFUSED, error=str(error))
        raise


def _withdraw(daemon: "Daemon", environ: Environ) -> CallReply:
    target_id = TargetId(_read_announcement(daemon, environ).target_id)
    gate = daemon.gates.gate_by_id.get(target_id)
    if gate is not None:
        gate.drain()
    daemon.running.fleet.withdraw(target_id).get(timeout=ACTOR_TIMEOUT_S)
    return json_reply(AnnouncementAccepted(renew_after_s=0.0))
