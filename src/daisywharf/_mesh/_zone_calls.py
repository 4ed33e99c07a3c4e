"""Count an entry's calls by destination zone, and log when a service's calls leave the zone."""

from typing import Final

from daisywharf._ids import ServiceName, ZoneName
from daisywharf._mesh._counts import MAX_SERIES, OTHER
from daisywharf._mesh._services import Services
from daisywharf._routing._placement import Placement
from daisywharf._routing._zone_spill import ZoneSpill, end_idle_spill
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._signals._metrics import Metric, Sample, counter, gauge

NO_ZONE: Final = "any"


class ZoneCalls:
    """Hold the number of calls by service and destination zone, and since when services leave."""

    def __init__(self) -> None:
        self.count_by_destination: dict[tuple[str, str], int] = {}
        self.leaving_since: dict[ServiceName, float] = {}


def record_zone_call(
    calls: ZoneCalls, service: ServiceName, placement: Placement, zone: ZoneName, *, now: float
) -> None:
    """Count a call that is sent to a zone, and log if its service starts or stops leaving."""
    destination: tuple[str, str] = (service, zone)
    count = calls.count_by_destination.get(destination)
    if count is None and len(calls.count_by_destination) >= MAX_SERIES:
        destination = (OTHER, OTHER)
        count = calls.count_by_destination.get(destination)
    calls.count_by_destination[destination] = (count or 0) + 1
    if placement.spill.is_leaving is not (service in calls.leaving_since):
        _log_change(calls, service, placement.spill, now=now)


def end_idle_spills(calls: ZoneCalls, services: Services, *, now: float) -> None:
    """End the spill of services that are no longer called, and log it."""
    for service in list(calls.leaving_since):
        spill = services.placement_of(service).spill
        end_idle_spill(spill, now=now)
        if not spill.is_leaving:
            _log_change(calls, service, spill, now=now)


def _log_change(calls: ZoneCalls, service: ServiceName, spill: ZoneSpill, *, now: float) -> None:
    if spill.is_leaving:
        calls.leaving_since[service] = now
        log_event(
            Event.SPILL_STARTED,
            service=service,
            share=round(spill.share, 3),
            load=round(spill.load, 3),
            destinations=", ".join(sorted(spill.share_by_zone)) or NO_ZONE,
        )
        return
    log_event(
        Event.SPILL_ENDED,
        service=service,
        spilled_s=round(now - calls.leaving_since.pop(service), 1),
        load=round(spill.load, 3),
    )


def zone_call_metrics(calls: ZoneCalls, services: Services, *, zone: ZoneName) -> list[Metric]:
    """Return the metrics of calls by destination zone and of the shares that leave the zone."""
    counts = [
        Sample(count, {"service": service, "to_zone": to_zone, "zone": zone})
        for (service, to_zone), count in sorted(calls.count_by_destination.items())
    ]
    shares = [
        Sample(placement.spill.share, {"service": service, "zone": zone})
        for service, placement in sorted(services.placement_by_service.items())[:MAX_SERIES]
        if placement.candidates
    ]
    return [
        counter("daisywharf_zone_calls_total", "Calls sent, by destination zone.", *counts),
        gauge("daisywharf_spill_share", "Share of the calls that leaves the zone.", *shares),
    ]
