"""The admission state of one gate: its calls in flight and waiting, windows and levels."""

from typing import Final

import msgspec

from daisywharf._ids import CallClassName, ServiceName
from daisywharf._overload._actions import CallId
from daisywharf._overload._expected import ExpectedKey, ExpectedTimes
from daisywharf._overload._level import Level
from daisywharf._overload._queue import WaitingCall, WaitingQueue
from daisywharf._overload._resend_plan import ResendPlan
from daisywharf._overload._shedding import BUSY_LOAD, Shedding
from daisywharf._overload._window import EntryWindow

# Bounds the memory and the work of a tick; further classes and services have no window.
MAX_WINDOWS: Final = 256
NO_SERVICE: Final = ServiceName("")


class RunningCall(msgspec.Struct):
    """Hold an admitted call; `is_counted` is set once its first release of a slot was counted."""

    started_at: float
    expected_key: ExpectedKey
    window: EntryWindow | None
    is_counted: bool = False


class AdmissionState:
    """Hold one gate's calls in flight, suspended and waiting, and its windows and level.

    `limit` is the number of calls that may run at once. `queue` holds the calls that wait for a
    slot; requests that wait for their window are in the window's own queue.
    """

    def __init__(self, *, slots: int, service: ServiceName = NO_SERVICE) -> None:
        self.slots = slots
        self.limit = float(slots)
        self.service = service
        self.is_draining = False
        self.in_flight_by_id: dict[CallId, RunningCall] = {}
        self.suspended_by_id: dict[CallId, RunningCall] = {}
        self.waiting_by_id: dict[CallId, WaitingCall] = {}
        self.queue = WaitingQueue()
        self.window_by_service: dict[ServiceName, EntryWindow] = {}
        self.window_by_class: dict[CallClassName, EntryWindow] = {}
        self.expected = ExpectedTimes()
        self.shedding = Shedding()
        self.resend_plan = ResendPlan()
        self.ticked_at = float("-inf")


def load_of(state: AdmissionState) -> float:
    """Return the load: calls running and waiting for a slot, over the limit."""
    return (len(state.in_flight_by_id) + state.queue.size) / max(state.limit, 1.0)


def has_slot(state: AdmissionState) -> bool:
    """Return whether a slot is free."""
    return len(state.in_flight_by_id) < state.limit


def window_for(
    state: AdmissionState, call_class: CallClassName, level: Level, *, now: float
) -> EntryWindow | None:
    """Return the window of a call class, and assign it to the service of `level` if that is busier.

    Return None if there are too many windows.
    """
    current = state.window_by_class.get(call_class)
    if current is not None and (current.service == level.service or level.load < BUSY_LOAD):
        return current
    if current is not None and level.load < current.load:
        return current
    window = _get_or_create_window(state, level.service, now=now)
    if window is not None and len(state.window_by_class) < MAX_WINDOWS:
        state.window_by_class[call_class] = window
    return window


def _get_or_create_window(
    state: AdmissionState, service: ServiceName, *, now: float
) -> EntryWindow | None:
    window = state.window_by_service.get(service)
    if window is None:
        if len(state.window_by_service) >= MAX_WINDOWS:
            return None
        window = state.window_by_service[service] = EntryWindow(service, now=now)
    return window
