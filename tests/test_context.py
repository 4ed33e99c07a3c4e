"""The context's headers."""

import pytest

from daisywharf import ErrorKind, Importance, RequestError
from daisywharf._context import RequestContext, context_from, headers_from
from daisywharf._ids import CallClassName, CustomerId, RequestId

CONTEXT = RequestContext(
    request_id=RequestId("r-1"),
    customer=CustomerId("counter"),
    call_class=CallClassName("order"),
    importance=Importance.CRITICAL,
    deadline=12.5,
    retries=3,
    idempotent=False,
    depth=2,
)


def test_headers_keep_the_context_and_move_the_deadline_to_the_reader_s_clock() -> None:
    headers = headers_from(CONTEXT, now=10.0)
    read = context_from(headers, now=110.0)
    assert read.deadline == pytest.approx(112.5)
    assert read.request_id == CONTEXT.request_id
    assert read.sub_order == CONTEXT.sub_order
    assert (read.retries, read.idempotent, read.depth) == (3, False, 2)


@pytest.mark.parametrize("value", ["", "nan", "inf", "-1", "many", "9" * 300])
def test_a_malformed_header_is_a_bad_request_that_names_it(value: str) -> None:
    headers = headers_from(CONTEXT, now=10.0) | {"Daisywharf-Retries": value}
    with pytest.raises(RequestError, match="Daisywharf-Retries") as caught:
        context_from(headers, now=10.0)
    assert caught.value.kind is ErrorKind.BAD_REQUEST
