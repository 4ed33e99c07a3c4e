"""Send snapshots to the subscribed libraries on the VM."""

from msgspec.structs import replace

from daisywharf._call._snapshot import Snapshot
from daisywharf._daemon._frames import Subscribe
from daisywharf._daemon._links import Link, Links
from daisywharf._ids import ServiceName


class Subscriptions:
    """Hold the links of subscribed libraries, with the services that each requested."""

    def __init__(self) -> None:
        self.services_by_link: dict[Link, tuple[ServiceName, ...]] = {}


def subscribe(
    subscriptions: Subscriptions, links: Links, link: Link, frame: Subscribe, current: Snapshot
) -> None:
    """Add a library and send it the current snapshot."""
    subscriptions.services_by_link[link] = frame.services
    links.reply(link, _select_services(current, frame.services))


def push_snapshot(subscriptions: Subscriptions, links: Links, snapshot: Snapshot) -> None:
    """Send a new snapshot to each subscribed library; drop those whose link has closed."""
    for link, services in list(subscriptions.services_by_link.items()):
        if link.is_open:
            links.reply(link, _select_services(snapshot, services))
        else:
            del subscriptions.services_by_link[link]


def _select_services(snapshot: Snapshot, services: tuple[ServiceName, ...]) -> Snapshot:
    if not services:
        return snapshot
    selected_targets = {
        service: snapshot.targets_by_service.get(service, ()) for service in services
    }
    return replace(snapshot, targets_by_service=selected_targets)
