"""Convert announced targets to compact records, and back."""

from functools import lru_cache

from daisywharf._fleet._messages import Member, ServiceSummary, TargetRecord
from daisywharf._ids import VmId, ZoneName
from daisywharf._topology import Address, Target

MAX_CACHED_TARGETS = 16_384


def record_of(target: Target) -> TargetRecord:
    """Return the record of a target of this VM."""
    return TargetRecord(
        target_id=target.target_id,
        service=target.service,
        incarnation=target.incarnation,
        host=target.address.host,
        port=target.address.port,
        slots=target.slots,
        connections=target.connections,
        state=target.state,
        gate=target.gate,
        path_prefix=target.path_prefix,
    )


@lru_cache(maxsize=MAX_CACHED_TARGETS)
def _target_at(record: TargetRecord, vm: VmId, zone: ZoneName) -> Target:
    return Target(
        target_id=record.target_id,
        service=record.service,
        vm=vm,
        zone=zone,
        incarnation=record.incarnation,
        address=Address(record.host, record.port),
        slots=record.slots,
        connections=record.connections,
        state=record.state,
        gate=record.gate,
        path_prefix=record.path_prefix,
    )


def target_of(record: TargetRecord, member: Member) -> Target:
    """Return the target of a daemon of this zone from its record."""
    return _target_at(record, member.vm, member.zone)


def targets_in_summary(summary: ServiceSummary) -> list[Target]:
    """Return the targets listed in another zone's summary."""
    return [_target_at(listed.target, listed.vm, summary.zone) for listed in summary.targets]
