"""Detect at an entry the requests that a caller resends."""

from typing import Final

import msgspec

from daisywharf._ids import CustomerId, IdempotencyKey, RequestId

RESEND_WINDOW_S: Final = 30.0
MAX_REMEMBERED_SENDS: Final = 16_384


class Send(msgspec.Struct, frozen=True):
    """Describe one send of a request, and the retries that remain for its call tree.

    `resends` is 0 for the first send. A resend uses up a retry like any other; `is_within_budget`
    is false if the caller's resends alone exceed the retries that the contract allows.
    """

    resends: int
    retries_left: int
    is_within_budget: bool


class ResendState:
    """Count the sends of each request, in two generations of at most half `max_sends` each.

    `started_at` is when the current generation started.
    """

    def __init__(
        self, *, window_s: float = RESEND_WINDOW_S, max_sends: int = MAX_REMEMBERED_SENDS
    ) -> None:
        self.window_s = window_s
        self.max_generation_sends = max(1, max_sends // 2)
        self.started_at = float("-inf")
        self.sends_by_hash: dict[int, int] = {}
        self.older_sends_by_hash: dict[int, int] = {}


def record_send(
    state: ResendState,
    customer: CustomerId,
    request_id: RequestId,
    *,
    retries: int,
    now: float,
    key: IdempotencyKey | None = None,
) -> Send:
    """Count an entering request, identified by its idempotency key or else its request id.

    A send is remembered for at least `window_s` seconds after the last one, unless more than
    `max_sends` others arrive within that time.
    """
    _rotate_generations(state, now)
    # Keeping a hash bounds the memory per send; Python salts it per process.
    hashed = hash((customer, key is not None, request_id if key is None else key))
    earlier = state.sends_by_hash.get(hashed, 0) or state.older_sends_by_hash.get(hashed, 0)
    state.sends_by_hash[hashed] = earlier + 1
    return Send(
        resends=earlier,
        retries_left=max(0, retries - earlier),
        is_within_budget=earlier <= retries,
    )


def _rotate_generations(state: ResendState, now: float) -> None:
    age_s = now - state.started_at
    is_full = len(state.sends_by_hash) >= state.max_generation_sends
    if age_s < state.window_s and not is_full:
        return
    is_older_needed = age_s < 2 * state.window_s
    state.older_sends_by_hash = state.sends_by_hash if is_older_needed else {}
    state.sends_by_hash = {}
    state.started_at = now
