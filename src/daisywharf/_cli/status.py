"""The commands that show a daemon's state and an order's outcome."""

from typing import Annotated

import typer

from daisywharf._cli.daemon_client import DaemonClient
from daisywharf._cli.options import AsJson, DaemonUrl, TimeoutS
from daisywharf._cli.output import print_json, print_table
from daisywharf._daemon._in_force import ContractInForce, ZoneCount
from daisywharf._ids import CustomerId


def status(
    daemon: DaemonUrl,
    customer: Annotated[
        str, typer.Option(help="count the daemons that confirmed this customer's contract, by zone")
    ] = "",
    as_json: AsJson = False,
    timeout_s: TimeoutS = 5,
) -> None:
    """Show a daemon and the contracts that it has; with a customer, also by zone."""
    customer_id = CustomerId(customer) if customer else None
    view = DaemonClient(daemon, timeout_s=timeout_s).status(customer_id)
    if as_json:
        print_json(view)
        return
    confirmation = "confirmed" if view.is_confirmed else "not confirmed yet"
    typer.echo(f"{view.vm} in {view.zone}: its copy of the contracts is {confirmation}")
    rows = [
        row
        for contract in view.in_force
        if customer in ("", contract.customer)
        for row in _rows_of(contract)
    ]
    print_table(("CUSTOMER", "VERSION", "ZONE", "CONFIRMED"), rows)


def order(
    key: Annotated[str, typer.Argument(help="idempotency key of the order or booking")],
    customer: Annotated[str, typer.Option(help="customer that sent it")],
    daemon: DaemonUrl,
    timeout_s: TimeoutS = 5,
) -> None:
    """Show the state of an order or booking as JSON."""
    client = DaemonClient(daemon, timeout_s=timeout_s)
    print_json(client.order(key, CustomerId(customer)))


def _rows_of(held: ContractInForce) -> list[tuple[object, ...]]:
    """Return the table rows of a contract: one for each zone, or a single one without counts."""
    if not held.zones:
        return [(held.customer, held.version, "-", "-")]
    return [
        (held.customer, held.version, zone.zone, _format_confirmed(zone)) for zone in held.zones
    ]


def _format_confirmed(zone: ZoneCount) -> str:
    return f"{zone.confirmed} of {zone.daemons}" if zone.is_reachable else "can't be reached"
