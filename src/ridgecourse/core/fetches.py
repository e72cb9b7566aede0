"""What the planner of the exchange is told and what it answers."""

from enum import Enum
from typing import NamedTuple

from msgspec import Struct, field

from ridgecourse.core.ids import ChunkDigest, DomainName, Seconds, TargetName

ORIGIN = TargetName("")
"""Stands for the origin where a source is named."""


class Member(NamedTuple):
    """An agent that takes part in the exchange of a version."""

    target: TargetName
    domain: DomainName


class Fetch(NamedTuple):
    """An order to fetch a chunk.

    Attributes:
        digest: The chunk.
        source: An agent, or ORIGIN.
    """

    digest: ChunkDigest
    source: TargetName


class FetchFailure(Enum):
    """Why a fetch gave nothing."""

    BUSY = "busy"
    REFERRED = "referred"
    MISSING = "missing"
    STALLED = "stalled"
    UNREACHABLE = "unreachable"
    CORRUPT = "corrupt"


class PlanPolicy(Struct, frozen=True):
    """Bounds of the planner.

    Attributes:
        classes: Draw slots for a copy from the origin; also the most fetches
            from the origin at a time for each copy.
        neighbours: Agents of the own domain whose holdings are followed.
        origin_fetches: Fetches from the origin in progress at a time.
        fetches: Fetches in progress at a time.
        per_source: Fetches in progress from one source.
        busy_seconds: How long a source is left alone after it was busy.
        referred_seconds: How long a source is not asked for a chunk that it
            has sent often enough.
        back_off_seconds: First wait after a failure of a source; doubles.
        stall_seconds: Shortest time without progress that counts as a stall.
    """

    classes: int = 8
    origin_fetches: int = 8
    neighbours: int = 12
    fetches: int = 3
    per_source: int = 2
    busy_seconds: float = 0.1
    referred_seconds: float = 0.25
    back_off_seconds: float = 0.5
    max_back_off_seconds: float = 15.0
    stall_seconds: float = 1.5


class SourceState(Struct):
    """What is known of a source.

    Attributes:
        held: Chunks it is known to hold.
        fetching: Fetches in progress from it.
        not_before: When it may be asked again.
        failures: Failures in a row.
        later: Chunks that it referred to others, and until when.
    """

    held: set[ChunkDigest]
    fetching: int = 0
    not_before: Seconds = Seconds(0.0)
    failures: int = 0
    later: dict[ChunkDigest, Seconds] = field(default_factory=dict)
