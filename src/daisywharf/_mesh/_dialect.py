"""What the data path needs to know of the headers that clients and targets speak."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from daisywharf._mesh._headers import HeaderPair


class RequestHead(msgspec.Struct, frozen=True):
    """Hold what a request's headers say; `passed_on` are those that go to the target."""

    host: str
    request_id: str
    time_left_s: float | None
    passed_on: bytes


class AnswerHead(msgspec.Struct, frozen=True):
    """Hold what a target's answer says; `request_id` is empty where it names none.

    `is_signed` tells whether the target vouches for it, `is_not_run` whether the target says that
    it didn't run the request, and `idle_s` how long its connection may be idle. `names_limit` tells
    whether it says how many requests a second the target takes in all, `most_per_s` how many, where
    that can be read, and `is_leaving` whether the target says that it leaves.
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

    def read_request(self, headers: Sequence[HeaderPair]) -> RequestHead:
        """Read a client's headers."""

    def target_lines(self, *, target_id: str, caller_service: str, time_left_ms: int) -> bytes:
        """Write the header lines that the system adds to a request for a target."""

    def read_answer(self, headers: Sequence[HeaderPair]) -> AnswerHead:
        """Read a target's headers."""

    def refusal_lines(self, *, retry_after_s: float) -> bytes:
        """Write the header lines of a refusal that tells when to come back."""
