"""Settings of an agent."""

from pydantic import Field

from ridgecourse.core.change import ServiceKind
from ridgecourse.net.settings import AddressText, Settings

MEBIBYTE = 1024 * 1024


class EngineSettings(Settings):
    """Settings of the engine or plain service behind the agent.

    Attributes:
        address: HOST:PORT of the engine.
        kind: "model" or "plain".
        slots: Number of requests that the engine runs at once.
        fenced: Whether the engine rejects orders with an old fencing token.
        api_token: Token sent with every order, for engines that authenticate
            the sender of orders.
        path: HTTP path of the calls of a plain service.
    """

    address: AddressText
    kind: ServiceKind = Field(ServiceKind.MODEL, strict=False)
    slots: int = Field(8, ge=1)
    fenced: bool = True
    api_token: str = ""
    path: str = "/call"


class LinkSettings(Settings):
    """Limits of weight transfer on the instance's network link.

    Attributes:
        upload_bytes_per_s: Upload rate in bytes per second; None for no limit.
        download_bytes_per_s: Download rate in bytes per second; None for no
            limit.
        upload_slots: Number of chunks sent to other agents at a time.
        upload_queue: Number of requests that may wait for an upload slot.
        uploads_per_chunk: How often a chunk is sent to agents of the own domain,
            and to agents of other domains, before further uploads are left to
            the agents that received the chunk.
    """

    upload_bytes_per_s: float | None = Field(None, gt=0)
    download_bytes_per_s: float | None = Field(None, gt=0)
    upload_slots: int = Field(2, ge=1)
    upload_queue: int = Field(1, ge=1)
    uploads_per_chunk: int = Field(2, ge=1)


class PlanSettings(Settings):
    """Limits of the chunk planner; see ``PlanPolicy``."""

    classes: int = Field(8, ge=1, le=64)
    neighbours: int = Field(12, ge=1)
    fetches: int = Field(3, ge=1)
    per_source: int = Field(2, ge=1)
    stall_seconds: float = Field(1.5, gt=0)
    chunk_stall_seconds: float = Field(3.0, gt=0)


class AgentSettings(Settings):
    """Settings of one agent.

    Attributes:
        process: Name of this process.
        domain: Failure domain that the agent runs in.
        fleet: Fleet of the agent's target.
        target: Name of the agent's target.
        http: HOST:PORT to listen on for requests and chunks; port 0 selects a
            free port.
        control: HOST:PORT to listen on for control connections.
        log: HOST:PORT of the platform's log.
        origin: HOST:PORT of the origin of weights.
        engine: The engine behind the agent.
        link: Limits of weight transfer.
        plan: Limits of the chunk planner.
        staging_bytes: Memory for chunks, in bytes; the agent has no disk.
        source: Local address to open connections from; None for any.
        shared_key: Key with which the system's processes authenticate each other.
        heartbeat_seconds: Interval between reports to an entry without a change.
        lease_seconds: Duration of a lease on the engine.
        drain_seconds: Longest wait for requests in progress at a planned stop.
        statsd: HOST:PORT that metrics are sent to; None to send no metrics.
    """

    process: str = Field(min_length=1)
    domain: str = Field(min_length=1)
    fleet: str = Field(min_length=1)
    target: str = Field(min_length=1)
    http: AddressText
    control: AddressText
    log: AddressText
    origin: AddressText
    engine: EngineSettings
    link: LinkSettings = LinkSettings()
    plan: PlanSettings = PlanSettings()
    staging_bytes: int = Field(256 * MEBIBYTE, ge=MEBIBYTE)
    source: str | None = None
    shared_key: str = Field(min_length=16)
    heartbeat_seconds: float = Field(1.0, gt=0)
    lease_seconds: float = Field(15.0, gt=0)
    drain_seconds: float = Field(600.0, ge=0)
    statsd: AddressText | None = None
