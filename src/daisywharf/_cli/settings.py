"""The commands for daemons' settings."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from daisywharf._cli.options import AsJson
from daisywharf._cli.output import print_json
from daisywharf._settings import load_settings

app = typer.Typer(no_args_is_help=True)


@app.callback()
def settings_options() -> None:
    """Check daemons' settings."""


@app.command(epilog="Example: daisywharf settings check daemon.yaml")
def check(
    file: Annotated[Path, typer.Argument(help="settings file of a daemon")],
    as_json: AsJson = False,
    is_platform_s: Annotated[
        bool,
        typer.Option(
            "--platform", help="read the file in the form in which the platform writes it"
        ),
    ] = False,
) -> None:
    """Check a settings file; with --json, print it with its defaults and without its keys."""
    if is_platform_s:
        _check_platform_settings(file, as_json=as_json)
        return
    settings = load_settings(file)
    if as_json:
        print_json(msgspec.structs.replace(settings, keys=()))
        return
    typer.echo(f"{file}: sound, for {settings.vm} in {settings.zone}")


def _check_platform_settings(file: Path, *, as_json: bool) -> None:
    from daisywharf.platform._settings import read_settings

    settings = read_settings(file)
    if as_json:
        print_json(settings)
        return
    typer.echo(f"{file}: sound, for {settings.vm} in {settings.zone}, beside {settings.service}")
