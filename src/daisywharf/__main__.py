"""Run the command line as `python -m daisywharf`."""

from daisywharf._cli.app import main

main()
