"""Let the calls of a trace enter: customer, contract, rate and re-sends, as at a real entry."""

import msgspec

from daisywharf._contract import CallClass, Contract
from daisywharf._errors import ErrorKind
from daisywharf._ids import CallClassName, CustomerId, RequestId
from daisywharf._overload._rates import BucketKey, RateState, take_token
from daisywharf._replay._trace import CallLine
from daisywharf._routing._resends import ResendState, record_send


class EntryState:
    """Hold the contracts in force and what the fleet's entries count together."""

    def __init__(self) -> None:
        self.contract_by_customer: dict[CustomerId, Contract] = {}
        self.rates = RateState()
        self.resends = ResendState()


class Admitted(msgspec.Struct, frozen=True):
    """Tell that a call goes on, with the retries of its whole tree."""

    call_class: CallClass
    retries: int
    is_resend: bool


class Refused(msgspec.Struct, frozen=True):
    """Tell that a call is refused at the entry."""

    kind: ErrorKind
    is_resend: bool = False


class RepeatedOutcome(msgspec.Struct, frozen=True):
    """Tell that a call gets the end of its first run again; no kind is a whole answer."""

    kind: ErrorKind | None
    is_resend: bool


def admit(state: EntryState, line: CallLine, *, now: float) -> Admitted | Refused:
    """Decide on a call that a customer sends."""
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
