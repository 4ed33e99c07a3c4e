"""Admit the calls of a trace as an entry does: customer, contract, rate limit and resends."""

import msgspec

from daisywharf._contract import CallClass, Contract
from daisywharf._errors import ErrorKind
from daisywharf._ids import CallClassName, CustomerId, RequestId
from daisywharf._overload._rates import BucketKey, RateState, take_token
from daisywharf._replay._trace import CallLine
from daisywharf._routing._resends import ResendState, record_send


class EntryState:
    """Hold the contracts in force, and the rate and resend counts that all entries share."""

    def __init__(self) -> None:
        self.contract_by_customer: dict[CustomerId, Contract] = {}
        self.rates = RateState()
        self.resends = ResendState()


class Admitted(msgspec.Struct, frozen=True):
    """Admit a call; `retries` is the budget of its whole call tree."""

    call_class: CallClass
    retries: int
    is_resend: bool


class Refused(msgspec.Struct, frozen=True):
    """Refuse a call at the entry, with the kind of error."""

    kind: ErrorKind
    is_resend: bool = False


class RepeatedOutcome(msgspec.Struct, frozen=True):
    """Answer a call with the outcome of its first run; `kind` is None for a complete answer."""

    kind: ErrorKind | None
    is_resend: bool


def admit(state: EntryState, line: CallLine, *, now: float) -> Admitted | Refused:
    """Decide whether the entry admits a call, by its contract, call class and rate limit."""
    contract = state.contract_by_customer.get(CustomerId(line.customer))
    if contract is None:
        return Refused(ErrorKind.UNKNOWN_CUSTOMER)
    call_class = contract.classes_by_name.get(CallClassName(line.call_class))
    if call_class is None or line.chain[0] not in call_class.services:
        return Refused(ErrorKind.NOT_IN_CONTRACT)
    send = record_send(
        state.resends,
        contract.customer,
        RequestId(line.request),
        retries=call_class.retries,
        now=now,
    )
    key = BucketKey(contract.customer, call_class.name)
    wait_s = take_token(
        state.rates,
        key,
        rate_per_second=call_class.rate_per_second,
        burst=call_class.burst,
        now=now,
    )
    if wait_s > 0.0:
        return Refused(ErrorKind.RATE_EXCEEDED, is_resend=send.resends > 0)
    return Admitted(call_class, send.retries_left, is_resend=send.resends > 0)
