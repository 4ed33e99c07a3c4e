"""Claims are deleted from the platform once nobody can use their key."""

import msgspec

from daisywharf._daemon._claim_sweep import sweep_claims
from daisywharf._ids import EditId, Incarnation, TargetId
from daisywharf._objects._embedded import EmbeddedPlatform
from daisywharf._objects._interface import ObjectKind
from daisywharf._outcomes._claim import ClaimBody
from daisywharf._outcomes._keys import CLAIM_RETENTION_S
from daisywharf._outcomes._ticket import KEY_LIFETIME_S, MAX_CLOCK_SKEW_S

CREATED_AT = 1_000_000.0


def test_a_claim_is_deleted_only_once_it_has_lapsed() -> None:
    platform = EmbeddedPlatform()
    body = ClaimBody(TargetId("orders-1"), Incarnation(1), CREATED_AT + KEY_LIFETIME_S)
    platform.create(
        ObjectKind.CLAIM,
        "key-1",
        msgspec.json.encode(body),
        edit_id=EditId("edit-1"),
        timeout_s=1.0,
    )
    lapses_at = CREATED_AT + CLAIM_RETENTION_S + MAX_CLOCK_SKEW_S
    assert sweep_claims(platform, now=lapses_at) == 0
    assert sweep_claims(platform, now=lapses_at + 0.1) == 1
    assert sweep_claims(platform, now=lapses_at + 0.1) == 0
