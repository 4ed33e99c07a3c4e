"""Write events to standard output, one JSON line each, without ever waiting for the reader."""

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Final

import msgspec

from daisywharf._signals._events import Event, FieldValue, clean_field, message_of
from daisywharf._signals._log import set_writer

FLUSH_S: Final = 0.1  # one write for all lines of this time
MOST_HELD_BYTES: Final = 262_144


class LogWriter:
    """Hold the lines that wait to be written, and how many were dropped."""

    def __init__(self, context: dict[str, str], *, wall_ms: Callable[[], int]) -> None:
        self.context = context
        self.wall_ms = wall_ms
        self.dropped = 0
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._file = sys.stdout.fileno()
        self._is_due = False

    def start(self) -> None:
        """Take all events from now on."""
        os.set_blocking(self._file, False)
        set_writer(self.write)

    def write(self, event: Event, fields: dict[str, FieldValue]) -> None:
        """Hold an event until the next flush; drop it where too much is held."""
        whole = self.context | fields
        cleaned = {name: clean_field(value) for name, value in whole.items()}
        line = {
            "time": self.wall_ms() / 1000.0,
            "number": event.value.number,
            "event": event.label,
            "level": event.value.level.value,
            "message": message_of(event, whole),
            "fields": cleaned,
        }
        encoded = msgspec.json.encode(line) + b"\n"
        if self._held_bytes + len(encoded) > MOST_HELD_BYTES:
            self.dropped += 1
            return
        self._held.append(encoded)
        self._held_bytes += len(encoded)
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Write what is held as far as the reader takes it."""
        self._is_due = False
        if self.dropped:
            note = {"event": "log-lines-dropped", "dropped": self.dropped}
            self._held.append(msgspec.json.encode(note) + b"\n")
            self.dropped = 0
        data = b"".join(self._held)
        self._held.clear()
        self._held_bytes = 0
        try:
            written = os.write(self._file, data)
        except BlockingIOError:
            written = 0
        except OSError:
            return  # nobody reads any more
        rest = data[written:]
        if rest:
            # Whole lines are kept; the line that was cut is ended by its rest.
            self._held.append(rest)
            self._held_bytes = len(rest)
            self._is_due = True
            asyncio.get_running_loop().call_later(FLUSH_S, self.flush)
