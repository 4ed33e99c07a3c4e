"""The retry ratio of a customer's calls to a service, and callers' own resends."""

from daisywharf._ids import CustomerId, IdempotencyKey, RequestId, ServiceName
from daisywharf._routing._resends import ResendState, record_send
from daisywharf._routing._retries import RetryRatio, RetryRatioKey, earn_retry, spend_earned_retry

KEY = RetryRatioKey(CustomerId("counter"), ServiceName("stock"))
OTHER = RetryRatioKey(CustomerId("yard"), ServiceName("stock"))


def retries_allowed(state: RetryRatio, *, calls: int, succeeded: bool) -> int:
    retries = 0
    for _ in range(calls):
        earn_retry(state, KEY, succeeded=succeeded)
        retries += spend_earned_retry(state, KEY)
    return retries


def test_retries_stay_within_the_ratio_and_the_first_credit() -> None:
    assert retries_allowed(RetryRatio(), calls=1_000, succeeded=True) <= 0.1 * 1_000 + 10


def test_with_everything_failing_only_the_first_credit_is_spent() -> None:
    assert retries_allowed(RetryRatio(), calls=1_000, succeeded=False) == 10


def test_one_customer_s_retries_leave_another_s_alone() -> None:
    state = RetryRatio()
    retries_allowed(state, calls=100, succeeded=False)
    assert spend_earned_retry(state, OTHER)


def test_more_customers_than_the_table_holds_neither_grow_it_nor_renew_credit() -> None:
    state = RetryRatio(max_keys=10)
    retries = 0
    for number in range(10_000):
        retries += spend_earned_retry(
            state, RetryRatioKey(CustomerId(f"c{number % 20}"), KEY.service)
        )
        assert len(state.credit_by_key) <= 10
    assert retries <= 20 * 10


def test_the_same_request_or_key_again_is_a_resend_and_uses_a_retry() -> None:
    state = ResendState()
    customer = CustomerId("counter")
    sends = [
        record_send(state, customer, RequestId("r-1"), retries=1, now=float(now))
        for now in range(3)
    ]
    assert [send.resends for send in sends] == [0, 1, 2]
    assert [send.retries_left for send in sends] == [1, 0, 0]
    assert [send.is_within_budget for send in sends] == [True, True, False]
    keyed = [
        record_send(
            state, customer, RequestId(f"r-{n}"), retries=1, now=3.0, key=IdempotencyKey("k")
        ).resends
        for n in (2, 3)
    ]
    assert keyed == [0, 1]


def test_another_customer_s_same_id_is_no_resend() -> None:
    state = ResendState()
    record_send(state, CustomerId("a"), RequestId("r"), retries=1, now=0.0)
    assert record_send(state, CustomerId("b"), RequestId("r"), retries=1, now=0.0).resends == 0


def test_a_send_is_remembered_through_the_window_and_forgotten_after_two() -> None:
    for later, resends in ((29.9, 1), (61.0, 0)):
        state = ResendState(window_s=30.0)
        record_send(state, CustomerId("a"), RequestId("x"), retries=1, now=-1.0)
        record_send(state, CustomerId("a"), RequestId("r"), retries=1, now=0.0)
        send = record_send(state, CustomerId("a"), RequestId("r"), retries=1, now=later)
        assert send.resends == resends


def test_many_requests_don_t_exceed_the_maximum_of_remembered_sends() -> None:
    state = ResendState(max_sends=100)
    for number in range(1_000):
        record_send(state, CustomerId("a"), RequestId(f"r{number}"), retries=1, now=0.0)
        assert len(state.sends_by_hash) + len(state.older_sends_by_hash) <= 100
