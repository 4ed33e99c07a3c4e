"""Compare the result of a replay with expected outcomes."""

from pathlib import Path
from typing import Annotated, Final

import msgspec
from msgspec import Meta

from daisywharf._errors import ConfigurationError, ErrorKind
from daisywharf._replay._outcomes import CallEnd, ReplayResult

ANY: Final = "*"
NonNegative = Annotated[float, Meta(ge=0)]


class Expectation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State which fraction of the selected calls has an outcome; `retried` and `resent` count too.

    `from_s` and `until_s` select calls by arrival, in seconds of the trace. `least_part` and
    `most_part` bound the fraction of the selected calls; for `retried` it is the retries per call
    and may exceed 1.
    """

    outcome: str
    customer: str = ANY
    call_class: str = msgspec.field(name="class", default=ANY)
    from_s: float = 0.0
    until_s: float = float("inf")
    least_part: NonNegative = 0.0
    most_part: NonNegative = float("inf")
    most_p99_ms: NonNegative = float("inf")


class ExpectedOutcomes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the expected outcomes of a trace; `most_ran_twice` bounds non-idempotent reruns."""

    expect: tuple[Expectation, ...]
    most_ran_twice: int = 0


def read_outcomes(path: Path) -> ExpectedOutcomes:
    """Read expected outcomes; raise `ConfigurationError` (bad request) for an invalid file."""
    try:
        expected = msgspec.json.decode(path.read_bytes(), type=ExpectedOutcomes)
    except (OSError, msgspec.DecodeError, ValueError) as error:
        message = f"{path}: cannot read expected outcomes: {error}; see docs/operating/replay.md"
        raise ConfigurationError(ErrorKind.BAD_REQUEST, message) from error
    known_outcomes = {"whole", "retried", "resent", *(kind.value for kind in ErrorKind)}
    for expectation in expected.expect:
        if expectation.outcome not in known_outcomes:
            message = (
                f"{path}: unknown outcome {expectation.outcome!r};"
                f" use one of {sorted(known_outcomes)}"
            )
            raise ConfigurationError(ErrorKind.BAD_REQUEST, message)
    return expected


def find_differences(expected: ExpectedOutcomes, result: ReplayResult) -> list[str]:
    """Return one line for each expected outcome that the replay does not meet."""
    differences = []
    for expectation in expected.expect:
        ends = [end for end in result.ends if _is_selected(expectation, end)]
        differences.extend(_differences_for(expectation, ends))
    if result.ran_twice > expected.most_ran_twice:
        differences.append(
            f"non-idempotent calls ran again {result.ran_twice} times,"
            f" at most {expected.most_ran_twice} stated"
        )
    return differences


def _is_selected(expectation: Expectation, end: CallEnd) -> bool:
    return (
        expectation.customer in (ANY, end.customer)
        and expectation.call_class in (ANY, end.call_class)
        and expectation.from_s <= end.at_s < expectation.until_s
    )


def _differences_for(expectation: Expectation, ends: list[CallEnd]) -> list[str]:
    name = f"{expectation.customer} {expectation.call_class} {expectation.outcome}"
    times = f"from {expectation.from_s:g} s until {expectation.until_s:g} s"
    if not ends:
        return [f"{name} {times}: no such calls in the trace"]
    fraction = _count_outcome(expectation.outcome, ends) / len(ends)
    differences = []
    if fraction < expectation.least_part:
        differences.append(
            f"{name} {times}: {fraction:.4f} of the calls,"
            f" at least {expectation.least_part:g} stated"
        )
    if fraction > expectation.most_part:
        differences.append(
            f"{name} {times}: {fraction:.4f} of the calls, at most {expectation.most_part:g} stated"
        )
    p99_ms = _p99_ms([end for end in ends if end.outcome == expectation.outcome])
    if p99_ms > expectation.most_p99_ms:
        differences.append(
            f"{name} {times}: p99 {p99_ms:.1f} ms, at most {expectation.most_p99_ms:g} stated"
        )
    return differences


def _count_outcome(outcome: str, ends: list[CallEnd]) -> int:
    if outcome == "retried":
        return sum(end.retries for end in ends)
    if outcome == "resent":
        return sum(end.is_resend for end in ends)
    return sum(end.outcome == outcome for end in ends)


def _p99_ms(ends: list[CallEnd]) -> float:
    latencies = sorted(end.latency_s for end in ends)
    return latencies[int(0.99 * (len(latencies) - 1))] * 1_000.0 if latencies else 0.0
