"""Send the load of the demonstration through the entry of a daemon, and count the answers."""

import threading
import time
from collections import Counter
from collections.abc import Sequence

import msgspec
import urllib3

from daisywharf._context import CALL_CLASS, CUSTOMER, ERROR_KIND
from daisywharf._topology import Address

NO_ANSWER = "no-answer"
WHOLE = "whole"  # a complete answer with status 200
SLOW_ANSWER_S = 0.25  # latency of a slow answer


class Stream(msgspec.Struct, frozen=True):
    """Describe requests of one customer and call class, sent at a constant rate."""

    customer: str
    call_class: str
    service: str
    requests_per_second: float


class Phase(msgspec.Struct, frozen=True):
    """Send all streams for some seconds; `factor` multiplies the rates of the surging classes."""

    name: str
    seconds: float
    factor: float


class StreamResult(msgspec.Struct):
    """Count the answers of one stream in one phase; latencies are of complete answers."""

    phase: str
    call_class: str
    offered: int
    whole: int
    refused_by_kind: dict[str, int]
    p50_ms: float
    p99_ms: float


class _Tally:
    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.count_by_answer: Counter[str] = Counter()
        self.latencies_ms: list[float] = []


def run_phase(
    phase: Phase, streams: Sequence[Stream], *, surging: frozenset[str], entry: Address
) -> list[StreamResult]:
    """Send the load of a phase and return the result of each stream.

    The factor of the phase applies to the call classes in `surging`.
    """
    tally_by_class = {stream.call_class: _Tally() for stream in streams}
    workers = []
    for stream in streams:
        factor = phase.factor if stream.call_class in surging else 1.0
        rate = stream.requests_per_second * factor
        tally = tally_by_class[stream.call_class]
        workers.extend(_make_workers(stream, rate, phase.seconds, tally, entry))
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return [_summarize(phase, stream, tally_by_class[stream.call_class]) for stream in streams]


def _make_workers(
    stream: Stream, rate: float, seconds: float, tally: _Tally, entry: Address
) -> list[threading.Thread]:
    # Each worker waits for its answers: there are enough to keep the rate when answers are slow.
    count = max(1, int(rate * SLOW_ANSWER_S) + 1)
    return [
        threading.Thread(
            target=_offer,
            args=(stream, tally, entry),
            kwargs={"rate": rate / count, "seconds": seconds, "delay_s": index / rate},
        )
        for index in range(count)
    ]


def _offer(
    stream: Stream, tally: _Tally, entry: Address, *, rate: float, seconds: float, delay_s: float
) -> None:
    pool = urllib3.HTTPConnectionPool(entry.host, entry.port, maxsize=1, retries=False)
    started_at = time.monotonic()
    due_at = started_at + delay_s
    while due_at < started_at + seconds:
        time.sleep(max(0.0, due_at - time.monotonic()))
        _offer_one(pool, stream, tally)
        due_at += 1.0 / rate
    pool.close()


def _offer_one(pool: urllib3.HTTPConnectionPool, stream: Stream, tally: _Tally) -> None:
    headers = {CUSTOMER: stream.customer, CALL_CLASS: stream.call_class}
    started_at = time.monotonic()
    try:
        reply = pool.urlopen("POST", f"/call/{stream.service}/", headers=headers, body=b"{}")
        answer = WHOLE if reply.status == 200 else reply.headers.get(ERROR_KIND, NO_ANSWER)
    except urllib3.exceptions.HTTPError:
        answer = NO_ANSWER
    elapsed_ms = (time.monotonic() - started_at) * 1_000.0
    with tally.lock:
        tally.count_by_answer[answer] += 1
        if answer == WHOLE:
            tally.latencies_ms.append(elapsed_ms)


def _summarize(phase: Phase, stream: Stream, tally: _Tally) -> StreamResult:
    refused = {kind: count for kind, count in tally.count_by_answer.items() if kind != WHOLE}
    latencies_ms = sorted(tally.latencies_ms) or [0.0]
    return StreamResult(
        phase=phase.name,
        call_class=stream.call_class,
        offered=tally.count_by_answer.total(),
        whole=tally.count_by_answer[WHOLE],
        refused_by_kind=refused,
        p50_ms=round(latencies_ms[len(latencies_ms) // 2], 1),
        p99_ms=round(latencies_ms[int(len(latencies_ms) * 0.99)], 1),
    )
