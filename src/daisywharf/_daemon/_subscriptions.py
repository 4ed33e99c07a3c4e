"""Hand snapshots to the libraries on the VM that asked for them."""

from daisywharf._call._snapshot import Snapshot
from daisywharf._daemon._frames import Subscribe
from daisywharf._daemon._links import Link, Links
from daisywharf._ids import ServiceName


class Subscriptions:
    """Hold the links of subscribed libraries, with the services that each asked for."""

    def __init__(self) -> None:
        self.services_by_link: dict[Link, tuple[ServiceName, ...]] = {}


def subscribe(
    subscriptions: Subscriptions, links: Links, link: Link, frame: Subscribe, current: Snapshot
) -> None:
    """Add a library and give it the present snapshot."""
    subscriptions.services_by_link[link] = frame.services
    links.reply(link, _selected(current, frame.services))


def push_snapshot(subscriptions: Subscriptions, links: Links, snapshot: Snapshot) -> None:
    """Give a new snapshot to each subscribed library whose link is open."""
    for link, services in list(subscriptions.services_by_link.items()):
        if link.is_open:
            links.reply(link, _selected(snapshot, services))
        else:
            del subscriptions.services_by_link[link]


def _selected(snapshot: Snapshot, services: tuple[ServiceName, ...]) -> Snapshot:
    if not services:
        return snapshot
    return Snapshot(
        vm=snapshot.vm,
        zone=snapshot.zone,
        sequence=snapshot.sequence,
        contract_by_customer=snapshot.contract_by_customer,
        targets_by_service={
            service: snapshot.targets_by_service.get(service, ()) for service in services
        },
        share_by_class_by_customer=snapshot.share_by_class_by_customer,
    )
