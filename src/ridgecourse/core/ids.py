"""Types of identifiers, and the offsets of records."""

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
Signature = NewType("Signature", bytes)
"""Digest of what requests that may crash engines have in common."""
RequestSignature = NewType("RequestSignature", Signature)
"""Digest of a request's content; equal for every repetition of the request."""
PartSignature = NewType("PartSignature", Signature)
"""Digest of a part of a prompt; equal in all prompts for the same model."""
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
"""Position of a record in a stream of the platform's log: era and number, ordered
together. A store that returns from an older copy of itself loses its last records and
gives their numbers out again, in a new era; a store that names no era is in era 0.
Numbers may be added to an offset within an era."""
Seconds = NewType("Seconds", float)
"""A point in time, or a duration, on the clock of ``net.clock``."""

INDEX_BITS = 40
MAX_INDEX = (1 << INDEX_BITS) - 1
MAX_ERA = (1 << 22) - 1
"""Largest era; offsets then fit into 63 bits."""


def make_offset(era: int, index: int) -> Offset:
    """Return the offset of a record.

    Args:
        era: Era of the store, 0 to ``MAX_ERA``.
        index: Number of the record in its topic in that era, 0 to ``MAX_INDEX``.
    """
    return Offset(era << INDEX_BITS | index)


def era_of(offset: int) -> int:
    """Return the era of an offset."""
    return max(0, offset) >> INDEX_BITS


def index_of(offset: int) -> int:
    """Return the number of a record in its topic."""
    return max(0, offset) & MAX_INDEX


def may_be_outdated(recorded: int, known: int, copied_end: int) -> bool:
    """Check whether a record of a later era may be older than a known one.

    Args:
        recorded: Offset of the record, which the store may have had in its copy.
        known: Offset of the known record; negative for none.
        copied_end: End of the topic at its first full read in the latest era.
    """
    return 0 <= known and era_of(known) < era_of(recorded) and recorded < copied_end
