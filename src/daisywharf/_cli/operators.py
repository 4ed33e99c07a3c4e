"""Assemble the operators' commands."""

import typer

app = typer.Typer(name="daisywharf", no_args_is_help=True)


@app.callback()
def main_options() -> None:
    """Keep service call graphs useful when demand outruns capacity."""


def main(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    return int(app(arguments, standalone_mode=False) or 0)
