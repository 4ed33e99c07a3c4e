"""Write events to standard output as JSON lines, without ever blocking on the reader."""

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Final

import msgspec

from daisywharf._signals._events import Event, FieldValue, format_message, sanitize_field
from daisywharf._signals._log import left_out_by_event, set_writer
from daisywharf._signals._metrics import Metric, Sample, counter

FLUSH_PERIOD_S: Final = 0.1  # lines of one period are written together
MAX_BUFFERED_BYTES: Final = 262_144
MS_PER_S: Final = 1_000.0


class LogWriter:
    """Buffer lines until they are written, and count those dropped."""

    def __init__(
        self, context: dict[str, str], *, wall_ms: Callable[[], int], file: int | None = None
    ) -> None:
        self.context = context
        self.wall_ms = wall_ms
        self.dropped = 0
        self._unreported_drops = 0
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._file = sys.stdout.fileno() if file is None else file
        self._is_flush_scheduled = False

    def start(self) -> None:
        """Receive all events from now on."""
        os.set_blocking(self._file, False)
        set_writer(self.write)

    def write(self, event: Event, fields: dict[str, FieldValue]) -> None:
        """Buffer an event until the next flush; drop it if the buffer is full."""
        encoded = self._encode(event, fields)
        if self._buffered_bytes + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_PERIOD_S, self.flush)

    def _encode(self, event: Event, fields: dict[str, FieldValue]) -> bytes:
        whole = self.context | fields
        line = {
            "time": self.wall_ms() / MS_PER_S,
            "number": event.value.number,
            "event": event.label,
            "level": event.value.level.value,
            "message": format_message(event, whole),
            "fields": {name: sanitize_field(value) for name, value in whole.items()},
        }
        return msgspec.json.encode(line) + b"\n"

    def flush(self) -> None:
        """Write the buffered lines, as many as the reader accepts."""
        self._is_flush_scheduled = False
        if self._unreported_drops:
            self._buffer.append(
                self._encode(Event.LOG_LINES_DROPPED, {"dropped": self._unreported_drops})
            )
            self._unreported_drops = 0
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        try:
            written = os.write(self._file, data)
        except BlockingIOError:
            written = 0
        except OSError:
            return  # the reader has closed the pipe
        rest = data[written:]
        if rest:
            # Nothing of the rest is dropped, so that a partly written line is completed.
            self._buffer.append(rest)
            self._buffered_bytes = len(rest)
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_PERIOD_S, self.flush)

    def metrics(self) -> list[Metric]:
        """Return the metrics of lines that were left out or dropped."""
        left_out = [
            Sample(count, {"event": event.label}) for event, count in left_out_by_event().items()
        ]
        return [
            counter("daisywharf_log_lines_left_out_total", "Lines beyond their budget.", *left_out),
            counter(
                "daisywharf_log_lines_dropped_total",
                "Lines dropped since the reader of the log was too slow.",
                Sample(self.dropped),
            ),
        ]
