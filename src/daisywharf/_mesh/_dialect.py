"""How the data path reads and writes the headers of clients and targets."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from daisywharf._mesh._headers import HeaderPair


class RequestHead(msgspec.Struct, frozen=True):
    """Hold the parsed headers of a request; `passed_on` are the lines that go to the target.

    `key` is the caller's key, None if the request has none, and empty if it has several.
    """

    host: str
    request_id: str
    time_left_s: float | None
    passed_on: bytes
    key: bytes | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """Hold the parsed headers of a target's answer.

    `request_id` is empty if the answer names none; `is_signed` means that it carries the target's
    signature; `is_not_run` that the target didn't run the request; `idle_s` is how long the
    connection may be idle. `names_limit` means that the answer contains a rate limit for the
    target, `most_per_s` is that limit in requests per second over all callers if it is valid, and
    `is_leaving` means that the target announces that it leaves. `passed_on` are the header lines
    that go to the client.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    idle_s: float | None
    names_limit: bool
    most_per_s: float | None
    is_leaving: bool
    passed_on: bytes


class Dialect(Protocol):
    """Read and write the headers of one platform."""

    def read_request(self, headers: Sequence[HeaderPair], *, has_teams: bool) -> RequestHead:
        """Parse a client's headers.

        If teams are configured, neither the key nor a team named by the client is passed on.
        """

    def team_lines(self, team: str) -> bytes:
        """Return the header lines that tell a target the caller's team."""

    def target_lines(self, *, target_id: str, caller_service: str, time_left_ms: int) -> bytes:
        """Return the header lines that the system adds to a request for a target."""

    def read_answer(self, headers: Sequence[HeaderPair]) -> AnswerHead:
        """Parse a target's headers."""

    def refusal_lines(self, *, retry_after_s: float) -> bytes:
        """Return the header lines of a refusal, with the time after which to retry."""
