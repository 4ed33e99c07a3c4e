"""Each protection of an order's outcome, disabled in turn, is caught by the scenario named here."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from builders_outcomes import TARGETS, OrderWorld, truncate_answer
from daisywharf._errors import ErrorKind
from daisywharf._outcomes import _call_events, _once, _resolution
from daisywharf._outcomes._once import RECORD_BYTES, RESERVED_ANSWER_BYTES

ONE_RECORD_BYTES = RECORD_BYTES + RESERVED_ANSWER_BYTES


def refused_copy_arrives_again(world: OrderWorld) -> None:
    world.place(0)
    world.arrive(world.messages[0], is_shed=True)
    world.event(world.attempts[0], world.replies[0].event)
    world.arrive(world.messages[1])
    world.arrive(world.messages[0])


def call_arrives_after_its_resolve(world: OrderWorld) -> None:
    world.place(0)
    world.event(world.attempts[0], _call_events.LinkBroke())
    world.arrive(world.messages[1])
    world.event(world.attempts[0], world.replies[0].event)
    world.arrive(world.messages[0])
    world.settle()


def copy_is_delayed_past_the_record(world: OrderWorld) -> None:
    world.place(0)
    world.settle()
    world.pass_time(60.0)
    world.arrive(world.messages[0])


def clock_is_set_back(world: OrderWorld) -> None:
    world.place(0)
    world.settle()
    world.pass_time(60.0)
    world.gate_by_id[TARGETS[0]].clock_offset = -60.0
    world.arrive(world.messages[0])


def target_restarts_after_the_run(world: OrderWorld) -> None:
    world.place(0)
    world.arrive(world.messages[0])
    world.restart(world.gate_by_id[TARGETS[0]])
    world.event(world.attempts[0], _call_events.LinkBroke())
    world.arrive(world.messages[0])
    world.settle()


def target_is_known_to_be_gone(world: OrderWorld) -> None:
    world.place(0)
    world.arrive(world.messages[0])
    world.event(world.attempts[0], _call_events.IncarnationGone())
    world.settle()


def key_is_sent_to_a_restarted_target(world: OrderWorld) -> None:
    world.keyed.add(0)
    world.place(0)
    world.arrive(world.messages[0])
    world.restart(world.gate_by_id[TARGETS[0]])
    world.event(world.attempts[0], _call_events.LinkBroke())
    world.settle()


def records_are_full(world: OrderWorld) -> None:
    world.place(0)
    world.arrive(world.messages[0])
    world.pass_time(1.0)
    world.place(2)
    world.arrive(world.messages[1])
    world.finish_all()
    world.event(world.attempts[1], world.replies[0].event)
    world.arrive(world.messages[2])
    world.pass_time(15.5)
    world.arrive(world.messages[1])


def copy_arrives_at_full_records(world: OrderWorld) -> None:
    world.place(0)
    world.arrive(world.messages[0])
    world.place(2)
    world.arrive(world.messages[1])
    world.arrive(world.messages[0])


def copy_arrives_soon_after_the_run(world: OrderWorld) -> None:
    world.place(0)
    world.settle()
    world.pass_time(1.0)
    world.arrive(world.messages[0])


def answer_is_lost(world: OrderWorld) -> None:
    world.place(0)
    world.arrive(world.messages[0])
    world.event(world.attempts[0], _call_events.LinkBroke())
    world.settle()


def answer_arrives_at_another_attempt(world: OrderWorld) -> None:
    world.place(0)
    world.place(2)
    world.arrive(world.messages[0])
    world.finish_all()
    world.event(world.attempts[1], world.replies[0].event)


def answer_is_truncated(world: OrderWorld) -> None:
    world.place(0)
    world.arrive(world.messages[0])
    world.finish_all()
    world.event(world.attempts[0], truncate_answer(world.replies[0].event))


def answer_arrives_twice(world: OrderWorld) -> None:
    world.place(0)
    world.settle()
    world.settle()


SCENARIOS = [
    refused_copy_arrives_again,
    call_arrives_after_its_resolve,
    copy_is_delayed_past_the_record,
    clock_is_set_back,
    target_restarts_after_the_run,
    target_is_known_to_be_gone,
    key_is_sent_to_a_restarted_target,
    records_are_full,
    copy_arrives_at_full_records,
    copy_arrives_soon_after_the_run,
    answer_is_lost,
    answer_arrives_at_another_attempt,
    answer_is_truncated,
    answer_arrives_twice,
]


def run_scenario(scenario: Callable[[OrderWorld], None]) -> None:
    is_small = scenario in (records_are_full, copy_arrives_at_full_records)
    world = OrderWorld(max_bytes=ONE_RECORD_BYTES if is_small else 100 * ONE_RECORD_BYTES)
    scenario(world)
    world.check()


def name_of(scenario: Any) -> str:
    return str(getattr(scenario, "__name__", scenario))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=name_of)
def test_the_guarantees_hold(scenario: Callable[[OrderWorld], None]) -> None:
    run_scenario(scenario)


def _forget(records: Any, key: Any, *, now: float) -> None:
    records.kept_bytes -= records.record_by_key.pop(key).kept_bytes


def _add_no_burnt(add: Any) -> Any:
    def mutant(records: Any, key: Any, record: Any) -> None:
        if record.state is not _once.RecordState.BURNT:
            add(records, key, record)

    return mutant


def _expire_from_arrival(begin: Any) -> Any:
    def mutant(records: Any, ticket: Any, *, now: float) -> Any:
        return begin(records, msgspec.structs.replace(ticket, expires_at=now + 16.0), now=now)

    return mutant


def _accept_any_incarnation(begin: Any) -> Any:
    def mutant(records: Any, ticket: Any, *, now: float) -> Any:
        own = msgspec.structs.replace(ticket, incarnation=records.incarnation)
        return begin(records, own, now=now)

    return mutant


def _forget_when_full(begin: Any) -> Any:
    def mutant(records: Any, ticket: Any, *, now: float) -> Any:
        if records.kept_bytes + ONE_RECORD_BYTES > records.max_bytes:
            records.record_by_key.clear()
            records.kept_bytes = 0
        return begin(records, ticket, now=now)

    return mutant


def _retry(state: Any, *_rest: Any) -> Any:
    return _resolution._end(state, _call_events.RetryElsewhere(ErrorKind.CONNECT_FAILED))


def _deliver(state: Any, event: Any) -> Any:
    return _resolution._end(state, _call_events.Deliver(event.answer))


def _believe_refusals(state: Any, kind: ErrorKind) -> Any:
    return _resolution._end(state, _call_events.Fail(kind))


def _replace(value: Any) -> Callable[[Any], Any]:
    return lambda _original: value


MUTATIONS: dict[str, tuple[Any, str, Callable[[Any], Any], Callable[[OrderWorld], None]]] = {
    "a refused key is forgotten": (
        _once,
        "burn",
        _replace(_forget),
        refused_copy_arrives_again,
    ),
    "a resolve does not burn": (_once, "_add", _add_no_burnt, call_arrives_after_its_resolve),
    "expiry counts from arrival": (
        _once,
        "begin",
        _expire_from_arrival,
        copy_is_delayed_past_the_record,
    ),
    "the gate's clock goes back": (
        _once,
        "_advance_clock",
        _replace(lambda _records, now: now),
        clock_is_set_back,
    ),
    "any incarnation may run": (
        _once,
        "begin",
        _accept_any_incarnation,
        target_restarts_after_the_run,
    ),
    "full records forget": (_once, "begin", _forget_when_full, copy_arrives_at_full_records),
    "full records do not burn": (
        _once,
        "_burn_without_record",
        _replace(lambda *_: None),
        records_are_full,
    ),
    "an expired ticket may run": (
        _once,
        "_refusal_of_unseen",
        _replace(lambda *_, now: None),
        copy_is_delayed_past_the_record,
    ),
    "records are dropped early": (
        _once,
        "tick",
        _replace(lambda records, now: records.record_by_key.clear()),
        copy_arrives_soon_after_the_run,
    ),
    "a repeat runs again": (
        _once,
        "_decide_resend",
        _replace(lambda *_: _once.RunNow()),
        copy_arrives_soon_after_the_run,
    ),
    "a lost answer is retried elsewhere": (
        _resolution,
        "_start_resolving",
        _replace(_retry),
        answer_is_lost,
    ),
    "a gone target is retried elsewhere": (
        _resolution,
        "_handle_incarnation_gone",
        _replace(_retry),
        target_is_known_to_be_gone,
    ),
    "every refusal means not run": (
        _resolution,
        "_end_not_run",
        _replace(_believe_refusals),
        key_is_sent_to_a_restarted_target,
    ),
    "answers match by position": (
        _resolution,
        "_is_for_attempt",
        _replace(lambda *_: True),
        answer_arrives_at_another_attempt,
    ),
    "a cut answer is delivered": (
        _resolution,
        "_handle_answer",
        _replace(_deliver),
        answer_is_truncated,
    ),
    "an attempt ends twice": (
        _resolution,
        "_end",
        _replace(lambda _state, action: [action]),
        answer_arrives_twice,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_broken_protection_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, attribute, mutate, scenario = MUTATIONS[name]
    monkeypatch.setattr(module, attribute, mutate(getattr(module, attribute)))
    with pytest.raises(AssertionError):
        run_scenario(scenario)
