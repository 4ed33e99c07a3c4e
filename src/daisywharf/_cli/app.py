"""Assemble the command line."""

import typer

app = typer.Typer(name="daisywharf", no_args_is_help=True)


@app.callback()
def main_options() -> None:
    """Keep service call graphs useful when demand outruns capacity."""


def main() -> None:
    """Run the command line."""
    app()
