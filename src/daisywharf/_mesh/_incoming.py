"""Calls that other daemons send to the target of this VM."""

from collections.abc import Callable

from daisywharf._errors import ErrorKind
from daisywharf._ids import RequestId
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import Answered, Call, CallResult, Unanswered
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._memory_budget import has_room_for_copy
from daisywharf._overload._actions import CallId


class IncomingCalls:
    """Track the calls of each link, so that they are cancelled when it closes."""

    def __init__(self, gate: Gate, *, has_unnoticed_pause: Callable[[], bool]) -> None:
        self.gate = gate
        self.has_unnoticed_pause = has_unnoticed_pause
        self._calls_by_link: dict[FrameProtocol, dict[int, CallId]] = {}

    def submit(self, link: FrameProtocol, call: Call) -> None:
        """Submit a call to the gate and send its result over the link."""
        if self.has_unnoticed_pause():
            # The call waited in a buffer while this process was paused; its entry no longer
            # waits for it.
            refusal = Unanswered(call.call_id, ErrorKind.TOO_LATE, has_begun=False, load=None)
            link.send(refusal)
            return
        calls = self._calls_by_link.setdefault(link, {})

        def answer(result: CallResult) -> None:
            calls.pop(call.call_id, None)
            if isinstance(result, Answered) and not has_room_for_copy(
                link.memory, len(result.body)
            ):
                # Answers that peers haven't read yet take up the memory.
                result = Unanswered(call.call_id, ErrorKind.TOO_LARGE, True, result.load)
            link.send(result)

        calls[call.call_id] = CallId(RequestId(call.request_id), 0)
        call_id = self.gate.submit(call, answer)
        if call.call_id in calls:
            calls[call.call_id] = call_id

    def cancel(self, link: FrameProtocol, link_call_id: int) -> None:
        """Cancel a call that its entry abandoned."""
        call_id = self._calls_by_link.get(link, {}).pop(link_call_id, None)
        if call_id is not None:
            self.gate.cancel(call_id)

    def cancel_all(self, link: FrameProtocol) -> None:
        """Cancel the calls of a link that closed."""
        # A copy: a cancelled call frees its slot, and another call of this link may end at that.
        for call_id in list(self._calls_by_link.pop(link, {}).values()):
            self.gate.cancel(call_id)
