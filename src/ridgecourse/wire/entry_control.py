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
        incarnation: The sender's life.
        offset: Offset of the sender's configuration.
    """

    protocol: int
    process: ProcessName
    incarnation: Incarnation
    offset: int


class ConfigRecords(ControlMessage, frozen=True, tag="records"):
    """Change records as they stand in the log.

    Attributes:
        first: Offset of the first one.
        records: The records' bytes.
        clock: The sender's Lamport clock.
    """

    first: int
    records: list[bytes]
    clock: int = 0


class ConfigFull(ControlMessage, frozen=True, tag="full"):
    """The whole configuration, for a receiver too far behind."""

    snapshot: ConfigSnapshot
    clock: int = 0


class AgentReport(ControlMessage, frozen=True, tag="report"):
    """An agent's state, sent to its entries on change and as a heartbeat.

    Attributes:
        offset: Offset of its configuration.
        in_flight: Requests at the target, waiting ones included.
        slots: Requests that the target runs at once.
        ready: Whether it takes requests.
        serving: Root digest of the version its engine serves.
        phase: Phase of its rollout.
        bytes_held: Bytes it holds of the version being placed.
        bytes_total: Bytes of that version.
        error: What keeps the rollout from going on.
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
    """Asks the other side for its configuration above an offset."""

    above: int


EntryMessage = Hello | ConfigRecords | ConfigFull | WantRecords
AgentMessage = Hello | ConfigRecords | ConfigFull | AgentReport | WantRecords
FirstMessage = Hello | Follow


class TargetReport(Struct, frozen=True, forbid_unknown_fields=True):
    """An agent's report as one entry knows it.

    Attributes:
        target: The agent's target.
        report: The newest report.
        age_ms: Its age when this was sent, in milliseconds.
    """

    target: TargetName
    report: AgentReport
    age_ms: int


ReportList = list[TargetReport]
