"""The platform adapter decodes each message, and names what is wrong in a malformed one."""

import json
from typing import Any

import pytest

from daisywharf._configuration import ClientLimits, SplitPart
from daisywharf._contract import Importance
from daisywharf._errors import ConfigurationError, RequestError
from daisywharf._ids import ServiceName, TargetId
from daisywharf._mesh._model import Readiness, TargetDeparture
from daisywharf._topology import Address
from daisywharf.platform._configuration import read_configuration
from daisywharf.platform._headers import PlatformDialect
from daisywharf.platform._heartbeats import read_deregistration, read_heartbeat
from daisywharf.platform._settings import decode_settings

HEARTBEAT: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "perth-a",
    "version": "v1",
    "slots": 158,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}

ROUTE: dict[str, Any] = {
    "resourceKind": "routes",
    "metadata": {"name": "r-1"},
    "specification": {
        "host": "hulo84.example",
        "pathPrefix": "/leny950/",
        "kind": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 1200,
        "priority": 2,
        "trafficSplit": [
            {"service": "huvo11a", "weight": 90},
            {"service": "lovo22d", "weight": 10},
        ],
        "maxAttempts": 2,
    },
}


def _settings_document() -> dict[str, Any]:
    return {
        "self": {
            "nodeName": "sidecar-perth-a-1",
            "zone": "perth-a",
            "applicationAddress": "10.1.0.8:8301",
            "service": "huvo11a",
        },
        "network": {
            "listenAddresses": {
                "inbound": "10.1.0.8:8300",
                "outbound": "10.1.0.8:8304",
                "ready": "10.1.0.8:8302",
                "controlPlane": "10.1.0.8:8306",
            },
            "seedNodes": ["10.1.0.9:8306", "nonsense"],
        },
        "platform": {"platform": {"address": "10.200.1.7:8309"}},
        "terms": {"bounds": {"gracePeriodS": 6, "retryBudgetExtra": 50}},
    }


def test_a_heartbeat_is_decoded() -> None:
    notice = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert notice.target_id == "i-1"
    assert notice.address == Address("10.128.0.9", 8080)
    assert notice.readiness is Readiness.READY
    assert notice.cold_s == 1.5
    assert (notice.born_ms, notice.sequence, notice.slots) == (1_700_000_000_000, 4, 158)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": 1},
        {"slots": "many"},
        {"slots": 0},
        {"slots": -3},
        {"address": "here"},
        {"address": None},
        {"sequence": "first"},
        {"sequence": 1.5},
        {"service": None},
        {"coldRemainingMs": "soon"},
        {"born": "long ago"},
        {"born": 1.5},
        {"born": 10**30},
        {"born": -1},
        {"sequence": 10**30},
        {"sequence": -1},
        {"slots": 10**30},
        {"coldRemainingMs": 10**30},
        {"coldRemainingMs": -1},
        {"zone": 3},
        {"version": ["v1"]},
        {"service": ""},
        {"service": "s" * 1_000},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:" + "9" * 5_000},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0.1:8_0"},
        {"address": "h" * 100 + ":80"},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(RequestError, match="heartbeat of i-1"):
        read_heartbeat("i-1", json.dumps({**HEARTBEAT, **change}).encode())


@pytest.mark.parametrize(
    "missing",
    ["service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"],
)
def test_a_heartbeat_without_a_required_field_is_refused(missing: str) -> None:
    body = {name: value for name, value in HEARTBEAT.items() if name != missing}
    with pytest.raises(RequestError):
        read_heartbeat("i-1", json.dumps(body).encode())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe",
        b'{"slots":1e999}',
        b'{"more":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    ],
)
def test_a_heartbeat_that_is_not_valid_json_is_refused(body: bytes) -> None:
    with pytest.raises(RequestError):
        read_heartbeat("i-1", body)


def test_a_deregistration_may_be_empty() -> None:
    assert read_deregistration("i-1", b"") == TargetDeparture(TargetId("i-1"), None, None)
    given = read_deregistration("i-1", b'{"born":5,"sequence":9}')
    assert given == TargetDeparture(TargetId("i-1"), 5, 9)
    with pytest.raises(RequestError, match="deregistration of i-1"):
        read_deregistration("i-1", b'{"born":"x"}')


def test_a_route_is_decoded() -> None:
    configuration = read_configuration({"version": 7, "resources": [ROUTE]})
    (route,) = configuration.routes
    assert configuration.version == 7
    assert route.parts == (
        SplitPart(ServiceName("huvo11a"), 90.0),
        SplitPart(ServiceName("lovo22d"), 10.0),
    )
    assert (route.timeout_s, route.aim_s, route.max_attempts) == (5.0, 1.2, 2)
    assert route.importance is Importance.NORMAL
    assert route.is_idempotent


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [("idempotent", True), ("download", True), ("non_idempotent", False)],
)
def test_a_route_s_kind_tells_whether_it_is_idempotent(kind: str, is_idempotent: bool) -> None:
    entry = {**ROUTE, "specification": {**ROUTE["specification"], "kind": kind}}
    (route,) = read_configuration({"version": 1, "resources": [entry]}).routes
    assert route.is_idempotent is is_idempotent


