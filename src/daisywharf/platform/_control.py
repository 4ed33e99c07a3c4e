"""Answer the platform's own calls to a daemon: readiness, metrics and target announcements."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import ServiceName, TargetId
from daisywharf._mesh._announcements import Verdict
from daisywharf._mesh._http_server import Exchange, Handler
from daisywharf._mesh._model import Readiness, TargetAnnouncement, TargetDeparture
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
    handle_announcement: Callable[[TargetAnnouncement], Verdict],
    handle_departure: Callable[[TargetDeparture], Verdict],
    is_departure_kept: Callable[[], Awaitable[bool]],
) -> Handler:
    """Return a handler for heartbeats and deregistrations of this VM's target.

    `service` returns this VM's service. A message that the target leaves is acknowledged once
    `is_departure_kept` says that a restart of this process won't forget it.
    """

    def handle(exchange: Exchange) -> None:
        path = exchange.request_target.decode("latin-1").partition("?")[0]
        try:
            message = _read_message(path, exchange.body, service())
        except RequestError as error:
            _respond_with_error(exchange, error)
            return
        if message is None:
            exchange.respond(404)
            return
        if isinstance(message, TargetDeparture):
            verdict = handle_departure(message)
        else:
            verdict = handle_announcement(message)
        if verdict is Verdict.BORN_IN_THE_FUTURE:
            _respond_with_error(exchange, _future_error(message.target_id))
            return
        if isinstance(message, TargetAnnouncement) and message.readiness is Readiness.READY:
            _acknowledge(exchange)
            return
        asyncio.ensure_future(_acknowledge_if_kept(exchange, message.target_id, is_departure_kept))

    return handle


async def _acknowledge_if_kept(
    exchange: Exchange, target_id: TargetId, is_departure_kept: Callable[[], Awaitable[bool]]
) -> None:
    if await is_departure_kept():
        _acknowledge(exchange)
    else:
        error = RequestError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"the departure of target {target_id} is in force here, but neither the store nor "
            "another daemon could be told; announce it again",
        )
        _respond_with_error(exchange, error)


def _future_error(target_id: TargetId) -> RequestError:
    return RequestError(
        ErrorKind.BAD_REQUEST,
        f"target {target_id} says that it began in the future; "
        "use the Unix millisecond of its start",
    )


def _acknowledge(exchange: Exchange) -> None:
    exchange.respond(200, lines=JSON_LINES, body=acknowledgement())


def _respond_with_error(exchange: Exchange, error: RequestError) -> None:
    log_event(Event.ANNOUNCEMENT_REFUSED, error=str(error))
    exchange.respond(error.answer.status, lines=JSON_LINES, body=error_body(str(error)))


def _refuse_other_service(announcement: TargetAnnouncement, service: ServiceName) -> None:
    """Refuse the announcement of a target of another service than this VM's."""
    raise RequestError(
        ErrorKind.BAD_REQUEST,
        f"target {announcement.target_id} belongs to service {announcement.service!r}, "
        f"but this VM runs {service!r}; announce it to a daemon of its own service",
    )


def _read_message(
    path: str, body: bytes, service: ServiceName
) -> TargetAnnouncement | TargetDeparture | None:
    """Decode a heartbeat or a deregistration; return None for another path.

    Raises `RequestError` if the message is invalid or of another service's target.
    """
    target_id = match_target_id(path, DEREGISTER_PATH)
    if target_id is not None:
        return read_deregistration(target_id, body)
    target_id = match_target_id(path, HEARTBEAT_PATH)
    if target_id is None:
        return None
    announcement = read_heartbeat(target_id, body)
    if announcement.service != service:
        _refuse_other_service(announcement, service)
    return announcement
