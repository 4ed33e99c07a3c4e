"""Delete the claims of callers' keys that nobody can use any more."""

from secrets import token_hex
from typing import Final

from daisywharf._errors import PlatformError
from daisywharf._ids import EditId
from daisywharf._objects._interface import ObjectKind, Platform
from daisywharf._outcomes._claim import lapsed_claims

SWEEP_PERIOD_S: Final = 600.0
# A sweep stays far under the several hundred writes a second that the platform takes.
MAX_DELETIONS_PER_SWEEP: Final = 500
CALL_TIMEOUT_S: Final = 6.0


def sweep_claims(platform: Platform, *, now: float) -> int:
    """Delete lapsed claims and return how many; `now` is in seconds since 1970.

    Two daemons that sweep at once do no harm: each deletion names the version that it read.
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
