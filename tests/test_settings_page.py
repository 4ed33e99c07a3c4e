"""docs/SETTINGS.md matches the fields, defaults and bounds in the code."""

from pathlib import Path
from typing import Any

import msgspec
import yaml

from daisywharf import _settings
from daisywharf._settings import DaemonSettings, LogSettings, TraceSettings, load_settings

PAGE = (Path(__file__).parent.parent / "docs" / "SETTINGS.md").read_text()
GROUPS = {"log": LogSettings, "traces": TraceSettings}
EXAMPLE = PAGE.split("```yaml\n")[1].split("```")[0]


def rows() -> dict[str, list[str]]:
    lines = [line for line in PAGE.splitlines() if line.startswith("| `")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return {row[0].strip("`"): row[1:] for row in cells}


def field_by_name() -> dict[str, msgspec.structs.FieldInfo]:
    fields: dict[str, msgspec.structs.FieldInfo] = {}
    for field in msgspec.structs.fields(DaemonSettings):
        if field.name not in GROUPS:
            fields[field.name] = field
            continue
        for subfield in msgspec.structs.fields(GROUPS[field.name]):
            fields[f"{field.name}.{subfield.name}"] = subfield
    return fields


def value_at(document: Any, name: str) -> Any:
    for key in name.split("."):
        document = document[key]
    return document


def test_the_page_lists_each_field_once_in_order() -> None:
    assert list(rows()) == list(field_by_name())


def test_defaults_are_those_of_the_code() -> None:
    stated = {name: row[2] for name, row in rows().items()}
    for name, field in field_by_name().items():
        if field.required:
            assert stated[name].startswith("required"), name
        elif field.default in (None, ()):
            assert stated[name].startswith("none"), name
        else:
            assert stated[name] == f"`{field.default}`" or stated[name] == str(field.default), name


def test_bounds_are_those_of_the_code() -> None:
    bounds_by_name = {
        "vm": _settings.MAX_NAME_CHARS,
        "links": _settings.MAX_PORT,
        "peers": _settings.MAX_PEERS,
        "platform": _settings.MAX_TEXT_CHARS,
        "keys": _settings.MAX_KEYS,
        "zones": _settings.MAX_ZONES,
        "http_threads": _settings.MAX_HTTP_THREADS,
        "traces.file": _settings.MAX_TEXT_CHARS,
    }
    assert [
        name for name, bound in bounds_by_name.items() if str(bound) not in rows()[name][1]
    ] == []
    assert f"{_settings.MAX_SETTINGS_BYTES:,}" in PAGE


def test_the_examples_form_a_valid_settings_file(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(EXAMPLE)
    load_settings(path)
    document = yaml.safe_load(EXAMPLE)
    examples = {name: yaml.safe_load(row[3].strip("`")) for name, row in rows().items()}
    assert examples == {name: value_at(document, name) for name in examples}
