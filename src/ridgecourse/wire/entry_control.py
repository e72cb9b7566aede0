"""Messages on the control connections of entries and agents."""

from msgspec import Struct

from ridgecourse.core.config_objects import ConfigSnapshot
from ridgecourse.core.ids import Incarnation, ProcessName, TargetName
from ridgecourse.wire.control import ControlMessage, Follow


class Hello(ControlMessage, frozen=True, tag="hello"):
    """First message of each side.

    Attributes:
        protocol: Version of this protocol.
        process: The sender.
        incarnation: The sender's incarnation.
        offset: Offset of the sender's configuration.
    """

    protocol: int
    process: ProcessName
    incarnation: Incarnation
    offset: int


class ConfigRecords(ControlMessage, frozen=True, tag="records"):
    """Change records, as stored in the log.

    Attributes:
        first: Offset of the first record.
        records: The encoded records.
        clock: The sender's Lamport clock.
    """

    first: int
    records: list[bytes]
    clock: int = 0


class ConfigFull(ControlMessage, frozen=True, tag="full"):
    """The complete configuration, for a receiver that lags too far behind."""

    snapshot: ConfigSnapshot
    clock: int = 0


class AgentReport(ControlMessage, frozen=True, tag="report"):
    """An agent's state, sent to its entries on each change and as a heartbeat.

    Attributes:
        offset: Offset of the agent's configuration.
        in_flight: Number of requests at the target, including waiting ones.
        slots: Number of requests that the target runs concurrently.
        ready: Whether the agent accepts requests.
        serving: Root digest of the version that the engine serves.
        phase: Phase of the rollout.
        bytes_held: Bytes of the version being placed that the agent holds.
        bytes_total: Total bytes of that version.
        error: The error that blocks the rollout; empty for none.
        clock: The sender's Lamport clock.
    """

    offset: int
    in_flight: int
    slots: int
    ready: bool
    serving: str = ""
    phase: str = ""
    bytes_held: int = 0
    bytes_total: int = 0
    error: str = ""
    clock: int = 0


class WantRecords(ControlMessage, frozen=True, tag="want"):
    """Asks the other side for its change records above an offset."""

    above: int


EntryMessage = Hello | ConfigRecords | ConfigFull | WantRecords
AgentMessage = Hello | ConfigRecords | ConfigFull | AgentReport | WantRecords
FirstMessage = Hello | Follow


class TargetReport(Struct, frozen=True, forbid_unknown_fields=True):
    """The newest report of an agent that an entry has received.

    Attributes:
        target: The agent's target.
        report: The report.
        age_ms: Age of the report when this message was sent, in milliseconds.
    """

    target: TargetName
    report: AgentReport
    age_ms: int


ReportList = list[TargetReport]
