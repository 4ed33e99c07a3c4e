"""The production admission code as the gate of a fake target."""

from daisywharf._context import RequestContext
from daisywharf._ids import ServiceName
from daisywharf._overload import _admission as admission
from daisywharf._overload._actions import AdmissionAction, CallId
from daisywharf._overload._level import Level


class RealGate:
    """Run the production admission code."""

    def __init__(self, slots: int, service: ServiceName) -> None:
        self.state = admission.AdmissionState(slots=slots, service=service)

    def offer(
        self, call_id: CallId, context: RequestContext, *, now: float
    ) -> list[AdmissionAction]:
        """Admit, enqueue or refuse an arriving call and return the resulting actions."""
        return admission.offer(self.state, call_id, context, now=now)

    def finish(
        self, call_id: CallId, *, now: float, succeeded: bool, below: Level | None
    ) -> list[AdmissionAction]:
        """Pass a finished call's slot to a waiting one; `below` is the level from its own calls."""
        return admission.finish(self.state, call_id, now=now, succeeded=succeeded, below=below)

    def suspend(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Release the slot of a call while it waits for one of its own calls."""
        return admission.suspend(self.state, call_id, now=now)

    def resume(self, call_id: CallId, *, now: float) -> None:
        """Resume a suspended call."""
        admission.resume(self.state, call_id, now=now)

    def cancel(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Drop an abandoned waiting call."""
        return admission.cancel(self.state, call_id, now=now)

    def tick(self, *, now: float) -> list[AdmissionAction]:
        """Update levels, and refuse waiting calls that cannot finish in time."""
        return admission.tick(self.state, now=now)

    def level(self, *, now: float, below: Level | None) -> Level:
        """Return the shedding level to send with an answer."""
        return admission.answer_level(self.state, now=now, below=below)
