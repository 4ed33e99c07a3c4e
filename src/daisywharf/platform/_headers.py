"""The headers that the platform's clients and targets use."""

import re
from collections.abc import Sequence
from typing import Final

from daisywharf._mesh._dialect import AnswerHead, RequestHead
from daisywharf._mesh._headers import HeaderPair, head_block

REQUEST_ID: Final = b"attempt-id"
TIME_LEFT: Final = b"deadline-ms"  # a duration, despite its name
CALLER: Final = b"caller-service"
EXPECTED: Final = b"expected-instance"
SIGNATURE: Final = b"server-signature"
NOT_RUN: Final = b"not-executed"
LIMIT: Final = b"server-limit"  # requests a second from all VMs together
LEAVING: Final = b"server-leaving"
LEAVING_VALUE: Final = b"1"
KEY: Final = b"credential"
TEAM: Final = b"tenant"

SET_BY_SYSTEM: Final = frozenset({TIME_LEFT, CALLER, EXPECTED})
SET_BY_SYSTEM_WITH_TEAMS: Final = SET_BY_SYSTEM | {KEY, TEAM}
MAX_TIME_LEFT_S: Final = 3_600.0
# Six digits before the point are more than any target accepts. No sign, exponent, inf or nan.
_RATE: Final = re.compile(rb"[0-9]{1,6}(\.[0-9]{0,9})?")


def _parse_milliseconds(value: bytes) -> float | None:
    try:
        milliseconds = int(value)
    except ValueError:
        return None
    # Bounded before the division, which raises OverflowError for a number of 400 digits.
    return min(max(milliseconds, 0), int(MAX_TIME_LEFT_S * 1000.0)) / 1000.0


def _parse_rate_per_s(value: bytes) -> float | None:
    return float(value) if _RATE.fullmatch(value.strip()) else None


def _parse_keep_alive_s(value: bytes) -> float | None:
    for token in value.split(b","):
        name, _, number = token.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def _only_key(keys: list[bytes]) -> bytes | None:
    """Return a request's key; several are as good as a wrong one."""
    if not keys:
        return None
    return keys[0] if len(keys) == 1 else b""


class PlatformDialect:
    """Parse and write the platform's headers."""

    def read_request(self, headers: Sequence[HeaderPair], *, has_teams: bool) -> RequestHead:
        """Parse a client's headers; without teams, the headers of teams are like any others."""
        host = request_id = b""
        time_left_s = None
        keys: list[bytes] = []
        for name, value in headers:
            lowered = name.lower()
            if lowered == b"host":
                host = value
            elif lowered == REQUEST_ID:
                request_id = value
            elif lowered == TIME_LEFT:
                time_left_s = _parse_milliseconds(value)
            elif lowered == KEY and has_teams:
                keys.append(value.strip())
        return RequestHead(
            host.decode("latin-1"),
            request_id.decode("latin-1"),
            time_left_s,
            head_block(headers, dropped=SET_BY_SYSTEM_WITH_TEAMS if has_teams else SET_BY_SYSTEM),
            _only_key(keys),
        )

    def team_lines(self, team: str) -> bytes:
        """Return the header line that tells a target the caller's team."""
        return f"Tenant: {team}\r\n".encode()

    def target_lines(self, *, target_id: str, caller_service: str, time_left_ms: int) -> bytes:
        """Return the header lines that the system adds to a request for a target."""
        return (
            f"Deadline-Ms: {time_left_ms}\r\nExpected-Instance: {target_id}\r\n"
            f"Caller-Service: {caller_service}\r\n"
        ).encode("latin-1")

    def read_answer(self, headers: Sequence[HeaderPair]) -> AnswerHead:
        """Parse a target's headers."""
        request_id = b""
        is_signed = is_not_run = is_encoded = is_leaving = False
        idle_s = None
        limits: list[float | None] = []
        for name, value in headers:
            lowered = name.lower()
            if lowered == REQUEST_ID:
                request_id = value
            elif lowered == SIGNATURE:
                is_signed = True
            elif lowered == NOT_RUN:
                is_not_run = True
            elif lowered == b"content-encoding":
                is_encoded = True
            elif lowered == b"keep-alive":
                idle_s = _parse_keep_alive_s(value)
            elif lowered == LIMIT:
                limits.append(_parse_rate_per_s(value))
            elif lowered == LEAVING:
                is_leaving = is_leaving or value.strip() == LEAVING_VALUE
        return AnswerHead(
            request_id.decode("latin-1"),
            is_signed,
            is_not_run,
            is_encoded,
            idle_s,
            bool(limits),
            min((limit for limit in limits if limit is not None), default=None),
            is_leaving,
            head_block(headers, dropped=frozenset()),
        )

    def refusal_lines(self, *, retry_after_s: float) -> bytes:
        """Return the header lines of a refusal that says when to retry."""
        return f"Retry-After: {retry_after_s:.3f}\r\n".encode()
