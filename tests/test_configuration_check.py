"""`daisywharf configuration check`: what it finds, what it compares, and that it shows no key."""

from pathlib import Path
from typing import Any

import msgspec
import pytest

from builders_team_keys import document, team_entry
from daisywharf._cli.app import run
from daisywharf._cli.configuration import _load
from daisywharf._cli.exit_codes import ExitCode
from daisywharf._errors import ConfigurationError

KEY = "3nax7u27gxprymh2rryt"
OTHER_KEY = "apjsujqurtyiikdrbn4r"


def _route(name: str = "r", **changes: Any) -> dict[str, Any]:
    content = {
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 2_000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "stock",
        **changes,
    }
    return {"resourceKind": "routes", "metadata": {"name": name}, "specification": content}


def _service(name: str = "stock", connections: int = 50) -> dict[str, Any]:
    content = {"maxConnections": connections}
    return {"resourceKind": "services", "metadata": {"name": name}, "specification": content}


def _write(folder: Path, name: str, *entries: Any, version: int = 2) -> str:
    path = folder / name
    path.write_bytes(msgspec.json.encode(document(*entries, version=version)))
    return str(path)


SOUND = (_route(), _service(), team_entry("harbour", KEY, OTHER_KEY))


def test_a_sound_configuration_is_said_to_be_sound(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["configuration", "check", _write(tmp_path, "new.json", *SOUND)]) == ExitCode.OK
    assert "sound" in capsys.readouterr().out


FAULTY = {
    "the same prefix twice": (
        (_route("a", pathPrefix="/x/"), _route("b", pathPrefix="/x/")),
        ExitCode.INVALID,
        "route a never matches: b has shop.example/x/ too",
    ),
    "a prefix without its slash": (
        (_route(pathPrefix="/x"),),
        ExitCode.INVALID,
        "must begin and end with a slash",
    ),
    "a query in a prefix": (
        (_route(pathPrefix="/x?y=/"),),
        ExitCode.INVALID,
        "contains more than a path",
    ),
    "a path in a host": ((_route(host="shop.example/x"),), ExitCode.INVALID, "is no host name"),
    "an unknown service": ((_route(service="gone"),), ExitCode.INVALID, "which is no service"),
    "an unknown kind": ((_route(kind="often"),), ExitCode.INVALID, "can't be read"),
    "no time": ((_route(timeoutMs=0),), ExitCode.INVALID, "so each request fails"),
    "an objective beyond the time-out": (
        (_route("late", targetLatencyMs=3_000),),
        ExitCode.FAILED,
        "beyond its time-out of 2.0 s",
    ),
    "a part without weight": (
        (
            _route(
                "split",
                trafficSplit=[
                    {"service": "stock", "weight": 1},
                    {"service": "other", "weight": 0},
                ],
            ),
            _service("other"),
        ),
        ExitCode.FAILED,
        "sends nothing to other",
    ),
    "a service without a route": ((_service("unused"),), ExitCode.FAILED, "no route leads to it"),
    "one key in two teams": (
        (team_entry("pilots", KEY),),
        ExitCode.INVALID,
        "teams harbour, pilots hold the same key",
    ),
    "a team without keys": ((team_entry("pilots"),), ExitCode.FAILED, "has no key"),
    "a burst without a rate": (
        (team_entry("pilots", "k", ratePerS=0),),
        ExitCode.FAILED,
        "nothing limits it",
    ),
    "a rate without a burst": (
        (team_entry("pilots", "k", burst=0),),
        ExitCode.FAILED,
        "a burst below 1",
    ),
    "a team twice": ((team_entry("harbour", "k"),), ExitCode.INVALID, "stands 2 times"),
    # A block of text in YAML ends with a line break, which a request's key never does.
    "a key with a line break": (
        (team_entry("pilots", "k", "p\n"),),
        ExitCode.INVALID,
        "1 of its 2 keys can't be sent in a header",
    ),
    # The version would have no teams, so that requests pass without a key.
    "an entry of an unknown kind": (
        ({**team_entry("pilots", "k"), "resourceKind": "tenant"},),
        ExitCode.FAILED,
        "entry 'tenant' 'pilots' is of an unknown kind and would be ignored",
    ),
    "an entry without a kind": (
        ({"metadata": {"name": "pilots"}, "specification": {"apiKeys": [KEY]}},),
        ExitCode.FAILED,
        "entry None 'pilots' is of an unknown kind",
    ),
    "a key that is a number": ((team_entry("pilots", "k", 7),), ExitCode.INVALID, "can't be read"),
}


