"""Which daemons get a report and a gate's load: all of a small fleet, some of a large one."""

from collections import Counter

import pytest

from daisywharf._ids import TargetId, VmId
from daisywharf._mesh._frames import (
    Frame,
    GateLoad,
    RelayLoad,
    Report,
    StatusUpdate,
    TargetLoad,
    ZoneLoads,
    encode_frame,
)
from daisywharf._mesh._load_relay import (
    MAX_RELAYED_LOADS,
    RelayQueue,
    enqueue_load,
    pop_due,
    relay_partner,
    rotating_subset,
)
from daisywharf._mesh._reporting import MAX_LOAD_BYTES, REPORTS_ELSEWHERE, REPORTS_IN_ZONE
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._origins import RouteCount
from daisywharf._routing._placement import SUSPECT_AFTER_S

PERIOD_S = 0.5  # of a loaded gate
# Bytes a second that the users allow a daemon to send for control.
MAX_BYTES_PER_S = 13_000.0
LOAD = GateLoad(120, 40, 122, 2.173)
STATUS = StatusUpdate(12, True, LOAD, 1250)
REPORT = Report(
    STATUS,
    tuple(CallsBelow("catalogue", "r-abcdef", "orders", "r-ghijkl", 1.003) for _ in range(4)),
    "catalogue",
    tuple(RouteCount("r-abcdef", 25) for _ in range(7)),
)


def _bytes(frame: Frame) -> int:
    return len(encode_frame(frame))


class Fleet:
    """Simulate rounds of reports in zones of equal size; daemons report at different times."""

    def __init__(self, *, zones: int, daemons: int) -> None:
        self.vms_by_zone = [
            [VmId(f"z{zone}-{number}") for number in range(daemons)] for zone in range(zones)
        ]
        self.queue_by_vm = {vm: RelayQueue() for vms in self.vms_by_zone for vm in vms}
        self.sent_by_vm: Counter[VmId] = Counter()
        self.lost_vms: set[VmId] = set()
        # When the newest known load was measured, in seconds, by receiver and gate.
        self.measured_at: dict[tuple[VmId, VmId], float] = {}

    def play(self, rounds: int, *, first: int = 0) -> None:
        vms = [vm for zone in zip(*self.vms_by_zone, strict=True) for vm in zone]
        for number in range(first, first + rounds):
            for place, vm in enumerate(vms):
                if vm not in self.lost_vms:
                    self._report(vm, number, now=PERIOD_S * (number + place / len(vms)))

    def _report(self, vm: VmId, number: int, *, now: float) -> None:
        zone = next(vms for vms in self.vms_by_zone if vm in vms)
        others = [other for other in zone if other != vm]
        due = pop_due(self.queue_by_vm[vm], now=now)
        loads_bytes = _bytes(ZoneLoads(STATUS, due))
        receivers = rotating_subset(
            others, round_number=number, max_count=MAX_LOAD_BYTES // loads_bytes
        )
        for other in receivers:
            self._record(other, vm, now)
            for load in due:
                self._record(other, VmId(load.target_id), now - load.age_ms / 1000.0)
        self.sent_by_vm[vm] += len(receivers) * loads_bytes
        self.sent_by_vm[vm] += (REPORTS_IN_ZONE + REPORTS_ELSEWHERE) * _bytes(REPORT)
        for elsewhere in self.vms_by_zone:
            if elsewhere is not zone:
                partner = relay_partner(vm, others, elsewhere, round_number=number)
                self.sent_by_vm[vm] += _bytes(RelayLoad(STATUS))
                if partner not in self.lost_vms:
                    self._record(partner, vm, now)
                    enqueue_load(self.queue_by_vm[partner], TargetId(vm), LOAD, now=now)

    def _record(self, receiver: VmId, gate: VmId, measured_at: float) -> None:
        known = self.measured_at.get((receiver, gate), float("-inf"))
        self.measured_at[receiver, gate] = max(known, measured_at)

    def max_age_s(self, *, now: float) -> float:
        """Return the age, in seconds, of the oldest load that a daemon knows of another's gate."""
        vms = [vm for vms in self.vms_by_zone for vm in vms if vm not in self.lost_vms]
        return max(
            now - self.measured_at[receiver, gate]
            for receiver in vms
            for gate in vms
            if gate != receiver and (receiver, gate) in self.measured_at
        )


def test_loads_of_all_gates_of_a_large_fleet_are_known_everywhere_within_two_periods() -> None:
    """Replay the large karri-mesh: 195 gates whose loads change in a third of a second."""
    fleet = Fleet(zones=5, daemons=39)
    fleet.play(4)
    assert len(fleet.measured_at) == 195 * 194
    assert fleet.max_age_s(now=4 * PERIOD_S) <= 2 * PERIOD_S + 1e-9


def test_gates_are_not_suspected_when_daemons_that_relay_their_loads_are_lost() -> None:
    fleet = Fleet(zones=5, daemons=39)
    fleet.play(4)
    fleet.lost_vms = {VmId(f"z2-{number}") for number in range(0, 39, 3)}
    for number in range(4, 40):
        fleet.play(1, first=number)
        assert fleet.max_age_s(now=(number + 1) * PERIOD_S) < SUSPECT_AFTER_S


def test_relayed_loads_are_divided_evenly_among_daemons() -> None:
    asked: Counter[VmId] = Counter()
    zone, other = [VmId(f"a-{n}") for n in range(17)], [VmId(f"b-{n}") for n in range(17)]
    for rounds in range(17):
        asked.update(relay_partner(vm, zone, other, round_number=rounds) for vm in zone)
    assert set(asked.values()) == {17}


@pytest.mark.parametrize(("zones", "daemons"), [(4, 21), (5, 39), (5, 60), (15, 200)])
def test_reports_stay_within_the_bytes_allowed(zones: int, daemons: int) -> None:
    fleet = Fleet(zones=zones, daemons=daemons)
    rounds = 3
    fleet.play(rounds)
    most = max(fleet.sent_by_vm.values()) / rounds
    # A gate is loaded only part of the time; otherwise it reports half as often.
    assert most <= MAX_BYTES_PER_S
    assert most / PERIOD_S <= 2 * MAX_BYTES_PER_S


@pytest.mark.parametrize("links", [65, 199])
def test_all_daemons_of_a_large_zone_get_loads_in_turn(links: int) -> None:
    told: Counter[int] = Counter()
    for rounds in range(links):
        told.update(rotating_subset(list(range(links)), round_number=rounds, max_count=48))
    assert len(told) == links
    assert max(told.values()) == min(told.values()) == 48


def test_all_daemons_of_a_small_zone_get_loads_in_each_round() -> None:
    assert rotating_subset([1, 2, 3], round_number=7, max_count=3) == [1, 2, 3]


def test_one_round_relays_a_bounded_number_of_the_newest_loads() -> None:
    queue = RelayQueue()
    for number in range(MAX_RELAYED_LOADS + 5):
        enqueue_load(queue, TargetId(f"t-{number}"), LOAD, now=float(number))
    due = pop_due(queue, now=100.0)
    assert len(due) == MAX_RELAYED_LOADS
    assert due[0] == TargetLoad(f"t-{MAX_RELAYED_LOADS + 4}", LOAD, 1000 * (96 - MAX_RELAYED_LOADS))
    assert not pop_due(queue, now=100.0)
