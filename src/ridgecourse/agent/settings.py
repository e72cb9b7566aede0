"""Settings of an agent."""

from pydantic import Field

from ridgecourse.core.change import ServiceKind
from ridgecourse.net.settings import AddressText, Settings

MEBIBYTE = 1024 * 1024


class EngineSettings(Settings):
    """The engine or plain service of the target.

    Attributes:
        address: HOST:PORT.
        kind: "model" or "plain".
        slots: Requests that it runs at once.
        fenced: Whether it refuses orders with an old fencing token.
        api_token: Sent with every order, for engines that check who orders.
        path: Path of a plain service's calls.
    """

    address: AddressText
    kind: ServiceKind = Field(ServiceKind.MODEL, strict=False)
    slots: int = Field(8, ge=1)
    fenced: bool = True
    api_token: str = ""
    path: str = "/call"


class LinkSettings(Settings):
    """What weight transfer may use of the instance's link.

    Attributes:
        upload_bytes_per_s: None for no limit.
        download_bytes_per_s: None for no limit.
        upload_slots: Chunks sent to other agents at a time.
        upload_queue: Requests that may wait for a slot.
        uploads_per_chunk: Times that a chunk is sent to agents of the own
            domain, and of others, before that is left to those who got it.
    """

    upload_bytes_per_s: float | None = Field(None, gt=0)
    download_bytes_per_s: float | None = Field(None, gt=0)
    upload_slots: int = Field(2, ge=1)
    upload_queue: int = Field(1, ge=1)
    uploads_per_chunk: int = Field(2, ge=1)


class PlanSettings(Settings):
    """Bounds of the chunk planner; see ``PlanPolicy``."""

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
        domain: Failure domain it runs in.
        fleet: Fleet of its target.
        target: Its target.
        http: HOST:PORT for requests and chunks; port 0 takes a free one.
        control: HOST:PORT for control connections.
        log: HOST:PORT of the platform's log.
        origin: HOST:PORT of the origin of weights.
        engine: The engine behind the agent.
        link: Limits of weight transfer.
        plan: Bounds of the chunk planner.
        staging_bytes: Memory for chunks; the agent has no disk.
        source: Local address that connections are made from; None for any.
        shared_key: Proves the system's processes to each other.
        heartbeat_seconds: Between two reports to an entry without a change.
        lease_seconds: Length of a lease on the engine.
        drain_seconds: Longest wait for requests in progress at a planned stop.
        statsd: HOST:PORT for metrics; none are sent without it.
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
