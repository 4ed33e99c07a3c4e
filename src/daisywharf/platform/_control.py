"""Answer the platform's own calls to a daemon: readiness, metrics and target announcements."""

from collections.abc import Callable
from typing import Final

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import ServiceName, TargetId
from daisywharf._mesh._http_server import Exchange, Handler
from daisywharf._mesh._model import Readiness, TargetAnnouncement
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._signals._metrics import Metric, render
from daisywharf.platform._heartbeats import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    acknowledgement,
    error_body,
    match_target_id,
    read_deregistration,
    read_heartbeat,
)

READINESS_PATH: Final = b"/-/readiness"
JSON_LINES: Final = b"Content-Type: application/json\r\n"


def readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler that answers 200 while clients may send requests here, else 503."""

    def handle(exchange: Exchange) -> None:
        if exchange.request_target.partition(b"?")[0] != READINESS_PATH:
            exchange.respond(404)
        else:
            exchange.respond(200 if is_ready() else 503)

    return handle


def metrics_handler(gather: Callable[[], list[Metric]]) -> Handler:
    """Return a handler that answers with the gathered metrics in the exposition format."""

    def handle(exchange: Exchange) -> None:
        exposition = render(gather())
        lines = f"Content-Type: {exposition.content_type}\r\n".encode()
        exchange.respond(200, lines=lines, body=exposition.body)

    return handle


def control_handler(
    *,
    service: Callable[[], ServiceName],
    last_announcement: Callable[[], TargetAnnouncement | None],
    handle_announcement: Callable[[TargetAnnouncement], object],
) -> Handler:
    """Return a handler for heartbeats and deregistrations of this VM's target.

    `service` returns this VM's service, and `last_announcement` the announcement of its target that
    is in force, or None before the first one.
    """

    def handle(exchange: Exchange) -> None:
        path = exchange.request_target.decode("latin-1").partition("?")[0]
        try:
            announcement = _read_announcement(path, exchange.body, last_announcement())
            if announcement is not None and announcement.service != service():
                _refuse_other_service(announcement, service())
        except RequestError as error:
            log_event(Event.ANNOUNCEMENT_REFUSED, error=str(error))
            exchange.respond(error.answer.status, lines=JSON_LINES, body=error_body(str(error)))
            return
        if announcement is None and match_target_id(path, DEREGISTER_PATH) is None:
            exchange.respond(404)
            return
        if announcement is not None:
            handle_announcement(announcement)
        exchange.respond(200, lines=JSON_LINES, body=acknowledgement())

    return handle


def _refuse_other_service(announcement: TargetAnnouncement, service: ServiceName) -> None:
    """Refuse the announcement of a target of another service than this VM's."""
    raise RequestError(
        ErrorKind.BAD_REQUEST,
        f"target {announcement.target_id} belongs to service {announcement.service!r}, "
        f"but this VM runs {service!r}; announce it to a daemon of its own service",
    )


def _read_announcement(
    path: str, body: bytes, last_announcement: TargetAnnouncement | None
) -> TargetAnnouncement | None:
    """Decode a heartbeat or a deregistration; raise `RequestError` if it is invalid.

    Returns None for another path, and for a deregistration of another target or of an earlier
    incarnation, which is acknowledged but changes nothing.
    """
    target_id = match_target_id(path, HEARTBEAT_PATH)
    if target_id is not None:
        return read_heartbeat(target_id, body)
    target_id = match_target_id(path, DEREGISTER_PATH)
    if (
        target_id is None
        or last_announcement is None
        or last_announcement.target_id != TargetId(target_id)
    ):
        return None
    deregistration = read_deregistration(body)
    if deregistration.born is not None and deregistration.born < last_announcement.born_ms:
        return None
    return TargetAnnouncement(
        target_id=last_announcement.target_id,
        service=last_announcement.service,
        address=last_announcement.address,
        slots=last_announcement.slots,
        readiness=Readiness.LEFT,
        cold_s=0.0,
        born_ms=last_announcement.born_ms,
        # A deregistration without a sequence number follows all earlier announcements.
        sequence=max(last_announcement.sequence + 1, deregistration.sequence or 0),
    )
