"""Delete lapsed claims of caller-chosen idempotency keys."""

from secrets import token_hex
from typing import Final

from daisywharf._errors import PlatformError
from daisywharf._ids import EditId
from daisywharf._objects._interface import ObjectKind, Platform
from daisywharf._outcomes._claim import lapsed_claims

SWEEP_PERIOD_S: Final = 600.0
# Keeps a sweep far below the several hundred writes per second that the platform can handle.
MAX_DELETIONS_PER_SWEEP: Final = 500
CALL_TIMEOUT_S: Final = 6.0


def sweep_claims(platform: Platform, *, now: float) -> int:
    """Delete lapsed claims and return the number deleted; `now` is in seconds since 1970.

    Concurrent sweeps are safe, because each deletion is conditional on the version read.
    """
    try:
        claims = platform.list(ObjectKind.CLAIM, timeout_s=CALL_TIMEOUT_S).objects
    except PlatformError:
        return 0
    deleted = 0
    for claim in lapsed_claims(claims, now=now)[:MAX_DELETIONS_PER_SWEEP]:
        try:
            platform.delete(
                ObjectKind.CLAIM,
                claim.name,
                if_version=claim.version,
                edit_id=EditId(token_hex(12)),
                timeout_s=CALL_TIMEOUT_S,
            )
        except PlatformError:
            continue
        deleted += 1
    return deleted
