"""The routes of a daemon's HTTP, for callers, targets and operators."""

from typing import TYPE_CHECKING, Final

from daisywharf._call._exchange import CallReply
from daisywharf._call._wsgi import Environ, body_of
from daisywharf._daemon._announcement import read_announcement, target_from
from daisywharf._daemon._entry import ENTRY_PREFIX, enter_call
from daisywharf._daemon._forwarding import host_gate
from daisywharf._daemon._http import Routes, json_reply
from daisywharf._daemon._metrics import metrics_reply
from daisywharf._daemon._status import AnnouncementTaken, DaemonStatus, LinkStatus
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import TargetId
from daisywharf._topology import GateHost, Target

if TYPE_CHECKING:
    from daisywharf._daemon._daemon import Daemon

RENEW_AFTER_S: Final = 1.0
ASK_TIMEOUT_S: Final = 5.0
TARGETS_PREFIX: Final = "/targets/"
DRAIN_SUFFIX: Final = "/drain"
DRAIN_RETRY_AFTER_S: Final = 1.0


def routes_of(daemon: "Daemon") -> Routes:
    """Return the routes of a daemon."""
    routes = Routes(find_gate=daemon.gates.gate_by_id.get)
    routes.route_by_path["POST /announce"] = lambda environ: _announce(daemon, environ)
    routes.route_by_path["POST /withdraw"] = lambda environ: _withdraw(daemon, environ)
    routes.route_by_path["GET /healthz"] = lambda environ: json_reply({"status": "serving"})
    routes.route_by_path["GET /status"] = lambda environ: json_reply(status_of(daemon))
    routes.route_by_path["GET /metrics"] = lambda environ: metrics_reply(daemon)
    routes.route_by_path["GET /targets"] = lambda environ: json_reply(_targets(daemon))
    routes.route_by_prefix[ENTRY_PREFIX] = lambda environ: _enter(daemon, environ)
    return routes


def status_of(daemon: "Daemon") -> DaemonStatus:
    """Describe a daemon for operators."""
    counts = daemon.links.counts
    snapshot = daemon.holder.current
    member = daemon.running.member
    return DaemonStatus(
        vm=snapshot.vm,
        zone=snapshot.zone,
        incarnation=member.incarnation,
        is_draining=daemon.is_draining,
        targets=tuple(target.target_id for target in _targets(daemon)),
        links=LinkStatus(
            frames_in=counts.frames_in,
            frames_out=counts.frames_out,
            bytes_in=counts.bytes_in,
            bytes_out=counts.bytes_out,
            refused_peers=counts.refused_peers,
            bad_frames=counts.bad_frames,
            silent_links=counts.silent_links,
        ),
    )


def _targets(daemon: "Daemon") -> list[Target]:
    by_service = daemon.holder.current.targets_by_service
    return [target for targets in by_service.values() for target in targets]


def _enter(daemon: "Daemon", environ: Environ) -> CallReply:
    if daemon.is_draining:
        message = f"the daemon of {daemon.settings.vm} is stopping; enter through another VM"
        raise RequestError(ErrorKind.DRAINING, message, retry_after_s=DRAIN_RETRY_AFTER_S)
    with daemon.entered:
        return enter_call(daemon.caller, environ)


def _announce(daemon: "Daemon", environ: Environ) -> CallReply:
    announcement = read_announcement(body_of(environ))
    settings = daemon.settings
    target = target_from(announcement, vm=settings.vm, zone=settings.zone, http=daemon.http.address)
    if target.gate is GateHost.DAEMON:
        host_gate(daemon.gates, target, local=announcement.address)
    daemon.running.fleet.announce(target).get(timeout=ASK_TIMEOUT_S)
    return json_reply(AnnouncementTaken(renew_after_s=RENEW_AFTER_S))


def _withdraw(daemon: "Daemon", environ: Environ) -> CallReply:
    target_id = TargetId(read_announcement(body_of(environ)).target_id)
    gate = daemon.gates.gate_by_id.get(target_id)
    if gate is not None:
        gate.drain()
    daemon.running.fleet.withdraw(target_id).get(timeout=ASK_TIMEOUT_S)
    return json_reply(AnnouncementTaken(renew_after_s=0.0))
