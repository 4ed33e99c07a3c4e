"""Tell whether this daemon's copy of the contracts is known to be current."""

import math
from enum import Enum
from typing import Final

from daisywharf._fleet._messages import Freshness, Member, Scope
from daisywharf._fleet._model import NEVER, Agreement, FleetState

CONFIRMED_WITHIN_S: Final = 30.0
AGREED_WITHIN_S: Final = 15.0
AGREEMENTS_NEEDED: Final = 3
AGREEMENTS_KEPT: Final = 16
TRANSIT_S: Final = 0.3
AGE_STEPS_PER_S: Final = 10


class CopyState(Enum):
    """Name how far the contracts held here are known to be current."""

    CONFIRMED = "confirmed"
    AGREED = "agreed"
    UNCONFIRMED = "unconfirmed"


def freshness_of(state: FleetState, *, now: float) -> Freshness:
    """Tell peers what this daemon knows of the age of its contracts."""
    at = state.confirming.platform_at
    age_s = None if at == NEVER else _rounded_up(max(0.0, now - at))
    digest = state.store_by_scope[Scope.CONTRACTS].digest
    return Freshness(digest, age_s, state.confirming.is_settled, state.is_joined)


def _rounded_up(age_s: float) -> float:
    # An age that left out rounding and transit would grow younger with each hop.
    return math.ceil((age_s + TRANSIT_S) * AGE_STEPS_PER_S) / AGE_STEPS_PER_S


def take_freshness(state: FleetState, sender: Member, freshness: Freshness, *, now: float) -> None:
    """Take over a peer's word from the platform if its contracts are the same."""
    confirming = state.confirming
    if freshness.digest != state.store_by_scope[Scope.CONTRACTS].digest:
        confirming.agreement_by_vm.pop(sender.vm, None)
        return
    if freshness.age_s is not None:
        confirming.platform_at = max(confirming.platform_at, now - freshness.age_s)
    if freshness.is_settled:
        confirming.agreement_by_vm.pop(sender.vm, None)
        confirming.agreement_by_vm[sender.vm] = Agreement(now, sender.zone)
    if len(confirming.agreement_by_vm) > AGREEMENTS_KEPT:
        del confirming.agreement_by_vm[next(iter(confirming.agreement_by_vm))]
    _settle(state, now=now)


def platform_spoke(state: FleetState, *, now: float) -> None:
    """Note that the platform itself gave the current contracts."""
    state.confirming.platform_at = now
    state.confirming.is_settled = True


def unsettle(state: FleetState) -> None:
    """Drop all evidence, after a pause."""
    state.confirming.platform_at = NEVER
    state.confirming.agreement_by_vm.clear()
    state.confirming.is_settled = False


def copy_state(state: FleetState, *, now: float) -> CopyState:
    """Return how far the contracts held here are known to be current."""
    if now - state.confirming.platform_at <= CONFIRMED_WITHIN_S:
        return CopyState.CONFIRMED
    if state.is_joined and _agreement_count(state, now=now) >= _agreements_needed(state):
        return CopyState.AGREED
    return CopyState.UNCONFIRMED


def _agreement_count(state: FleetState, *, now: float) -> int:
    agreements = state.confirming.agreement_by_vm.values()
    return sum(1 for agreement in agreements if now - agreement.at <= AGREED_WITHIN_S)


def _agreements_needed(state: FleetState) -> int:
    others = len(state.member_records()) - 1
    others += sum(len(known) for known in state.known_by_zone.values())
    return max(1, min(AGREEMENTS_NEEDED, others))


def _settle(state: FleetState, *, now: float) -> None:
    if not state.confirming.is_settled:
        state.confirming.is_settled = copy_state(state, now=now) is not CopyState.UNCONFIRMED
