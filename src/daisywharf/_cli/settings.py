"""The commands about a daemon's settings."""

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
) -> None:
    """Check a settings file; with --json, print it with its defaults and without its keys."""
    settings = load_settings(file)
    if as_json:
        print_json(msgspec.structs.replace(settings, keys=()))
        return
    typer.echo(f"{file}: sound, for {settings.vm} in {settings.zone}")
