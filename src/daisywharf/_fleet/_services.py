"""List the services that a daemon knows of."""

from daisywharf._fleet._messages import Scope, ServiceSummary
from daisywharf._fleet._model import FleetState
from daisywharf._ids import ServiceName


def services_of(state: FleetState) -> set[ServiceName]:
    """Return the services of all known targets, those of other zones included."""
    services = {target.service for record in state.member_records() for target in record.targets}
    for record in state.store_by_scope[Scope.SUMMARIES].record_by_key.values():
        if isinstance(record, ServiceSummary):
            services.add(record.service)
    return services