@pytest.mark.parametrize("name", FAULTY)
def test_a_fault_is_named_with_its_entry_and_no_key_is_shown(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entries, code, message = FAULTY[name]
    path = _write(tmp_path, "new.json", *SOUND, *entries)
    assert run(["configuration", "check", path]) == code
    printed = capsys.readouterr()
    assert message in printed.out
    assert KEY not in printed.out + printed.err


def test_routes_that_nobody_can_use_are_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = _write(tmp_path, "new.json", _route(), _service(), team_entry("harbour"))
    assert run(["configuration", "check", path]) == ExitCode.INVALID
    assert "nobody can use r" in capsys.readouterr().out


def test_differences_to_the_version_in_force_are_listed_without_keys(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    present = _write(
        tmp_path,
        "now.json",
        *SOUND,
        _route("old"),
        team_entry("pilots", "p"),
        team_entry("crew", "c"),
        version=4,
    )
    new = _write(
        tmp_path,
        "new.json",
        _route(timeoutMs=1_500),
        _route("extra"),
        _service(connections=60),
        team_entry("harbour", KEY, "fresh", ratePerS=7),
        team_entry("crew"),
        version=5,
    )
    assert run(["configuration", "check", new, "--in-force", present]) == ExitCode.FAILED
    printed = capsys.readouterr().out
    for message in (
        "route extra is added",
        "route old is removed",
        "route r timeout_s changes from 2.0 to 1.5",
        "service stock connections changes from 50 to 60",
        "team harbour rate_per_s changes from 5.0 to 7.0",
        "team harbour loses 1 of 2 keys, 2 left",
        "team harbour gains 1 keys",
        "team pilots is removed",
        "team pilots loses 1 of 1 keys, none left",
        "team crew loses 1 of 1 keys, none left",
    ):
        assert message in printed
    for key in (KEY, OTHER_KEY, "fresh"):
        assert key not in printed


def test_a_version_that_isn_t_newer_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    present = _write(tmp_path, "now.json", *SOUND, version=7)
    new = _write(tmp_path, "new.json", *SOUND, version=7)
    assert run(["configuration", "check", new, "--in-force", present]) == ExitCode.INVALID
    printed = capsys.readouterr().out
    assert "7 isn't newer than 7" in printed
    assert "no difference" in printed


@pytest.mark.parametrize("content", [b"{", b"[1, 2", b"version: [", b"\xff\xfe", b"[]", b"7"])
@pytest.mark.parametrize("suffix", ["json", "yaml"])
def test_a_file_that_is_no_configuration_is_an_error(
    content: bytes, suffix: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / f"new.{suffix}"
    path.write_bytes(content)
    assert run(["configuration", "check", str(path)]) == ExitCode.INVALID
    assert capsys.readouterr().err


def test_a_missing_file_is_an_error(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["configuration", "check", str(tmp_path / "none.json")]) == ExitCode.INVALID
    assert "none.json" in capsys.readouterr().err


def test_findings_are_printed_as_data(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = _write(tmp_path, "new.json", *SOUND, _service("unused"))
    assert run(["configuration", "check", path, "--json"]) == ExitCode.FAILED
    printed = msgspec.json.decode(capsys.readouterr().out)
    assert printed["findings"][0]["entry"] == "service unused"
    assert printed["differences"] == []


@pytest.mark.parametrize("value", ["2020-13-45", "0x_", "!!float often"])
def test_a_yaml_value_out_of_range_is_reported_without_the_content(
    value: str, tmp_path: Path
) -> None:
    """The decoder raises ValueError for such a value, which ended the command with a traceback."""
    path = tmp_path / "new.yaml"
    path.write_text(f"version: 2\nresources: [{{apiKeys: [{KEY}]}}, {{from: {value}}}]\n")
    with pytest.raises(ConfigurationError) as raised:
        _load(path)
    assert "neither JSON nor YAML" in str(raised.value)
    assert KEY not in str(raised.value)


def test_a_key_that_is_no_text_is_reported_and_not_shown(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The error of the encoder shows the text that it can't encode, and the whole team was lost."""
    path = tmp_path / "new.yaml"
    path.write_text(
        "version: 2\nresources:\n- resourceKind: tenants\n  metadata: {name: harbour}\n"
        f'  specification: {{apiKeys: ["\\uD800{KEY}", {OTHER_KEY}]}}\n'
    )
    assert run(["configuration", "check", str(path)]) == ExitCode.INVALID
    printed = capsys.readouterr()
    assert "1 of its 2 keys can't be sent in a header" in printed.out
    assert KEY not in printed.out + printed.err
