"""The commands that check, list and compare contracts."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import yaml

from daisywharf._cli.contract_files import load_contract_files
from daisywharf._cli.exit_codes import ExitCode
from daisywharf._cli.options import AsJson, Customer, PlatformUrl, TimeoutS, platform_at
from daisywharf._cli.output import print_json, print_table
from daisywharf._contracts._differences import Difference, differences
from daisywharf._contracts._edits import read_contract
from daisywharf._contracts._files import stored_from_json
from daisywharf._contracts._history import (
    HistoryEntry,
    classes_of_entry,
    read_history,
    readable_contract,
)
from daisywharf._contracts._schema import WrittenClass, written_classes
from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import CustomerId, EditId, Version
from daisywharf._objects._interface import ObjectKind, Platform, PlatformObject

app = typer.Typer()

Files = Annotated[list[Path], typer.Argument(help="contract files, or directories of *.yaml")]


class CheckedContract(msgspec.Struct, frozen=True):
    """Report a valid contract file; `classes` is the number of its call classes."""

    file: str
    customer: CustomerId
    classes: int


class ListedContract(msgspec.Struct, frozen=True):
    """Describe a contract in a listing; `classes` is None if the contract is malformed."""

    customer: CustomerId
    version: Version
    classes: int | None
    operator: str


class ShownContract(msgspec.Struct, frozen=True):
    """Hold a contract in the form of its file."""

    customer: CustomerId
    version: Version
    classes: tuple[WrittenClass, ...]


class Comparison(msgspec.Struct, frozen=True):
    """Hold the changes that applying a file would make."""

    customer: CustomerId
    version: Version
    differences: tuple[Difference, ...]


class PastEdit(msgspec.Struct, frozen=True):
    """Describe an edit and what it changed; `edited_at_s` is in seconds since 1970."""

    version: Version
    edit_id: EditId
    operator: str
    edited_at_s: float
    differences: tuple[Difference, ...]


@app.command(epilog="Example: daisywharf contract check contracts/karri-ridge")
def check(files: Files, as_json: AsJson = False) -> None:
    """Check contract files without applying them."""
    checked = [
        CheckedContract(str(file.path), file.contract.customer, len(file.contract.classes_by_name))
        for file in load_contract_files(files)
    ]
    if as_json:
        print_json(checked)
        return
    rows = [(contract.file, contract.customer, contract.classes) for contract in checked]
    print_table(("FILE", "CUSTOMER", "CLASSES"), rows)


@app.command("list", epilog="Example: daisywharf contract list --json")
def list_contracts(platform: PlatformUrl, as_json: AsJson = False, timeout_s: TimeoutS = 5) -> None:
    """List the contracts on the platform."""
    listing = platform_at(platform).list(ObjectKind.CONTRACT, timeout_s=timeout_s)
    listed = [_list_entry(item) for item in listing.objects]
    if as_json:
        print_json(listed)
        return
    rows = [
        (contract.customer, contract.version, contract.classes or "unreadable", contract.operator)
        for contract in listed
    ]
    print_table(("CUSTOMER", "VERSION", "CLASSES", "EDITED BY"), rows)


@app.command(epilog="Example: daisywharf contract get builders > builders.yaml")
def get(
    customer: Customer,
    platform: PlatformUrl,
    version: Annotated[
        int | None, typer.Option(min=1, help="an earlier version, from the history")
    ] = None,
    as_json: AsJson = False,
    timeout_s: TimeoutS = 5,
) -> None:
    """Print a contract as a file that can be edited and applied."""
    contract = _find_version(platform_at(platform), CustomerId(customer), version, timeout_s)
    if as_json:
        print_json(contract)
        return
    typer.echo(yaml.safe_dump(msgspec.to_builtins(contract), sort_keys=False), nl=False)


@app.command(epilog="Example: daisywharf contract diff contracts/karri-ridge/builders.yaml")
def diff(
    file: Annotated[Path, typer.Argument(help="contract file")],
    platform: PlatformUrl,
    as_json: AsJson = False,
    timeout_s: TimeoutS = 5,
) -> None:
    """Show what applying a file would change; exit with 9 where there is a difference."""
    contract = load_contract_files([file])[0].contract
    current = read_contract(platform_at(platform), contract.customer, timeout_s=timeout_s)
    stored = None if current is None else readable_contract(current.body)
    comparison = Comparison(
        contract.customer,
        Version(0) if current is None else current.version,
        differences(() if stored is None else stored.classes, written_classes(contract)),
    )
    if as_json:
        print_json(comparison)
    else:
        typer.echo(f"{comparison.customer} at version {comparison.version}")
        for difference in comparison.differences:
            typer.echo(f"  {difference}")
    raise typer.Exit(ExitCode.DIFFERS if comparison.differences else ExitCode.OK)


@app.command(epilog="Example: daisywharf contract history builders")
def history(
    customer: Customer, platform: PlatformUrl, as_json: AsJson = False, timeout_s: TimeoutS = 5
) -> None:
    """Show the last edits of a contract and what each changed, newest first."""
    edits = _read_edits(platform_at(platform), CustomerId(customer), timeout_s)
    if as_json:
        print_json(edits)
        return
    for edit in edits:
        edited_at = datetime.fromtimestamp(edit.edited_at_s, UTC).isoformat(timespec="seconds")
        typer.echo(f"version {edit.version} by {edit.operator} at {edited_at}, edit {edit.edit_id}")
        for difference in edit.differences:
            typer.echo(f"  {difference}")


def _list_entry(item: PlatformObject) -> ListedContract:
    stored = readable_contract(item.body)
    return ListedContract(
        customer=CustomerId(item.name),
        version=item.version,
        classes=None if stored is None else len(stored.classes),
        operator="" if stored is None else stored.edit.operator,
    )


def _find_version(
    platform: Platform, customer: CustomerId, version: int | None, timeout_s: float
) -> ShownContract:
    current = read_contract(platform, customer, timeout_s=timeout_s)
    if current is not None and version in (None, current.version):
        classes = stored_from_json(current.body).classes
        return ShownContract(customer, current.version, classes)
    stored_history = read_history(platform, customer, timeout_s=timeout_s)
    for entry in stored_history.entries:
        if entry.version == version:
            return ShownContract(customer, entry.version, classes_of_entry(entry))
    missing = f"version {version} of contract" if version else "contract"
    message = f"there is no {missing} {customer!r}; see `contract list` and `contract history`"
    raise PlatformError(ErrorKind.PLATFORM_GONE, message)


def _read_edits(platform: Platform, customer: CustomerId, timeout_s: float) -> list[PastEdit]:
    """Return the edits in the history and the current version, newest first."""
    current = read_contract(platform, customer, timeout_s=timeout_s)
    entries = list(read_history(platform, customer, timeout_s=timeout_s).entries)
    if current is not None:
        current_contract = readable_contract(current.body)
        newest_entry = HistoryEntry(current.version, current.edit_id, current_contract)
        entries = [entry for entry in entries if entry.version < newest_entry.version] + [
            newest_entry
        ]
    edits: list[PastEdit] = []
    previous_classes: tuple[WrittenClass, ...] = ()
    for entry in entries:
        edits.append(_describe_edit(entry, previous_classes))
        previous_classes = classes_of_entry(entry)
    return edits[::-1]


def _describe_edit(entry: HistoryEntry, before: tuple[WrittenClass, ...]) -> PastEdit:
    edit = None if entry.contract is None else entry.contract.edit
    return PastEdit(
        version=entry.version,
        edit_id=entry.edit_id,
        operator="" if edit is None else edit.operator,
        edited_at_s=0.0 if edit is None else edit.edited_at_s,
        differences=differences(before, classes_of_entry(entry)),
    )
