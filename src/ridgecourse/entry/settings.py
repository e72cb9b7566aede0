"""Settings of an entry."""

from enum import Enum

from pydantic import Field

from ridgecourse.net.settings import AddressText, Settings


class Role(Enum):
    """What an operator may do.

    VIEWER: Read.
    OPERATOR: Read and change.
    """

    VIEWER = "viewer"
    OPERATOR = "operator"


class OperatorSettings(Settings):
    """An operator that may use the administration API.

    Attributes:
        name: Stands as the author of changes.
        token_digest: BLAKE3 of the operator's token, in hexadecimal.
        role: "viewer" or "operator".
    """

    name: str = Field(min_length=1)
    token_digest: str = Field(pattern="^[0-9a-f]{64}$")
    role: Role = Field(Role.VIEWER, strict=False)


class EntrySettings(Settings):
    """Settings of one entry.

    Attributes:
        process: Name of this process.
        domain: Failure domain it runs in.
        http: HOST:PORT for callers, operators and other entries.
        log: HOST:PORT of the platform's log.
        instances: HOST:PORT of the platform's instance list, if there is one.
        peers: HOST:PORT of other entries, asked for the configuration while
            the log cannot be reached.
        source: Local address that connections are made from; None for any.
        shared_key: Proves the system's processes to each other.
        operators: Who may use the administration API.
        agent_links: Entries that keep a control connection to each target of
            the domain.
        checkpoint_seconds: Age at which the newest checkpoint is written anew;
            keep it well below the log's retention.
        retry_ratio: Retries allowed for each fresh request.
        claim_seconds: Longest wait for a claim on an idempotency key.
        drain_seconds: Longest wait for requests in progress at a planned stop.
        statsd: HOST:PORT for metrics; none are sent without it.
    """

    process: str = Field(min_length=1)
    domain: str = Field(min_length=1)
    http: AddressText
    log: AddressText
    instances: AddressText | None = None
    peers: tuple[AddressText, ...] = Field((), strict=False)
    source: str | None = None
    shared_key: str = Field(min_length=16)
    operators: tuple[OperatorSettings, ...] = Field((), strict=False)
    agent_links: int = Field(4, ge=2)
    checkpoint_seconds: float = Field(600.0, gt=0)
    retry_ratio: float = Field(0.1, ge=0, le=1)
    claim_seconds: float = Field(2.0, gt=0)
    drain_seconds: float = Field(600.0, ge=0)
    statsd: AddressText | None = None
