"""The platform's outages, lost answers, cut watches and rate limit, as seen by its client."""

import socket
from collections.abc import Iterator

import pytest
import urllib3

from builders_platform import TIMEOUT_S, answer_once, client_of, create_object, running_standin
from daisywharf import ErrorKind, PlatformError
from daisywharf._ids import EditId, Version
from daisywharf._objects._faults import Faults, Verb, WatchFault
from daisywharf._objects._http_client import HttpPlatform
from daisywharf._objects._interface import ObjectKind
from daisywharf._objects._standin import Standin

CONTRACT = ObjectKind.CONTRACT


@pytest.fixture
def standin() -> Iterator[Standin]:
    with running_standin() as running:
        yield running


def _kind_of_create(platform: HttpPlatform) -> ErrorKind:
    with pytest.raises(PlatformError) as caught:
        create_object(platform)
    return caught.value.kind


def test_a_refused_connection_is_unavailable() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        platform = HttpPlatform(f"http://127.0.0.1:{bound.getsockname()[1]}")
        assert _kind_of_create(platform) is ErrorKind.PLATFORM_UNAVAILABLE


def test_a_platform_that_is_down_is_unavailable_and_stores_nothing(standin: Standin) -> None:
    platform = client_of(standin)
    standin.platform.set_faults(Faults(down=True))
    assert _kind_of_create(platform) is ErrorKind.PLATFORM_UNAVAILABLE
    standin.platform.set_faults(Faults())
    assert platform.list(CONTRACT, timeout_s=TIMEOUT_S).objects == ()


def test_a_lost_answer_to_a_write_is_unknown_and_the_write_took_effect(standin: Standin) -> None:
    platform = client_of(standin)
    standin.platform.set_faults(Faults(lose_answers=1))
    assert _kind_of_create(platform) is ErrorKind.PLATFORM_OUTCOME_UNKNOWN
    assert platform.get(CONTRACT, "a", timeout_s=TIMEOUT_S).edit_id == "e-1"


def test_a_lost_answer_to_a_read_is_unavailable(standin: Standin) -> None:
    standin.platform.set_faults(Faults(lose_answers=1))
    with pytest.raises(PlatformError) as caught:
        client_of(standin).list(CONTRACT, timeout_s=TIMEOUT_S)
    assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE


def test_a_write_that_takes_too_long_is_unknown(standin: Standin) -> None:
    standin.platform.set_faults(Faults(slow_s=0.4))
    with pytest.raises(PlatformError) as caught:
        client_of(standin).create(CONTRACT, "a", b"{}", edit_id=EditId("e-1"), timeout_s=0.1)
    assert caught.value.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN


@pytest.mark.parametrize("fault", [WatchFault.SILENT, WatchFault.CLOSED])
def test_an_aborted_watch_is_unavailable_and_other_calls_succeed(
    standin: Standin, fault: WatchFault
) -> None:
    platform = client_of(standin)
    standin.platform.set_faults(Faults(watches=fault))
    with pytest.raises(PlatformError) as caught:
        platform.watch(CONTRACT, after=Version(0), timeout_s=0.2)
    assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
    create_object(platform)
    standin.platform.set_faults(Faults())
    assert platform.watch(CONTRACT, after=Version(0), timeout_s=TIMEOUT_S).changes


def test_calls_over_the_rate_limit_are_refused_with_a_retry_time_and_counted(
    standin: Standin,
) -> None:
    standin.platform.set_faults(Faults(calls_per_second=0))
    with pytest.raises(PlatformError) as caught:
        create_object(client_of(standin))
    assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert caught.value.retry_after_s == 1.0
    counts = standin.platform.counts()
    assert (counts.calls_by_verb[Verb.CREATE], counts.refused) == (1, 1)


def test_faults_are_set_and_counts_read_over_http(standin: Standin) -> None:
    body = b'{"down": true, "watches": "silent"}'
    switched = urllib3.request("POST", f"{standin.base_url}/faults", body=body)
    assert switched.json()["down"] is True
    assert _kind_of_create(client_of(standin)) is ErrorKind.PLATFORM_UNAVAILABLE
    counts = urllib3.request("GET", f"{standin.base_url}/counts").json()
    assert counts["calls_by_verb"]["create"] == 1


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", "/faults", b'{"donw": true}'),
        ("POST", "/faults", b"\xff"),
        ("GET", "/objects/nothing", b""),
        ("GET", "/", b""),
        ("GET", "/objects/contracts?after=-1", b""),
        ("GET", "/objects/contracts?after=1&wait_s=nan", b""),
        ("PUT", "/objects/contracts?name=a", b"{}"),
        ("BREW", "/objects/contracts", b""),
    ],
)
def test_a_malformed_request_is_refused_and_the_server_keeps_serving(
    standin: Standin, method: str, path: str, body: bytes
) -> None:
    answer = urllib3.request(method, standin.base_url + path, body=body or None)
    assert answer.status == 400
    assert answer.json()["message"]
    create_object(client_of(standin))


@pytest.mark.parametrize("content", [b"", b"no json", b"[]", b'{"kind": "contracts"}'])
def test_an_unreadable_answer_to_a_write_is_unknown(content: bytes) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, pytest.raises(PlatformError) as caught:
        platform = HttpPlatform(f"http://127.0.0.1:{listener.getsockname()[1]}")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content)
        answer_once(listener, head + content)
        create_object(platform)
    assert caught.value.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN
