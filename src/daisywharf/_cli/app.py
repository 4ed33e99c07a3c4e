"""The entry point of the command line, which imports only the chosen command."""

import importlib
import sys
from typing import Final

# These commands parse their arguments with argparse, so their processes never import typer.
MODULE_BY_ARGPARSE_COMMAND: Final = {
    "daemon": "daisywharf._cli.daemon",
    "demo": "daisywharf._cli.demo",
    "experiment": "daisywharf._cli.experiment",
    "explain": "daisywharf._cli.explain",
    "platform-standin": "daisywharf._cli.platform_standin",
    "replay": "daisywharf._cli.replay",
    "report": "daisywharf._cli.report",
    "target-standin": "daisywharf._cli.target_standin",
}


def main() -> None:
    """Run the command line of this process and exit with the command's exit code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    name = arguments[0] if arguments else ""
    module_name = MODULE_BY_ARGPARSE_COMMAND.get(name, "daisywharf._cli.operators")
    module = importlib.import_module(module_name)
    uses_argparse = name in MODULE_BY_ARGPARSE_COMMAND
    return int(module.main(arguments[1:] if uses_argparse else arguments))
