"""The `target-standin` command, which runs a stand-in target for trials and tests."""

import argparse
import signal
import threading
from collections.abc import Callable
from pathlib import Path

from daisywharf._demo._targets import stand_in_app
from daisywharf._embedded._caller import EmbeddedCaller
from daisywharf._embedded._target import TargetServer
from daisywharf._topology import Address


def main(arguments: list[str]) -> int:
    """Serve until SIGTERM or SIGINT, then leave the fleet and finish the calls in flight."""
    options = _parser().parse_args(arguments)
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    stop_traces = _start_traces(options.traces, process=options.id)
    http, links = _parse_address(options.daemon_http), _parse_address(options.daemon_links)
    embedded = EmbeddedCaller(
        daemon=(links.host, links.port),
        name=options.id,
        keys=options.key,
        services=options.next,
    )
    app = stand_in_app(
        options.service,
        work_s=options.work_ms / 1_000.0,
        next_services=options.next,
        caller=lambda: embedded.caller,
    )
    server = TargetServer(
        app,
        target_id=options.id,
        service=options.service,
        slots=options.slots,
        connections=options.connections,
        daemon_http=(http.host, http.port),
    )
    server.start()
    print(f"target {server.address}", flush=True)
    if options.ready_file is not None:
        options.ready_file.write_text(f"target {server.address}\n")
    stopped.wait()
    server.stop()
    embedded.close()
    stop_traces()
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="daisywharf target-standin",
        description="Serve a stand-in target that sleeps and calls other services.",
        epilog="Example: daisywharf target-standin --service stock --id stock-1 "
        "--daemon-http 127.0.0.1:8501 --daemon-links 127.0.0.1:8401",
    )
    parser.add_argument("--service", required=True, help="name of the service")
    parser.add_argument("--id", required=True, help="name of the target")
    parser.add_argument("--daemon-http", required=True, help="HOST:PORT of the daemon's HTTP")
    parser.add_argument("--daemon-links", required=True, help="HOST:PORT of the daemon's links")
    parser.add_argument("--key", action="append", default=[], help="shared key of the links")
    parser.add_argument("--next", action="append", default=[], help="service to call on each call")
    parser.add_argument("--slots", type=int, default=8, help="concurrent calls")
    parser.add_argument("--connections", type=int, default=64, help="concurrent connections")
    parser.add_argument(
        "--work-ms", type=float, default=5.0, help="sleep of each call in milliseconds"
    )
    parser.add_argument("--traces", type=Path, help="write spans to this file")
    parser.add_argument("--ready-file", type=Path, help="write the address here once serving")
    return parser


def _start_traces(path: Path | None, *, process: str) -> Callable[[], None]:
    """Start to write spans to a file, if any, and return the function that stops it."""
    if path is None:
        return lambda: None
    from daisywharf._signals._trace_file import start_trace_file

    return start_trace_file(str(path), process=process)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
