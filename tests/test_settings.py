"""Reading a daemon's settings, and the faults reported for invalid ones."""

from pathlib import Path

import pytest

from daisywharf import ErrorKind
from daisywharf._documents._faults import DocumentError
from daisywharf._settings import load_settings
from daisywharf._topology import Address

GOOD = """\
vm: vm-1
zone: perth-1
links: {host: 10.0.0.5, port: 7400}
http: {host: "::1", port: 0}
peers:
  - {host: 10.0.0.6, port: 7400}
platform: http://10.0.0.9:8400
keys: [a-shared-key]
log: {format: json}
"""


def _write(directory: Path, text: str) -> Path:
    path = directory / "daemon.yaml"
    path.write_text(text)
    return path


def test_settings_are_read_as_written(tmp_path: Path) -> None:
    settings = load_settings(_write(tmp_path, GOOD))
    assert (settings.vm, settings.zone, settings.log.format) == ("vm-1", "perth-1", "json")
    assert (settings.links, settings.peers) == (
        Address("10.0.0.5", 7400),
        (Address("10.0.0.6", 7400),),
    )


def test_all_faults_are_reported_with_their_lines(tmp_path: Path) -> None:
    text = GOOD.replace("perth-1", "perth 1").replace("7400}", "74000}").replace("json", "xml")
    with pytest.raises(DocumentError) as caught:
        load_settings(_write(tmp_path, text + "zoen: x\n"))
    assert caught.value.kind is ErrorKind.INVALID_SETTINGS
    assert [(fault.line, fault.path) for fault in caught.value.faults] == [
        (2, "zone"),
        (3, "links.port"),
        (6, "peers[0].port"),
        (9, "log.format"),
        (10, "zoen"),
    ]


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("10.0.0.5", "dagobah.example", "links.host"),
        ("http://", "ftp://", "platform"),
        ("[a-shared-key]", "['']", "keys[0]"),
        ("vm: vm-1\n", "", "vm"),
        ("port: 0", "port: no", "http.port"),
        ("{format: json}", "json", "log"),
        ("port: 0}", "port: 0, tls: true}", "http.tls"),
    ],
)
def test_a_single_fault_names_its_path(tmp_path: Path, old: str, new: str, path: str) -> None:
    with pytest.raises(DocumentError) as caught:
        load_settings(_write(tmp_path, GOOD.replace(old, new)))
    assert [fault.path for fault in caught.value.faults] == [path]


def test_a_file_that_is_not_there_is_a_fault(tmp_path: Path) -> None:
    with pytest.raises(DocumentError, match=r"none\.yaml"):
        load_settings(tmp_path / "none.yaml")


def test_a_faulty_key_is_not_shown(tmp_path: Path) -> None:
    with pytest.raises(DocumentError) as caught:
        load_settings(_write(tmp_path, GOOD.replace("[a-shared-key]", "a-shared-key")))
    assert "a-shared-key" not in str(caught.value)
