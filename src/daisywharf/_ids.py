"""Identifiers that the whole project shares."""

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

# An incarnation grows each time that a process starts again under the same name.
Incarnation = NewType("Incarnation", int)
# A version is the platform's, grows with each accepted change, and is never reused.
Version = NewType("Version", int)
