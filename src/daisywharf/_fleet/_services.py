"""List the services that a daemon knows of."""

from daisywharf._fleet._state import FleetState
from daisywharf._ids import ServiceName


def services_of(state: FleetState) -> set[ServiceName]:
    """Return the services of all known targets."""
    return {target.service for target in state.target_by_id.values()}
