"""The command that checks a configuration before it is sent."""

from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
import yaml

from daisywharf._cli.exit_codes import ExitCode
from daisywharf._cli.options import AsJson
from daisywharf._cli.output import print_json
from daisywharf._configuration import Configuration
from daisywharf._configuration_check import (
    Difference,
    Finding,
    Severity,
    check_configuration,
    check_version,
    compare_versions,
)
from daisywharf._errors import ConfigurationError, ErrorKind

app = typer.Typer(no_args_is_help=True)


@app.callback()
def configuration_options() -> None:
    """Check configurations of the users' platform."""


@app.command(epilog="Example: daisywharf configuration check new.json --in-force now.json")
def check(
    file: Annotated[Path, typer.Argument(help="the configuration to send, as JSON or YAML")],
    in_force: Annotated[
        Path | None, typer.Option("--in-force", help="the configuration in force, to compare with")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Check a configuration; exit with 3 if it has errors, with 1 if it only has warnings."""
    new, findings = _read(file)
    findings += check_configuration(new)
    differences: list[Difference] = []
    if in_force is not None:
        present, _ = _read(in_force)
        findings += check_version(new, present)
        differences = compare_versions(new, present)
    if as_json:
        print_json({"findings": findings, "differences": differences})
    else:
        _print(file, findings, differences, is_compared=in_force is not None)
    severities = {finding.severity for finding in findings}
    if Severity.ERROR in severities:
        raise typer.Exit(ExitCode.INVALID)
    if severities:
        raise typer.Exit(ExitCode.FAILED)


def _print(
    file: Path, findings: list[Finding], differences: list[Difference], *, is_compared: bool
) -> None:
    for finding in findings:
        typer.echo(f"{file}: {finding.severity.value}: {finding.entry} {finding.message}")
    for difference in differences:
        typer.echo(f"{file}: change: {difference.entry} {difference.message}")
    if not findings:
        typer.echo(f"{file}: sound")
    if is_compared and not differences:
        typer.echo(f"{file}: no difference to the version in force")


def _read(file: Path) -> tuple[Configuration, list[Finding]]:
    """Return the configuration in a file, and a finding for each entry that would be ignored."""
    from daisywharf.platform._configuration import (
        RESOURCE_KINDS,
        entries_of_unknown_kind,
        read_configuration,
    )

    findings: list[Finding] = []
    document = _load(file)
    configuration = read_configuration(
        document,
        on_unreadable=lambda entry, error: findings.append(
            Finding(
                Severity.ERROR, f"entry {entry}", f"can't be read and would be ignored: {error}"
            )
        ),
    )
    kinds = ", ".join(RESOURCE_KINDS)
    findings += [
        Finding(
            Severity.WARNING,
            f"entry {entry}",
            f"is of an unknown kind and would be ignored; use one of {kinds}",
        )
        for entry in entries_of_unknown_kind(document)
    ]
    return configuration, findings


def _load(file: Path) -> Any:
    """Decode a file; raise `ConfigurationError` without the content, which may hold keys."""
    try:
        content = file.read_bytes()
        return msgspec.json.decode(content) if file.suffix == ".json" else yaml.safe_load(content)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            ErrorKind.INVALID_SETTINGS, f"{file} can't be read: {type(error).__name__}"
        ) from None
    except (msgspec.DecodeError, RecursionError, ValueError, yaml.YAMLError) as error:
        # The YAML decoder raises ValueError for a number or a date out of range.
        mark = getattr(error, "problem_mark", None)
        where = f" at line {mark.line + 1}" if mark is not None else ""
        raise ConfigurationError(
            ErrorKind.INVALID_SETTINGS, f"{file} is neither JSON nor YAML{where}"
        ) from None
