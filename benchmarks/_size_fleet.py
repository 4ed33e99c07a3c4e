"""Start a fleet of real daemons on loopback, with targets and contracts."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec

from benchmarks._processes import Processes, address_in, write_settings
from benchmarks._processes_fleet import (
    KEY,
    PLATFORM_TIMEOUT_S,
    apply_contract,
    one_class_contract,
)
from daisywharf import CallClass, Contract, DaisywharfError
from daisywharf._contracts import contract_to_json
from daisywharf._daemon._announcement import Announcement
from daisywharf._embedded._target import Announcer
from daisywharf._ids import CustomerId, EditId
from daisywharf._objects._http_client import HttpPlatform
from daisywharf._objects._interface import ObjectKind
from daisywharf._topology import Address

ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE_COUNT = 12
CONTRACT_COUNT = 20
MAX_PARALLEL_STARTS = 4
MAX_PARALLEL_ANNOUNCEMENTS = 8
SLOTS = 120
CONNECTIONS = 900
EDIT_PERIOD_S = 4.0


class SizeFleet:
    """Hold the running daemons, and the threads that announce targets and edit contracts."""

    def __init__(self, processes: Processes, *, zones: int = len(ZONES)) -> None:
        self.zones = ZONES[:zones]
        self.processes = processes
        self.http_by_name: dict[str, Address] = {}
        self.links_by_name: dict[str, str] = {}
        self.platform = ""
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []
        self.renewals = 0
        self.failed_renewals = 0
        self.edits = 0

    def start(self, daemons: int) -> None:
        """Start the platform, its contracts and the daemons, and announce a target on each."""
        self.platform = self.processes.start("platform", "platform-standin").strip()
        for number in range(CONTRACT_COUNT):
            apply_contract(self.platform, _contract(number, rate=100.0))
        names = [f"vm-{number:03d}" for number in range(daemons)]
        for name in names[: len(ZONES)]:
            self._start_daemon(name)
        with ThreadPoolExecutor(MAX_PARALLEL_STARTS) as pool:
            list(pool.map(self._start_daemon, names[len(ZONES) :]))
        self._spawn(self._renew_announcements)

    def edit_periodically(self) -> None:
        """Edit one contract every `EDIT_PERIOD_S` until the fleet stops."""
        self._spawn(self._edit_until_stopped)

    def edit(self) -> tuple[str, int]:
        """Edit one contract and return its customer and new version."""
        self.edits += 1
        contract = _contract(self.edits % CONTRACT_COUNT, rate=100.0 + self.edits)
        client = HttpPlatform(self.platform)
        name = contract.customer
        current = client.get(ObjectKind.CONTRACT, name, timeout_s=PLATFORM_TIMEOUT_S)
        written = client.update(
            ObjectKind.CONTRACT,
            name,
            contract_to_json(contract),
            if_version=current.version,
            edit_id=EditId(f"size-{self.edits}"),
            timeout_s=PLATFORM_TIMEOUT_S,
        )
        return name, written.version

    def status(self, name: str) -> dict[str, Any]:
        """Return a daemon's status document."""
        return self._get(f"http://{self.http_by_name[name]}/status")

    def platform_calls(self) -> dict[str, int]:
        """Return the calls that the platform counted, by verb."""
        counts: dict[str, int] = self._get(f"{self.platform}/counts")["calls_by_verb"]
        return counts

    def pid(self, name: str) -> int:
        """Return a daemon's process id."""
        return self.processes.process_by_name[name].pid

    def stop(self) -> None:
        """Stop the fleet's threads; the processes are stopped separately, by their ids."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(timeout=10.0)

    def _get(self, url: str) -> dict[str, Any]:
        reply = self.processes.http.request("GET", url, timeout=10.0)
        assert reply.status == 200, reply.data
        document: dict[str, Any] = json.loads(reply.data)
        return document

    def _spawn(self, run: Any) -> None:
        thread = threading.Thread(target=run, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _start_daemon(self, name: str) -> None:
        index = int(name.removeprefix("vm-"))
        seeds = [self.links_by_name[f"vm-{number:03d}"] for number in range(min(index, len(ZONES)))]
        settings = write_settings(
            self.processes.directory,
            name,
            zone=self.zones[index % len(self.zones)],
            platform=self.platform,
            peers=seeds,
            keys=(KEY,),
        )
        ready = self.processes.start(name, "daemon", "--settings", str(settings))
        host, _, port = address_in(ready, "http").rpartition(":")
        self.http_by_name[name] = Address(host, int(port))
        self.links_by_name[name] = address_in(ready, "links")

    def _renew_announcements(self) -> None:
        announcements = [
            (Announcer(address), _announcement(index, name))
            for index, (name, address) in enumerate(sorted(self.http_by_name.items()))
        ]
        renew_after_s = 1.0
        with ThreadPoolExecutor(MAX_PARALLEL_ANNOUNCEMENTS) as pool:
            while not self.stopping.is_set():
                began_at = time.monotonic()
                renew_after_s = max(pool.map(lambda pair: self._renew(*pair), announcements))
                elapsed_s = time.monotonic() - began_at
                self.stopping.wait(max(0.0, renew_after_s - elapsed_s))

    def _renew(self, announcer: Announcer, announcement: Announcement) -> float:
        self.renewals += 1
        try:
            return announcer.announce(announcement).renew_after_s
        except DaisywharfError:
            self.failed_renewals += 1
            return 0.0

    def _edit_until_stopped(self) -> None:
        while not self.stopping.wait(EDIT_PERIOD_S):
            self.edit()


def _announcement(index: int, name: str) -> Announcement:
    return Announcement(
        target_id=f"target-{name}",
        service=f"service-{index // len(ZONES) % SERVICE_COUNT}",
        incarnation=1,
        address=Address("127.0.0.1", 20_000 + index),
        slots=SLOTS,
        connections=CONNECTIONS,
    )


def _contract(number: int, *, rate: float) -> Contract:
    customer = f"customer-{number:02d}"
    contract = one_class_contract(
        customer, service=f"service-{number % SERVICE_COUNT}", idempotent=True, rate_per_second=rate
    )
    classes: dict[Any, CallClass] = {}
    for call_class in contract.classes_by_name.values():
        for class_name in ("reads", "orders"):
            renamed = msgspec.structs.replace(call_class, name=f"{class_name}")
            classes[renamed.name] = renamed
    return Contract(CustomerId(customer), classes)
