"""Start a small fleet of real processes: platform, daemons and stand-in targets."""

from benchmarks._processes import Processes, address_in, write_settings
from daisywharf import CallClass, Contract, Importance
from daisywharf._contracts import contract_to_json
from daisywharf._ids import CallClassName, CustomerId, EditId, ServiceName
from daisywharf._objects._http_client import HttpPlatform
from daisywharf._objects._interface import ObjectKind

KEY = "a-shared-key"
PLATFORM_TIMEOUT_S = 5.0


def start_daemon(
    processes: Processes, name: str, *, zone: str, platform: str, peers: tuple[str, ...] = ()
) -> str:
    """Start a daemon from a settings file and return the content of its ready file."""
    settings = write_settings(
        processes.directory, name, zone=zone, platform=platform, peers=peers, keys=(KEY,)
    )
    return processes.start(name, "daemon", "--settings", str(settings))


def start_target(
    processes: Processes, name: str, service: str, daemon: str, *extra_arguments: str
) -> str:
    """Start a stand-in target on a daemon's VM and return the content of its ready file."""
    return processes.start(
        name,
        "target-standin",
        *("--service", service, "--id", name, "--key", KEY),
        *("--daemon-http", address_in(daemon, "http")),
        *("--daemon-links", address_in(daemon, "links")),
        *extra_arguments,
    )


def apply_contract(platform: str, contract: Contract) -> None:
    """Create a new customer's contract directly on the platform."""
    HttpPlatform(platform).create(
        ObjectKind.CONTRACT,
        contract.customer,
        contract_to_json(contract),
        edit_id=EditId(f"edit-{contract.customer}"),
        timeout_s=PLATFORM_TIMEOUT_S,
    )


def one_class_contract(
    customer: str, *, service: str, idempotent: bool, rate_per_second: float = 10_000.0
) -> Contract:
    """Build a contract with the one class `work`."""
    name = CallClassName("work")
    work = CallClass(
        name=name,
        services=(ServiceName(service),),
        importance=Importance.CRITICAL,
        rate_per_second=rate_per_second,
        burst=rate_per_second,
        deadline_ms=3_000,
        idempotent=idempotent,
        retries=2,
    )
    return Contract(CustomerId(customer), {name: work})
