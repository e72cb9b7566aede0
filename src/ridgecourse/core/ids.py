"""Types of identifiers."""

from typing import NewType

FleetName = NewType("FleetName", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
TargetName = NewType("TargetName", str)
DomainName = NewType("DomainName", str)
RegionName = NewType("RegionName", str)
AccountName = NewType("AccountName", str)
ProcessName = NewType("ProcessName", str)

ChangeId = NewType("ChangeId", str)
RequestId = NewType("RequestId", str)
RequestSignature = NewType("RequestSignature", bytes)
"""Digest of a request's content; equal for every repetition of the request."""
TargetId = NewType("TargetId", str)
"""Name of a target as the platform lists it; see ``EngineIncarnation`` for its
incarnations."""
EngineStart = NewType("EngineStart", int)
"""Start time of an engine in Unix milliseconds on its own clock; orders the engine's
incarnations."""
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", str)
"""Name of one incarnation of a process; each restart creates a new one."""

ChunkDigest = NewType("ChunkDigest", str)
"""BLAKE3 digest of a chunk's bytes, in hexadecimal."""
RootDigest = NewType("RootDigest", str)
"""BLAKE3 digest of a version's manifest, in hexadecimal."""

WeightsVersion = NewType("WeightsVersion", int)
"""Version of a model's weights; 0 if there are no weights."""
Offset = NewType("Offset", int)
"""Position of a record in a stream of the platform's log; see ``core.offsets``."""
Seconds = NewType("Seconds", float)
"""A point in time, or a duration, on the clock of ``net.clock``."""
