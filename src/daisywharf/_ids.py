"""Types of the identifiers that all packages share."""

from typing import NewType

CustomerId = NewType("CustomerId", str)
ServiceName = NewType("ServiceName", str)
CallClassName = NewType("CallClassName", str)
TargetId = NewType("TargetId", str)
VmId = NewType("VmId", str)
ZoneName = NewType("ZoneName", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
EditId = NewType("EditId", str)
TeamName = NewType("TeamName", str)

# Increases each time a process restarts under the same name.
Incarnation = NewType("Incarnation", int)
# Assigned by the platform, increases with each accepted change, and is never reused.
Version = NewType("Version", int)
