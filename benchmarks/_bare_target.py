"""Serve a stand-in target without daisywharf in the call's path, as a baseline."""

import argparse
import signal
import threading
from pathlib import Path

from daisywharf._demo._targets import stand_in_app
from daisywharf._http_server import HttpServer
from daisywharf._topology import Address


def main() -> None:
    """Serve until SIGTERM; write the address to the ready file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ready-file", type=Path, required=True)
    options = parser.parse_args()
    server = HttpServer(
        stand_in_app("bare", work_s=0.0), address=Address("127.0.0.1", 0), threads=32
    )
    server.start()
    options.ready_file.write_text(f"target {server.address}\n")
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    stopped.wait()
    server.stop()


main()
