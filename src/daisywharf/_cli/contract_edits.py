"""The commands that apply and delete contracts."""

import os
import time
import uuid
from functools import partial
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from daisywharf._cli.contract_files import ContractFile, load_contract_files
from daisywharf._cli.daemon_client import DaemonClient
from daisywharf._cli.exit_codes import ExitCode
from daisywharf._cli.in_force import Progress, wait_until_in_force
from daisywharf._cli.options import (
    AsJson,
    Customer,
    OptionalDaemonUrl,
    PlatformUrl,
    TimeoutS,
    platform_at,
)
from daisywharf._cli.output import print_json, print_progress
from daisywharf._contracts._differences import Difference
from daisywharf._contracts._edits import (
    Applied,
    EditCall,
    EditConflictError,
    apply_contract,
    delete_contract,
)
from daisywharf._contracts._schema import Edit
from daisywharf._ids import CustomerId, EditId, Version

MAX_OPERATOR_CHARS = 64

app = typer.Typer()

Files = Annotated[list[Path], typer.Argument(help="contract files, or directories of *.yaml")]
Operator = Annotated[str, typer.Option(envvar="USER", help="operator's name, for the history")]
EditIdOption = Annotated[
    str, typer.Option("--edit-id", help="id of an earlier edit whose outcome is unknown")
]


class ApplyReport(msgspec.Struct, frozen=True):
    """Report the outcome of one edit; `progress` is None without `--wait`."""

    applied: Applied
    progress: Progress | None


class DeleteReport(msgspec.Struct, frozen=True):
    """Report the version of a deletion, 0 if the contract was deleted already."""

    customer: CustomerId
    version: Version


@app.command(epilog="Example: daisywharf contract apply contracts/karri-ridge --wait 20")
def apply(
    *,
    files: Files,
    platform: PlatformUrl,
    if_version: Annotated[
        int | None, typer.Option(min=1, help="version to replace, instead of the file's")
    ] = None,
    wait_s: Annotated[
        float, typer.Option("--wait", min=0, help="seconds to wait until the version is in force")
    ] = 0,
    daemon: OptionalDaemonUrl = "",
    edit_id: EditIdOption = "",
    operator: Operator = "",
    as_json: AsJson = False,
    timeout_s: TimeoutS = 5,
) -> None:
    """Apply contract files, each as a separate edit, after checking all of them."""
    contract_files = load_contract_files(files)
    if if_version and len(contract_files) != 1:
        raise typer.BadParameter(f"--if-version takes one file, not {len(contract_files)}")
    if wait_s and not daemon:
        raise typer.BadParameter("--wait needs a daemon to poll; set --daemon")
    edit_id_prefix = edit_id or uuid.uuid4().hex
    reports: list[ApplyReport] = []
    try:
        for file in contract_files:
            call = _new_edit_call(
                platform, f"{edit_id_prefix}.{file.contract.customer}", operator, timeout_s
            )
            applied = _apply_one(call, file, if_version)
            print_progress(_format_applied(applied))
            reports.append(ApplyReport(applied, None))
    finally:
        # Edits applied before a failure stay applied, so report them.
        if as_json and (not wait_s or len(reports) < len(contract_files)):
            print_json(reports)
    if wait_s:
        _wait_until_all_in_force(reports, daemon, wait_s, as_json=as_json)


@app.command(epilog="Example: daisywharf contract delete builders --if-version 17")
def delete(
    *,
    customer: Customer,
    platform: PlatformUrl,
    if_version: Annotated[int, typer.Option(min=1, help="version to delete")],
    operator: Operator = "",
    as_json: AsJson = False,
    timeout_s: TimeoutS = 5,
) -> None:
    """Delete a contract; all requests of its customer are then refused."""
    call = _new_edit_call(platform, uuid.uuid4().hex, operator, timeout_s)
    name = CustomerId(customer)
    try:
        version = delete_contract(call, name, if_version=Version(if_version))
    except EditConflictError as error:
        _show_conflict(error)
        raise
    if as_json:
        print_json(DeleteReport(name, version))
        return
    typer.echo(f"{customer}: deleted at version {version}")


def _new_edit_call(platform: str, edit_id: str, operator: str, timeout_s: float) -> EditCall:
    name = (operator or os.environ.get("LOGNAME", ""))[:MAX_OPERATOR_CHARS]
    edit = Edit(operator=name, edited_at_s=time.time())
    return EditCall(platform_at(platform), EditId(edit_id), edit, timeout_s, time.sleep)


def _apply_one(call: EditCall, file: ContractFile, if_version: int | None) -> Applied:
    contract = file.contract
    if if_version:
        contract = msgspec.structs.replace(contract, version=if_version)
    try:
        return apply_contract(call, contract)
    except EditConflictError as error:
        _show_conflict(error)
        raise


def _show_conflict(error: EditConflictError) -> None:
    _show_differences("they changed", error.theirs)
    _show_differences("you change", error.yours)
    if error.current_version:
        print_progress(f"to replace it, run again with --if-version {error.current_version}")
    else:
        print_progress("to create it, remove the version line from the file")


def _show_differences(title: str, found: tuple[Difference, ...]) -> None:
    for difference in found:
        print_progress(f"  {title} {difference}")


def _format_applied(applied: Applied) -> str:
    outcome = applied.outcome.value.replace("-", " ")
    return f"{applied.customer}: {outcome} at version {applied.version}, edit {applied.edit_id}"


def _wait_until_all_in_force(
    reports: list[ApplyReport], daemon: str, wait_s: float, *, as_json: bool
) -> None:
    deadline = time.monotonic() + wait_s
    client = DaemonClient(daemon, timeout_s=min(wait_s, 5.0))
    reports_with_progress: list[ApplyReport] = []
    for report in reports:
        applied = report.applied
        progress = wait_until_in_force(
            partial(client.status, applied.customer),
            applied.customer,
            applied.version,
            wait_s=deadline - time.monotonic(),
            tell=print_progress,
        )
        reports_with_progress.append(ApplyReport(applied, progress))
        for zone in progress.unreachable:
            print_progress(
                f"{applied.customer}: zone {zone} can't be reached; in force there later"
            )
    if as_json:
        print_json(reports_with_progress)
    if not all(report.progress and report.progress.is_in_force for report in reports_with_progress):
        raise typer.Exit(ExitCode.NOT_IN_FORCE)
