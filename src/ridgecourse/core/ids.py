"""Identifiers."""

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
"""Digest of what a request asks, the same for each time that it comes again."""
TargetId = NewType("TargetId", str)
"""Names a target, as the platform lists it; see ``EngineLife`` for its lives."""
EngineStart = NewType("EngineStart", int)
"""When an engine started, in Unix milliseconds by its own clock: orders its lives."""
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", str)
"""Names one life of a process; a restart gives a new one."""

ChunkDigest = NewType("ChunkDigest", str)
"""BLAKE3 of a chunk's bytes, in hexadecimal."""
RootDigest = NewType("RootDigest", str)
"""BLAKE3 of a version's manifest, in hexadecimal."""

WeightsVersion = NewType("WeightsVersion", int)
"""Version of a model's weights; 0 where there are none."""
Offset = NewType("Offset", int)
"""Position of a record in a stream of the platform's log, from 0."""
Seconds = NewType("Seconds", float)
"""A reading of, or a span on, the clock of ``net.clock``."""
