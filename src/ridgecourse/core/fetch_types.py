"""Input and output types of the chunk planner, and counters of fetched bytes."""

from enum import Enum
from typing import NamedTuple

from msgspec import Struct, field

from ridgecourse.core.ids import ChunkDigest, DomainName, Seconds, TargetName

ORIGIN = TargetName("")
"""Source name that denotes the origin."""


class Member(NamedTuple):
    """An agent that takes part in the exchange of a version."""

    target: TargetName
    domain: DomainName


class Fetch(NamedTuple):
    """A fetch of one chunk that the planner asks for.

    Attributes:
        digest: The chunk.
        source: Name of an agent, or ORIGIN.
    """

    digest: ChunkDigest
    source: TargetName


class FetchFailure(Enum):
    """Why a fetch returned no chunk."""

    BUSY = "busy"
    REFERRED = "referred"
    MISSING = "missing"
    STALLED = "stalled"
    UNREACHABLE = "unreachable"
    CORRUPT = "corrupt"


class PlanPolicy(Struct, frozen=True):
    """Limits of the chunk planner.

    Attributes:
        classes: Number of fetch slots for each copy from the origin; also the maximum
            number of concurrent fetches from the origin for each copy.
        neighbours: Number of agents of the local domain whose holdings are followed.
        origin_fetches: Maximum number of fetches from the origin in progress.
        fetches: Number of fetches in progress, those from the origin included, up to
            which fetches from other agents are started.
        per_source: Maximum number of fetches in progress from one source.
        busy_seconds: Mean back-off after a source replied that it was busy.
        referred_seconds: Back-off for a chunk at a source that has already sent the
            chunk to its limit of agents.
        back_off_seconds: First back-off after a source failed; doubles with each
            consecutive failure.
        max_back_off_seconds: Upper limit of a back-off.
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
    """The known state of a source.

    Attributes:
        held: Chunks that the source is known to hold.
        active_fetches: Number of fetches in progress from the source.
        not_before: Time from which the source may be asked again.
        failures: Number of consecutive failures.
        referred_until: Chunks that the source referred to other sources, with the time
            until which it is not asked for them.
    """

    held: set[ChunkDigest]
    active_fetches: int = 0
    not_before: Seconds = Seconds(0.0)
    failures: int = 0
    referred_until: dict[ChunkDigest, Seconds] = field(default_factory=dict)


class LinkKind(Enum):
    """The link between a process and the sender of received bytes.

    DOMAIN: The sender is in the local failure domain.
    REGION: The sender is in another domain of the local region.
    INTER_REGION: The link between two regions, which all traffic shares.
    ORIGIN: The path to the origin of weights, in any location.
    """

    DOMAIN = "domain"
    REGION = "region"
    INTER_REGION = "abroad"
    ORIGIN = "origin"


class PayloadKind(Enum):
    """The kind of content that the bytes belong to."""

    WEIGHTS = "weights"
    MANIFEST = "manifest"


def byte_counter(cargo: PayloadKind, link: LinkKind) -> str:
    """Return the name of the counter of received bytes."""
    return f"bytes_{cargo.value}_{link.value}"
