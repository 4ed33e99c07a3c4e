"""Events, metrics and spans."""

from daisywharf._signals._events import Event
from daisywharf._signals._log import configure_events, log_event

__all__ = ["Event", "configure_events", "log_event"]
