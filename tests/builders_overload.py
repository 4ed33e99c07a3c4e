"""Build contexts, calls and gates for the admission tests."""

from daisywharf._context import SUB_ORDERS, Refusals, RequestContext, sub_order_of
from daisywharf._contract import Importance
from daisywharf._ids import CallClassName, CustomerId, RequestId, ServiceName
from daisywharf._overload._actions import CallId
from daisywharf._overload._admission import AdmissionState, finish, offer
from daisywharf._overload._level import Level

STOCK = ServiceName("stock")


def build_context(
    number: int,
    importance: Importance = Importance.NORMAL,
    *,
    deadline: float = 100.0,
    depth: int = 1,
    refusals: Refusals | None = None,
) -> RequestContext:
    return RequestContext(
        request_id=RequestId(f"r-{number}"),
        customer=CustomerId("builders"),
        call_class=CallClassName(f"class-{importance.name}"),
        importance=importance,
        deadline=deadline,
        retries=2,
        depth=depth,
        refusals=refusals,
    )


def build_id(number: int) -> CallId:
    return CallId(RequestId(f"r-{number}"), number)


def build_gate(slots: int, service: str = "orders") -> AdmissionState:
    return AdmissionState(slots=slots, service=ServiceName(service))


def build_busy_level(load: float, *, rank: float = 4.0) -> Level:
    importance = int(rank)
    return Level(importance, int((rank - importance) * SUB_ORDERS), load, STOCK)


def run_requests(
    state: AdmissionState, importance: Importance, *, below: Level, start: float, count: int
) -> None:
    """Run requests one after another, each of which gets the level `below` from its own calls."""
    for number in range(count):
        now = start + number * 0.01
        call_id = build_id(10_000 + int(now * 1_000))
        offer(state, call_id, build_context(call_id.attempt, importance, depth=0), now=now)
        finish(state, call_id, now=now + 0.005, succeeded=True, below=below)


def find_number(*, above: float) -> int:
    """Return the number of a request whose sub-order is above a fraction of all sub-orders."""
    numbers = (n for n in range(10_000) if sub_order_of(RequestId(f"r-{n}")) > above * SUB_ORDERS)
    return next(numbers)
