"""The `platform-standin` command, which runs the stand-in platform as a process."""

import argparse
import signal
import threading
from pathlib import Path

from daisywharf._objects._standin import Standin


def main(arguments: list[str]) -> int:
    """Serve until SIGTERM or SIGINT; write the URL to the ready file once serving."""
    parser = argparse.ArgumentParser(
        prog="daisywharf platform-standin",
        description="Serve an object API in memory, in place of the real platform, for trials.",
        epilog="Example: daisywharf platform-standin --port 8400",
    )
    parser.add_argument("--host", default="127.0.0.1", help="IP address to listen on")
    parser.add_argument("--port", type=int, default=0, help="port; 0 lets the kernel choose")
    parser.add_argument("--ready-file", type=Path, help="write the URL here once serving")
    options = parser.parse_args(arguments)
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    standin = Standin(options.host, options.port)
    standin.start()
    print(standin.base_url, flush=True)
    if options.ready_file is not None:
        _write_atomically(options.ready_file, standin.base_url)
    stopped.wait()
    standin.stop()
    return 0


def _write_atomically(path: Path, text: str) -> None:
    # A reader that polls for the file must never see it half-written.
    partial = path.with_suffix(".partial")
    partial.write_text(text + "\n")
    partial.replace(path)
