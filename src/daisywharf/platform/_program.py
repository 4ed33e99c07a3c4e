"""The daemon's main program: settings, signals and servers."""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from daisywharf._errors import ConfigurationError
from daisywharf._mesh._clock import boot_now, wall_ms
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._http_server import HttpServer
from daisywharf._mesh._log_writer import LogWriter
from daisywharf._mesh._settings import MeshSettings
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._topology import Address
from daisywharf.platform._control import control_handler, metrics_handler, readiness_handler
from daisywharf.platform._headers import PlatformDialect
from daisywharf.platform._settings import SETTINGS_VARIABLE, read_settings
from daisywharf.platform._store import ObjectStore

SETTINGS_CHECK_S = 1.0  # period; the file may change without SIGHUP
EXIT_BAD_SETTINGS = 2
METRICS_PORT = 9464  # as `metrics` in deploy/system.toml


def main() -> None:
    """Run a daemon until SIGTERM; exit with `EXIT_BAD_SETTINGS` if its settings can't be read."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    try:
        settings = read_settings(path)
    except ConfigurationError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTINGS)
    gc.freeze()
    # Reference counting frees most objects; rare collections keep GC pauses out of calls.
    gc.set_threshold(50_000, 20, 50)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(path, settings))


async def _run(path: Path, settings: MeshSettings) -> None:
    writer = LogWriter({"vm": settings.vm, "zone": settings.zone}, wall_ms=wall_ms)
    writer.start()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unexpected)
    dialect = PlatformDialect()
    daemon = MeshDaemon(
        settings,
        dialect=dialect,
        store=ObjectStore(settings.store_address, now=boot_now),
        now=boot_now,
        started_ms=wall_ms(),
        rng=Random(),
    )
    ready = HttpServer(readiness_handler(lambda: daemon.is_ready), now=boot_now)
    control = HttpServer(
        control_handler(
            service=lambda: daemon.settings.service,
            handle_announcement=daemon.handle_announcement,
            handle_departure=daemon.handle_departure,
            is_departure_kept=daemon.is_departure_kept,
        ),
        now=boot_now,
    )
    await ready.start(settings.ready_address)
    await control.start(settings.announcements_address)
    handle_metrics = metrics_handler(lambda: [*daemon.metrics(), *writer.metrics()])
    metrics = HttpServer(handle_metrics, now=boot_now)
    await metrics.start(Address(settings.links_address.host, METRICS_PORT))
    await daemon.start()
    log_event(
        Event.DAEMON_STARTED,
        vm=settings.vm,
        zone=settings.zone,
        http=str(settings.entry_address),
        links=str(settings.links_address),
    )
    loop.add_signal_handler(signal.SIGTERM, lambda: asyncio.ensure_future(daemon.stop()))
    reload_now = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_now.set)
    watcher = asyncio.ensure_future(_follow_settings(path, daemon, reload_now))
    await daemon.stopped.wait()
    watcher.cancel()
    writer.flush()


def _log_unexpected(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception") or context["message"]
    log_event(Event.UNEXPECTED_ERROR, part=context["message"], error=repr(error))


async def _follow_settings(path: Path, daemon: MeshDaemon, reload_now: asyncio.Event) -> None:
    content = path.read_bytes()
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await reload_now.wait()
        except TimeoutError:
            pass
        reload_now.clear()
        try:
            fresh = path.read_bytes()
            if fresh == content:
                continue
            settings = read_settings(path)
        except (OSError, ConfigurationError) as error:
            log_event(Event.SETTINGS_UNREADABLE, error=str(error))
            continue
        content = fresh
        daemon.change_settings(settings)
