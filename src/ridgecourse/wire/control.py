"""Messages on control connections and in datagrams."""

from msgspec import Struct

from ridgecourse.core.engine_limits import LimitNews
from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    ProcessName,
    RootDigest,
    TargetName,
)
from ridgecourse.core.suspect import (
    SuspectNews,
)
from ridgecourse.core.weights import VersionAge

PROTOCOL_VERSION = 1
MAX_CONTROL_BYTES = 16 * 1024 * 1024
"""Largest control message: a snapshot of a full-sized configuration fits."""


class ControlMessage(Struct, frozen=True, tag_field="type", forbid_unknown_fields=True):
    """Base of all control messages."""


class Follow(ControlMessage, frozen=True, tag="follow"):
    """Asks an agent to tell what it holds of a version, now and from then on."""

    protocol: int
    target: TargetName
    domain: DomainName
    root: RootDigest


class Holds(ControlMessage, frozen=True, tag="holds"):
    """Chunks that the sender newly holds, or newly knows to be held.

    Attributes:
        chunks: Indexes into the manifest's distinct chunks that it holds.
        seen: Indexes of chunks that someone of the fleet is known to hold.
    """

    root: RootDigest
    chunks: list[int]
    seen: list[int] = []


class Watch(ControlMessage, frozen=True, tag="watch"):
    """Asks a loader to tell its engine's load, now and from then on.

    Attributes:
        protocol: Version of this protocol.
        process: The sender.
        near: Whether it stands in the loader's region.
        gateway: Where the sender takes part in the exchange of weights; None
            once it is about to stop.
        reports_to: HOST:PORT where it takes reports as datagrams.
        hears_gateways: Whether it is to be told which gateways watch the loader.
    """

    protocol: int
    process: ProcessName
    near: bool
    gateway: Peer | None
    reports_to: str
    hears_gateways: bool = True


class EngineReport(ControlMessage, frozen=True, tag="engine"):
    """An engine's load, in a datagram on change and as a heartbeat on the channel.

    Attributes:
        status: The load.
        number: Rises with each report of one life of a loader; 0 on the channel.
    """

    status: EngineStatus
    number: int = 0


class GatewaysChanged(ControlMessage, frozen=True, tag="gateways"):
    """Which gateways watch the sender, as a difference: so they learn of each other.

    Attributes:
        came: Those that the receiver has not been told of on this connection, or not
            as they are now.
        gone: Those that watch no more.
    """

    came: list[Peer]
    gone: list[TargetName]


class Named(ControlMessage, frozen=True, tag="named"):
    """Since when versions of weights are named, for gateways that start."""

    versions: list[VersionAge]


class CrashNews(ControlMessage, frozen=True, tag="crash-news"):
    """What a gateway knows of requests under which engines ended, in a datagram.

    Attributes:
        process: The sender.
        suspects: What it tells of each.
        reply: Whether it answers a query; then all it knows follows.
    """

    process: ProcessName
    suspects: list[SuspectNews]
    reply: bool = False


class CrashQuery(ControlMessage, frozen=True, tag="crash-query"):
    """Asks a gateway for what it knows of such requests.

    Attributes:
        reply_to: HOST:PORT where the answer is taken.
    """

    reply_to: str


class EngineLimitNews(ControlMessage, frozen=True, tag="limits"):
    """Limits that engines named, in a datagram."""

    limits: list[LimitNews]


GatewayNews = CrashNews | CrashQuery | EngineLimitNews
LoaderReport = EngineReport | GatewaysChanged | Named
LoaderMessage = Follow | Watch
ChunkIndex = dict[ChunkDigest, int]
