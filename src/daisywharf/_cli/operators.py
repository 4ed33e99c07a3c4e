"""The typer application with all commands."""

import sys

import typer

from daisywharf._cli import (
    configuration,
    contract_edits,
    contract_reads,
    settings,
    status,
    target,
)
from daisywharf._cli.app import MODULE_BY_ARGPARSE_COMMAND
from daisywharf._cli.exit_codes import code_for
from daisywharf._errors import DaisywharfError

HELP_BY_ARGPARSE_COMMAND = {
    "daemon": "Run the daemon of a VM.",
    "demo": "Run a small fleet through a surge, in one process.",
    "experiment": "Run a load pattern through the real decision code on a virtual clock.",
    "explain": "Show what happened to a request, from daemons' logs.",
    "platform-standin": "Serve an object API in memory, for trials.",
    "replay": "Replay a recorded trace and compare it with expected outcomes.",
    "report": "Turn daemons' logs into a page with plots.",
    "target-standin": "Run a target that stands in for a service, for trials.",
}

app = typer.Typer(
    name="daisywharf",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
contracts = typer.Typer(no_args_is_help=True, help="Check, apply and read contracts.")
contracts.registered_commands += contract_reads.app.registered_commands
contracts.registered_commands += contract_edits.app.registered_commands
app.add_typer(contracts, name="contract")
app.add_typer(configuration.app, name="configuration")
app.add_typer(target.app, name="target", help="List and drain targets.")
app.add_typer(settings.app, name="settings")
app.command(epilog="Example: daisywharf status --customer builders")(status.status)
app.command(epilog="Example: daisywharf order counter-7 --customer counter-staff")(status.order)


@app.callback()
def main_options() -> None:
    """Keep service call graphs useful when demand outruns capacity."""


def main(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    try:
        app(args=arguments, prog_name="daisywharf")
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    except DaisywharfError as error:
        print(error, file=sys.stderr)
        return int(code_for(error.kind))
    return 0


def _register_argparse_command(name: str) -> None:
    # `app.run` runs these before typer is imported; here they only add help and completion.
    @app.command(name, help=HELP_BY_ARGPARSE_COMMAND[name])
    def plain_command() -> None:
        pass


for _name in MODULE_BY_ARGPARSE_COMMAND:
    _register_argparse_command(_name)
