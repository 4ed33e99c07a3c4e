"""Run the small fleet of the demonstration in this process: platform, daemon and targets."""

import threading
import time
from pathlib import Path
from typing import Final

from daisywharf._call._snapshot import is_ready
from daisywharf._contracts import contract_to_json, load_contract_file
from daisywharf._daemon._daemon import Daemon
from daisywharf._demo._targets import stand_in_app
from daisywharf._embedded._caller import EmbeddedCaller
from daisywharf._embedded._target import TargetServer
from daisywharf._ids import EditId, ServiceName, VmId, ZoneName
from daisywharf._objects._embedded import EmbeddedPlatform
from daisywharf._objects._interface import ObjectKind
from daisywharf._settings import DaemonSettings
from daisywharf._topology import Address

ANY_LOCAL_PORT: Final = Address("127.0.0.1", 0)
CALLER_KEY: Final = "demonstration"
NEXT_SERVICES_BY_SERVICE: Final[dict[str, tuple[str, ...]]] = {
    "orders": ("stock",),
    "catalogue": ("stock",),
    "stock": ("drawings",),
    "drawings": (),
}
TARGETS_PER_SERVICE: Final = 2
SLOTS: Final = 3
WORK_S: Final = 0.03
CONNECTIONS: Final = 64
HTTP_THREADS: Final = 96
READY_TIMEOUT_S: Final = 10.0


class DemoFleet:
    """Hold the platform, the daemon, the targets and their callers."""

    def __init__(self, contracts: Path) -> None:
        self.platform = EmbeddedPlatform()
        settings = DaemonSettings(
            vm=VmId("vm-1"),
            zone=ZoneName("perth-1"),
            links=ANY_LOCAL_PORT,
            http=ANY_LOCAL_PORT,
            keys=(CALLER_KEY,),
            http_threads=HTTP_THREADS,
        )
        self.daemon = Daemon(settings, platform=self.platform)
        for path in sorted(contracts.glob("*.yaml")):
            contract = load_contract_file(path)
            self.platform.create(
                ObjectKind.CONTRACT,
                contract.customer,
                contract_to_json(contract),
                edit_id=EditId(f"demo-{contract.customer}"),
                timeout_s=1.0,
            )
        self.targets: list[TargetServer] = []
        self.callers: list[EmbeddedCaller] = []

    def start(self) -> None:
        """Start the daemon and the targets; return when the fleet is ready, or after a timeout."""
        self.daemon.start()
        for service in NEXT_SERVICES_BY_SERVICE:
            for number in range(1, TARGETS_PER_SERVICE + 1):
                self._start_target(service, f"{service}-{number}")
        ready_deadline = time.monotonic() + READY_TIMEOUT_S
        while not self._is_ready() and time.monotonic() < ready_deadline:
            time.sleep(0.05)

    def stop(self) -> None:
        """Stop the targets, the callers and the daemon."""
        # Each target waits until its withdrawal has spread, so all are stopped concurrently.
        stopping = [threading.Thread(target=target.stop) for target in self.targets]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()
        for caller in self.callers:
            caller.close()
        self.daemon.stop()

    def retries(self) -> int:
        """Return the number of retries of all callers so far."""
        embedded_retries = sum(caller.caller.retries for caller in self.callers)
        return embedded_retries + self.daemon.caller.retries

    def _is_ready(self) -> bool:
        snapshot = self.daemon.holder.current
        all_announced = all(
            len(snapshot.targets_by_service.get(ServiceName(service), ())) == TARGETS_PER_SERVICE
            for service in NEXT_SERVICES_BY_SERVICE
        )
        return all_announced and is_ready(snapshot)

    def _start_target(self, service: str, name: str) -> None:
        links_address = self.daemon.running.member.address
        http_address = self.daemon.http.address
        embedded = EmbeddedCaller(
            daemon=(links_address.host, links_address.port), name=name, keys=(CALLER_KEY,)
        )
        app = stand_in_app(
            service,
            work_s=WORK_S,
            next_services=NEXT_SERVICES_BY_SERVICE[service],
            caller=lambda: embedded.caller,
        )
        target = TargetServer(
            app,
            target_id=name,
            service=service,
            slots=SLOTS,
            connections=CONNECTIONS,
            daemon_http=(http_address.host, http_address.port),
        )
        target.start()
        self.callers.append(embedded)
        self.targets.append(target)
