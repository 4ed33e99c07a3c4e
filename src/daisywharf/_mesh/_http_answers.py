"""The result of one HTTP request: a complete answer, or why there is none."""

from collections.abc import Callable, Sequence
from typing import Final, Protocol

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._mesh._headers import HeaderPair


class Connection(Protocol):
    """A connection that carries one request at a time."""

    def abort(self) -> None:
        """Close at once, without a result for the request in progress."""


class HttpAnswer(msgspec.Struct, frozen=True):
    """Hold a complete answer."""

    status: int
    reason: bytes
    headers: list[HeaderPair]
    body: bytes


class HttpFailure(msgspec.Struct, frozen=True):
    """Hold why there is no complete answer.

    `has_begun` means that the server may have read the request.
    """

    kind: ErrorKind
    has_begun: bool
    detail: str = ""


HttpResult = HttpAnswer | HttpFailure
OnResult = Callable[[HttpResult], None]


class Ownership(msgspec.Struct, frozen=True):
    """Hold whether an answer belongs to the request, and the connection's idle limit in seconds."""

    is_own: bool
    idle_s: float | None = None


OwnershipCheck = Callable[[Sequence[HeaderPair]], Ownership]
_OWN: Final = Ownership(is_own=True)


def accept_any_answer(_headers: Sequence[HeaderPair]) -> Ownership:
    """Treat every answer as belonging to the request."""
    return _OWN


class OutboundRequest:
    """Hold one request to a server until its result is known."""

    def __init__(
        self,
        data: bytes,
        on_result: OnResult,
        *,
        check_ownership: OwnershipCheck,
        body: bytes = b"",
    ) -> None:
        self.data = data
        # Sent after `data`; apart from it, so that a large body isn't copied.
        self.body = body
        self.check_ownership = check_ownership
        self.connection: Connection | None = None
        self._on_result: OnResult | None = on_result

    @property
    def is_open(self) -> bool:
        """Return whether the result is still awaited."""
        return self._on_result is not None

    def finish(self, result: HttpResult) -> None:
        """Pass the result to the caller; later results are ignored."""
        on_result, self._on_result = self._on_result, None
        if on_result is not None:
            on_result(result)

    def end(self, detail: str) -> None:
        """Fail the request with an unknown outcome, and close its connection."""
        connection = self.connection
        self.finish(HttpFailure(ErrorKind.OUTCOME_UNKNOWN, has_begun=True, detail=detail))
        if connection is not None:
            connection.abort()

    def cancel(self) -> None:
        """Cancel the request, and close the connection that carries it."""
        self._on_result = None
        if self.connection is not None:
            self.connection.abort()
