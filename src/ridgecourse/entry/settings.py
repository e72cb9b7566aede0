"""Settings of an entry."""

from enum import Enum

from pydantic import Field

from ridgecourse.net.settings import AddressText, Settings


class Role(Enum):
    """Permissions of an operator.

    VIEWER: May read the configuration.
    OPERATOR: May read and change the configuration.
    """

    VIEWER = "viewer"
    OPERATOR = "operator"


class OperatorSettings(Settings):
    """An operator that may use the administration API.

    Attributes:
        name: Recorded as the author of the operator's changes.
        token_digest: BLAKE3 digest of the operator's token, in hexadecimal.
        role: "viewer" or "operator".
    """

    name: str = Field(min_length=1)
    token_digest: str = Field(pattern="^[0-9a-f]{64}$")
    role: Role = Field(Role.VIEWER, strict=False)


class EntrySettings(Settings):
    """Settings of one entry.

    Attributes:
        process: Name of this process.
        domain: Failure domain that the entry runs in.
        http: HOST:PORT to listen on for clients, operators and other entries.
        log: HOST:PORT of the platform's log.
        instances: HOST:PORT of the platform's instance list, if there is one.
        peers: HOST:PORT of the other entries, which supply the configuration
            while the log cannot be reached.
        source: Local address to open connections from; None for any.
        shared_key: Key with which the system's processes authenticate each other.
        operators: Operators that may use the administration API.
        agent_links: Number of entries that maintain a control connection to
            each target of the domain.
        checkpoint_seconds: Age of the newest checkpoint at which the next one
            is written; keep this well below the log's retention.
        retry_ratio: Number of retries allowed for each new request.
        claim_seconds: Longest wait for a claim on an idempotency key.
        drain_seconds: Longest wait for requests in progress at a planned stop.
        statsd: HOST:PORT that metrics are sent to; None to send no metrics.
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
