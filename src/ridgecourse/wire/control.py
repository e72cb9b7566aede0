"""Messages on control connections and in datagrams."""

from msgspec import Struct

from ridgecourse.core.crash_reports import (
    CrashReport,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.engine_rate_limits import LimitAnnouncement
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    ProcessName,
    RootDigest,
    TargetName,
)
from ridgecourse.core.load_distribution import DistributedLoad
from ridgecourse.core.weights import VersionAge

PROTOCOL_VERSION = 1
WATCH_PROTOCOL = 2
"""Version of the protocol between gateways and loaders. From version 2 on, a gateway
receives and distributes ``PackedMessage`` datagrams."""
MAX_CONTROL_BYTES = 16 * 1024 * 1024
"""Largest control message. A snapshot of a full-size configuration fits."""


class ControlMessage(Struct, frozen=True, tag_field="type", forbid_unknown_fields=True):
    """Base of all control messages."""


class Follow(ControlMessage, frozen=True, tag="follow"):
    """Asks an agent to report which chunks of a version it holds, and later changes."""

    protocol: int
    target: TargetName
    domain: DomainName
    root: RootDigest


class HeldChunks(ControlMessage, frozen=True, tag="holds"):
    """Chunks that the sender has newly received or newly seen in the fleet.

    Attributes:
        root: Root digest of the version.
        chunks: Chunks that the sender holds, as indexes into the manifest's distinct
            chunks.
        seen: Chunks that a member of the fleet is known to hold, in the same form.
    """

    root: RootDigest
    chunks: list[int]
    seen: list[int] = []


class Watch(ControlMessage, frozen=True, tag="watch"):
    """Asks a loader to report its engine's load, and later changes.

    Attributes:
        protocol: Version of this protocol, see ``WATCH_PROTOCOL``.
        process: The sender.
        near: Whether the sender is in the loader's region.
        gateway: The sender's addresses in the exchange of weights; None once the sender
            is about to stop.
        reports_to: HOST:PORT where the sender receives reports as datagrams.
        hears_gateways: Whether the loader is to report which gateways watch it.
    """

    protocol: int
    process: ProcessName
    near: bool
    gateway: Peer | None
    reports_to: str
    hears_gateways: bool = True


class EngineReport(ControlMessage, frozen=True, tag="engine"):
    """An engine's load, sent as a datagram on each change and as a channel heartbeat.

    Attributes:
        status: The load.
        number: Sequence number, which rises with each report of an incarnation of a
            loader; 0 on the channel.
    """

    status: EngineStatus
    number: int = 0


class GatewaysChanged(ControlMessage, frozen=True, tag="gateways"):
    """Changes of the set of gateways that watch the sender.

    Gateways discover each other through these messages.

    Attributes:
        came: Gateways that are new, or have changed, since they were last reported on
            this connection.
        gone: Gateways that have stopped watching.
    """

    came: list[Peer]
    gone: list[TargetName]


class VersionAges(ControlMessage, frozen=True, tag="named"):
    """The ages of the named versions of weights, for gateways that start."""

    versions: list[VersionAge]


class CrashReports(ControlMessage, frozen=True, tag="crash-news"):
    """A gateway's crash reports on requests during which engines ended, as a datagram.

    Attributes:
        process: The sender.
        suspects: The report on each request.
        reply: Whether the message ends the answer to a query. All reports of the sender
            are sent before it.
    """

    process: ProcessName
    suspects: list[CrashReport]
    reply: bool = False


class CrashQuery(ControlMessage, frozen=True, tag="crash-query"):
    """Asks a gateway for all its crash reports.

    Attributes:
        reply_to: HOST:PORT where the sender receives the answer.
    """

    reply_to: str


class EngineLimitReports(ControlMessage, frozen=True, tag="limits"):
    """Limits that engines stated, as a datagram."""

    limits: list[LimitAnnouncement]


class EngineLeaving(ControlMessage, frozen=True, tag="engine-leaving"):
    """An engine has announced that it leaves, as a datagram.

    Attributes:
        incarnation: Incarnation of the engine.
        age: Seconds since a gateway received the announcement from the engine.
    """

    incarnation: EngineIncarnation
    age: float


class TurnRequest(ControlMessage, frozen=True, tag="turn-request"):
    """Asks a gateway to pass on its unused turn at a cold engine, as a datagram.

    Attributes:
        incarnation: Incarnation of the engine.
        reply_to: HOST:PORT where the sender receives the answer.
    """

    incarnation: EngineIncarnation
    reply_to: str


class TurnGrant(ControlMessage, frozen=True, tag="turn-grant"):
    """Passes the sender's turn at a cold engine to the receiver, as a datagram.

    Attributes:
        incarnation: Incarnation of the engine.
    """

    incarnation: EngineIncarnation


class PackedMessage(Struct, frozen=True, array_like=True):
    """Base of the messages that are packed as MessagePack arrays in datagrams.

    They are frequent, and decoding an array takes a tenth of the processor time of the
    same message as a CBOR map.
    """


class DistributableReport(PackedMessage, frozen=True, tag=1):
    """A report of a loader that the receiver passes on to other gateways.

    Attributes:
        status: The load of the loader's engine.
        number: Number of the report, as in ``EngineReport``.
    """

    status: EngineStatus
    number: int


class LoadBatch(PackedMessage, frozen=True, tag=2):
    """Loads that a distributor sends, none in a keepalive.

    Attributes:
        from_elsewhere: Whether the sender is in another domain, so that the receiver
            passes the loads on to its own domain.
        loads: The loads.
    """

    from_elsewhere: bool
    loads: list[DistributedLoad]


class DirectReportRequest(PackedMessage, frozen=True, tag=3):
    """Asks a loader to report directly for ``DIRECT_REPORT_SECONDS``.

    Attributes:
        reports_to: HOST:PORT where the sender receives reports.
    """

    reports_to: str


DistributionMessage = DistributableReport | LoadBatch
GatewayMessage = (
    CrashReports
    | CrashQuery
    | EngineLimitReports
    | EngineLeaving
    | TurnRequest
    | TurnGrant
)
LoaderReport = EngineReport | GatewaysChanged | VersionAges
LoaderMessage = Follow | Watch
ChunkIndex = dict[ChunkDigest, int]
