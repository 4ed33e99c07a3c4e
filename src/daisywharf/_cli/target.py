"""The commands for targets."""

from typing import Annotated

import typer

from daisywharf._cli.daemon_client import DaemonClient
from daisywharf._cli.options import AsJson, DaemonUrl, TimeoutS
from daisywharf._cli.output import print_json, print_table
from daisywharf._ids import TargetId

app = typer.Typer(no_args_is_help=True)


@app.command("list", epilog="Example: daisywharf target list --service orders")
def list_targets(
    daemon: DaemonUrl,
    service: Annotated[str, typer.Option(help="show only this service")] = "",
    as_json: AsJson = False,
    timeout_s: TimeoutS = 5,
) -> None:
    """List the targets that a daemon knows, in all zones."""
    targets = [
        target
        for target in DaemonClient(daemon, timeout_s=timeout_s).targets()
        if service in ("", target.service)
    ]
    targets.sort(key=lambda target: (target.service, target.zone, target.target_id))
    if as_json:
        print_json(targets)
        return
    rows = [
        (
            target.target_id,
            target.service,
            target.zone,
            target.vm,
            target.address,
            target.slots,
            target.state.value,
        )
        for target in targets
    ]
    print_table(("TARGET", "SERVICE", "ZONE", "VM", "ADDRESS", "SLOTS", "STATE"), rows)


@app.command(epilog="Example: daisywharf target drain orders-3")
def drain(
    target: Annotated[str, typer.Argument(help="target's id, as `target list` shows it")],
    daemon: DaemonUrl,
    timeout_s: TimeoutS = 5,
) -> None:
    """Drain a target: it finishes its calls and receives no new work."""
    DaemonClient(daemon, timeout_s=timeout_s).drain(TargetId(target))
    typer.echo(f"{target}: draining")
