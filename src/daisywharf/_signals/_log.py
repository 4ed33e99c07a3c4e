"""Write events through loguru, which is imported only once events are configured."""

import sys
import threading
import time
from collections.abc import Callable
from typing import Any, Final, TextIO

import msgspec

from daisywharf._signals._events import Event, FieldValue, format_message, sanitize_field

BURST_LINES: Final = 20

Write = Callable[[Event, dict[str, FieldValue]], None]


class EventAllowance(msgspec.Struct):
    """Hold one event's token bucket, and how many lines were left out since the last written one.

    `left` is in lines, `refilled_at` in seconds of the monotonic clock.
    """

    left: float
    refilled_at: float
    left_out: int = 0


class EventLimiter:
    """Limit the rate of each event separately, so that a hostile peer can't fill the log."""

    def __init__(self) -> None:
        self.allowance_by_event: dict[Event, EventAllowance] = {}
        self.left_out_by_event: dict[Event, int] = {}


def admit_event(state: EventLimiter, event: Event, *, now: float) -> int | None:
    """Return how many lines of this event were left out before it; None if it is left out too.

    `now` is in seconds of the monotonic clock.
    """
    allowance = state.allowance_by_event.get(event)
    if allowance is None:
        allowance = state.allowance_by_event[event] = EventAllowance(float(BURST_LINES), now)
    gained = max(0.0, now - allowance.refilled_at) * event.value.lines_per_s
    allowance.left = min(float(BURST_LINES), allowance.left + gained)
    allowance.refilled_at = now
    if allowance.left < 1.0:
        allowance.left_out += 1
        state.left_out_by_event[event] = state.left_out_by_event.get(event, 0) + 1
        return None
    allowance.left -= 1.0
    left_out, allowance.left_out = allowance.left_out, 0
    return left_out


class _Log:
    """Hold the writer of events; without one, events are dropped."""

    def __init__(self) -> None:
        self.limiter = EventLimiter()
        self.lock = threading.Lock()
        self.write: Write | None = None


_log: Final = _Log()


def set_writer(write: Write) -> None:
    """Pass each admitted event to `write`, and start with an empty limiter."""
    _log.limiter = EventLimiter()
    _log.write = write


def left_out_by_event() -> dict[Event, int]:
    """Return how many lines of each event were left out since the writer was set."""
    return dict(_log.limiter.left_out_by_event)


def log_event(event: Event, **fields: FieldValue) -> None:
    """Log an event with its fields, unless it exceeds its rate limit."""
    if _log.write is None:
        return
    with _log.lock:
        left_out = admit_event(_log.limiter, event, now=time.monotonic())
    if left_out is None:
        return
    if left_out:
        fields["left_out"] = left_out
    _log.write(event, fields)


def configure_events(
    *,
    is_json: bool,
    level: str,
    stream: TextIO | None = None,
    context: dict[str, str] | None = None,
) -> None:
    """Write events of this level and above to a stream, one per line; by default to standard error.

    `context` is added to the fields of each event, for example the VM and its zone.
    """
    from loguru import logger

    logger.remove()
    logger.add(
        stream or sys.stderr,
        level=level,
        format=_json_line if is_json else _plain_line,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    context_fields = dict(context or {})

    def write(event: Event, fields: dict[str, FieldValue]) -> None:
        all_fields = context_fields | fields
        message = format_message(event, all_fields)
        bound_logger = logger.bind(event=event, fields=all_fields)
        bound_logger.log(event.value.level.value, "{}", message)

    set_writer(write)


def _json_line(record: Any) -> str:
    """Put the JSON line into the record, and return the loguru format that writes it."""
    event = record["extra"]["event"]
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "number": event.value.number,
        "event": event.label,
        "level": event.value.level.value,
        "message": record["message"],
    }
    fields = {name: sanitize_field(value) for name, value in record["extra"]["fields"].items()}
    record["extra"]["line"] = msgspec.json.encode(line | {"fields": fields}).decode()
    return "{extra[line]}\n"


def _plain_line(record: Any) -> str:
    """Put the fields of a plain line into the record, and return the loguru format for them."""
    record["extra"]["number"] = record["extra"]["event"].value.number
    left_out = record["extra"]["fields"].get("left_out")
    record["extra"]["more"] = f" ({left_out} more were left out)" if left_out else ""
    return "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {extra[number]} {message}{extra[more]}\n"
