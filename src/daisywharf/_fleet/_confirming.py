"""Track whether this daemon's copy of the contracts is known to be current."""

import math
from enum import Enum
from typing import Final

from daisywharf._fleet._messages import Freshness, Member, Scope
from daisywharf._fleet._model import NEVER, Agreement, FleetState

MAX_CONFIRMED_AGE_S: Final = 30.0
MAX_AGREEMENT_AGE_S: Final = 15.0
MIN_AGREEMENTS: Final = 3
MAX_AGREEMENTS: Final = 16
TRANSIT_ALLOWANCE_S: Final = 0.3
AGE_STEPS_PER_S: Final = 10


class CopyState(Enum):
    """How this daemon's contracts are known to be current.

    CONFIRMED: they were read from the platform recently, by this daemon or by a peer with the same
    contracts. AGREED: enough daemons that had a confirmed copy reported the same contracts.
    """

    CONFIRMED = "confirmed"
    AGREED = "agreed"
    UNCONFIRMED = "unconfirmed"


def freshness_of(state: FleetState, *, now: float) -> Freshness:
    """Return what this daemon reports to peers about the age of its contracts."""
    confirmed_at = state.confirming.platform_confirmed_at
    age_s = None if confirmed_at == NEVER else _rounded_up(max(0.0, now - confirmed_at))
    digest = state.store_by_scope[Scope.CONTRACTS].digest
    return Freshness(digest, age_s, state.confirming.was_confirmed, state.is_joined)


def _rounded_up(age_s: float) -> float:
    # Rounding up and adding the transit time keeps an age from shrinking with each hop.
    return math.ceil((age_s + TRANSIT_ALLOWANCE_S) * AGE_STEPS_PER_S) / AGE_STEPS_PER_S


def apply_freshness(state: FleetState, sender: Member, freshness: Freshness, *, now: float) -> None:
    """Adopt the confirmation that a peer reports, if both have the same contracts."""
    confirming = state.confirming
    if freshness.digest != state.store_by_scope[Scope.CONTRACTS].digest:
        confirming.agreement_by_vm.pop(sender.vm, None)
        return
    if freshness.age_s is not None:
        confirming.platform_confirmed_at = max(
            confirming.platform_confirmed_at, now - freshness.age_s
        )
    if freshness.was_confirmed:
        confirming.agreement_by_vm.pop(sender.vm, None)
        confirming.agreement_by_vm[sender.vm] = Agreement(now, sender.zone)
    if len(confirming.agreement_by_vm) > MAX_AGREEMENTS:
        del confirming.agreement_by_vm[next(iter(confirming.agreement_by_vm))]
    _update_was_confirmed(state, now=now)


def record_platform_read(state: FleetState, *, now: float) -> None:
    """Record that this daemon read the current contracts from the platform."""
    state.confirming.platform_confirmed_at = now
    state.confirming.was_confirmed = True


def reset_confirmation(state: FleetState) -> None:
    """Drop all evidence that the contracts are current, after a pause."""
    state.confirming.platform_confirmed_at = NEVER
    state.confirming.agreement_by_vm.clear()
    state.confirming.was_confirmed = False


def copy_state(state: FleetState, *, now: float) -> CopyState:
    """Return whether and how this daemon's contracts are known to be current."""
    if now - state.confirming.platform_confirmed_at <= MAX_CONFIRMED_AGE_S:
        return CopyState.CONFIRMED
    if state.is_joined and _recent_agreement_count(state, now=now) >= _agreements_needed(state):
        return CopyState.AGREED
    return CopyState.UNCONFIRMED


def _recent_agreement_count(state: FleetState, *, now: float) -> int:
    agreements = state.confirming.agreement_by_vm.values()
    return sum(1 for agreement in agreements if now - agreement.at <= MAX_AGREEMENT_AGE_S)


def _agreements_needed(state: FleetState) -> int:
    others = len(state.member_records()) - 1
    others += sum(len(known) for known in state.known_members_by_zone.values())
    return max(1, min(MIN_AGREEMENTS, others))


def _update_was_confirmed(state: FleetState, *, now: float) -> None:
    if not state.confirming.was_confirmed:
        state.confirming.was_confirmed = copy_state(state, now=now) is not CopyState.UNCONFIRMED
