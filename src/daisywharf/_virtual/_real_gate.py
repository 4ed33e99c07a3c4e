"""The real admission as the gate of a fake target."""

from daisywharf._context import RequestContext
from daisywharf._ids import ServiceName
from daisywharf._overload import _admission as admission
from daisywharf._overload._actions import AdmissionAction, CallId
from daisywharf._overload._level import Level


class RealGate:
    """Run the real admission."""

    def __init__(self, slots: int, service: ServiceName) -> None:
        self.state = admission.AdmissionState(slots=slots, service=service)

    def offer(
        self, call_id: CallId, context: RequestContext, *, now: float
    ) -> list[AdmissionAction]:
        """Decide on a call that arrives."""
        return admission.offer(self.state, call_id, context, now=now)

    def finish(
        self, call_id: CallId, *, now: float, succeeded: bool, below: Level | None
    ) -> list[AdmissionAction]:
        """Take the end of a call."""
        return admission.finish(self.state, call_id, now=now, succeeded=succeeded, below=below)

    def suspend(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Take that a call waits for one below it."""
        return admission.suspend(self.state, call_id, now=now)

    def resume(self, call_id: CallId, *, now: float) -> None:
        """Take that a call goes on."""
        admission.resume(self.state, call_id, now=now)

    def cancel(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Drop a waiting call."""
        return admission.cancel(self.state, call_id, now=now)

    def tick(self, *, now: float) -> list[AdmissionAction]:
        """Do what time asks for."""
        return admission.tick(self.state, now=now)

    def level(self, *, now: float, below: Level | None) -> Level:
        """Return the level of an answer."""
        return admission.answer_level(self.state, now=now, below=below)
