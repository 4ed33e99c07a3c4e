"""The `daemon` command, which runs one daemon until a signal stops it."""

import argparse
import signal
import sys
import threading
from pathlib import Path

from daisywharf._cli.exit_codes import ExitCode
from daisywharf._errors import ConfigurationError


def main(arguments: list[str]) -> int:
    """Run a daemon with the settings of a file; stop on SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="daisywharf daemon", description=main.__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="YAML file")
    parser.add_argument("--ready-file", type=Path, help="write the addresses here once serving")
    options = parser.parse_args(arguments)
    from daisywharf._daemon._daemon import Daemon
    from daisywharf._settings import load_settings
    from daisywharf._signals import configure_events

    try:
        settings = load_settings(options.settings)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID
    configure_events(
        is_json=settings.log.format == "json",
        level=settings.log.level,
        context={"vm": settings.vm, "zone": settings.zone},
    )
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    daemon = Daemon(settings)
    daemon.start()
    addresses = f"http {daemon.http.address}\nlinks {daemon.running.member.address}\n"
    print(addresses, end="", flush=True)
    if options.ready_file is not None:
        options.ready_file.write_text(addresses)
    stopped.wait()
    daemon.stop()
    return 0