@pytest.mark.parametrize(
    "bad",
    [
        {"resourceKind": "routes", "metadata": {"name": "x"}},
        {"resourceKind": "routes", "metadata": {"name": "x"}, "specification": {"kind": "odd"}},
        {"specification": {}},
        {"resourceKind": "limits", "specification": {"maxHeaderBytes": "lots"}},
        {"resourceKind": "services", "metadata": {"name": "s"}, "specification": None},
        # Numbers that can't be encoded for other daemons, which then got none of the version.
        {
            "resourceKind": "services",
            "metadata": {"name": "s"},
            "specification": {"maxConnections": 1e30},
        },
        {**ROUTE, "specification": {**ROUTE["specification"], "maxAttempts": 1e30}},
        {
            "resourceKind": "limits",
            "specification": {
                "maxHeaderBytes": 1_000,
                "maxBodyBytes": 1e30,
                "headerTimeoutMs": 1_000,
                "idleTimeoutMs": 1_000,
            },
        },
        # An objective that can't be converted to whole milliseconds left requests unanswered.
        {**ROUTE, "specification": {**ROUTE["specification"], "targetLatencyMs": "inf"}},
        {**ROUTE, "specification": {**ROUTE["specification"], "targetLatencyMs": "nan"}},
        {**ROUTE, "specification": {**ROUTE["specification"], "timeoutMs": "nan"}},
    ],
)
def test_an_unreadable_entry_is_skipped_and_the_others_apply(bad: dict[str, Any]) -> None:
    configuration = read_configuration({"version": 1, "resources": [bad, ROUTE]})
    assert [route.name for route in configuration.routes] == ["r-1"]
    assert configuration.connections_by_service == {}
    assert configuration.limits == ClientLimits()


@pytest.mark.parametrize(
    "document", [None, [], {"resources": []}, {"version": "7", "resources": []}, {"version": 7}]
)
def test_a_configuration_without_version_or_list_is_refused(document: Any) -> None:
    with pytest.raises(ConfigurationError):
        read_configuration(document)


def test_settings_are_decoded() -> None:
    settings = decode_settings(_settings_document())
    assert settings.entry_address == Address("10.1.0.8", 8304)
    assert settings.links_address == Address("10.1.0.8", 8300)
    assert settings.store_address == Address("10.200.1.7", 8309)
    assert settings.seeds == (Address("10.1.0.9", 8306),)
    assert settings.bounds.retry_extra == 50.0


def test_each_fault_of_the_settings_is_named() -> None:
    document = _settings_document()
    del document["self"]["service"]
    document["network"]["listenAddresses"]["ready"] = "nowhere"
    document["terms"]["bounds"]["gracePeriodS"] = "soon"
    with pytest.raises(ConfigurationError) as caught:
        decode_settings(document)
    message = str(caught.value)
    assert "self.service" in message
    assert "network.listenAddresses.ready is 'nowhere'" in message
    assert "terms.bounds.gracePeriodS is 'soon'" in message


def test_a_request_s_headers_are_parsed_and_those_set_by_the_system_are_dropped() -> None:
    head = PlatformDialect().read_request(
        [
            (b"Host", b"hulo84.example"),
            (b"Attempt-Id", b"9c41"),
            (b"Deadline-Ms", b"600"),
            (b"Caller-Service", b"forged"),
            (b"Expected-Instance", b"forged"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Kept", b"2"),
        ],
        has_teams=False,
    )
    assert (head.host, head.request_id, head.time_left_s) == ("hulo84.example", "9c41", 0.6)
    assert head.passed_on == b"Host: hulo84.example\r\nAttempt-Id: 9c41\r\nX-Kept: 2\r\n"


@pytest.mark.parametrize("value", [b"soon", b"", b"1.5"])
def test_a_time_left_that_can_t_be_read_counts_as_none(value: bytes) -> None:
    assert (
        PlatformDialect().read_request([(b"Deadline-Ms", value)], has_teams=False).time_left_s
        is None
    )


@pytest.mark.parametrize(
    ("value", "time_left_s"), [(b"9" * 400, 3_600.0), (b"-" + b"9" * 400, 0.0)]
)
def test_a_time_left_out_of_range_is_bounded(value: bytes, time_left_s: float) -> None:
    """The division raised OverflowError, and the request was never answered."""
    head = PlatformDialect().read_request([(b"Deadline-Ms", value)], has_teams=False)
    assert head.time_left_s == time_left_s


def test_an_answer_s_headers_are_read() -> None:
    head = PlatformDialect().read_answer(
        [
            (b"attempt-id", b"9c41"),
            (b"SERVER-SIGNATURE", b"3e1b"),
            (b"Keep-Alive", b"timeout=10, max=5"),
            (b"Content-Length", b"3"),
        ]
    )
    assert (head.request_id, head.is_signed, head.is_not_run, head.idle_s) == (
        "9c41",
        True,
        False,
        10.0,
    )
    assert head.passed_on == b"attempt-id: 9c41\r\nSERVER-SIGNATURE: 3e1b\r\n"


@pytest.mark.parametrize(
    ("values", "most_per_s"),
    [
        ([b"10.3"], 10.3),
        ([b" 0 "], 0.0),
        ([b"7", b"4.5"], 4.5),
        ([b"7", b"soon"], 7.0),
        *(([value], None) for value in (b"", b"-1", b"inf", b"nan", b"1e3", b"1_0", b"9" * 400)),
    ],
)
def test_a_limit_is_a_plain_decimal_number_and_the_smallest_counts(
    values: list[bytes], most_per_s: float | None
) -> None:
    head = PlatformDialect().read_answer([(b"SERVER-LIMIT", value) for value in values])
    assert (head.names_limit, head.most_per_s) == (True, most_per_s)


def test_an_answer_that_names_no_limit_says_so() -> None:
    head = PlatformDialect().read_answer([(b"Attempt-Id", b"9c41")])
    assert (head.names_limit, head.most_per_s, head.is_leaving) == (False, None, False)


@pytest.mark.parametrize(("value", "is_leaving"), [(b"1", True), (b"0", False), (b"", False)])
def test_a_departure_header_counts_only_with_the_value_one(value: bytes, is_leaving: bool) -> None:
    head = PlatformDialect().read_answer([(b"server-leaving", value)])
    assert head.is_leaving is is_leaving
