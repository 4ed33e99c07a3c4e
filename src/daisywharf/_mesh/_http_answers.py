"""What becomes of one HTTP request: a whole answer, or why there is none."""

from collections.abc import Callable, Sequence
from typing import Final, Protocol

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._mesh._headers import HeaderPair


class Connection(Protocol):
    """Carry one request to its server."""

    def abort(self) -> None:
        """Close at once; what was asked gets no result from here."""


class HttpAnswer(msgspec.Struct, frozen=True):
    """Hold a whole answer."""

    status: int
    reason: bytes
    headers: list[HeaderPair]
    body: bytes


class HttpFailure(msgspec.Struct, frozen=True):
    """Say why no whole answer came; `has_begun` tells whether the server may have read it."""

    kind: ErrorKind
    has_begun: bool
    detail: str = ""


HttpResult = HttpAnswer | HttpFailure
OnResult = Callable[[HttpResult], None]


class Ownership(msgspec.Struct, frozen=True):
    """Say whether an answer belongs to the request, and how long its connection may be idle."""

    is_own: bool
    idle_s: float | None = None


OwnershipCheck = Callable[[Sequence[HeaderPair]], Ownership]
_OWN: Final = Ownership(is_own=True)


def accept_any_answer(_headers: Sequence[HeaderPair]) -> Ownership:
    """Take each answer for one's own."""
    return _OWN


class OutboundRequest:
    """Hold one request until its result is known."""

    def __init__(
        self, data: bytes, on_result: OnResult, *, check_ownership: OwnershipCheck
    ) -> None:
        self.data = data
        self.check_ownership = check_ownership
        self.connection: Connection | None = None
        self._on_result: OnResult | None = on_result

    @property
    def is_open(self) -> bool:
        """Tell whether the result is still awaited."""
        return self._on_result is not None

    def finish(self, result: HttpResult) -> None:
        """Hand the result over, once."""
        on_result, self._on_result = self._on_result, None
        if on_result is not None:
            on_result(result)

    def end(self, detail: str) -> None:
        """Fail the request, which may have been read, and close its connection."""
        connection = self.connection
        self.finish(HttpFailure(ErrorKind.OUTCOME_UNKNOWN, has_begun=True, detail=detail))
        if connection is not None:
            connection.abort()

    def cancel(self) -> None:
        """Give the request up; a connection that carries it is closed."""
        self._on_result = None
        if self.connection is not None:
            self.connection.abort()
