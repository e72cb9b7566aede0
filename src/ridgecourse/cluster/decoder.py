"""What a platform's adapter provides to read the store's records."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from returns.result import Result

from ridgecourse.core.finding import Findings
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.targets import TargetRecord
from ridgecourse.core.weights import NamedVersion
from ridgecourse.net.record_source import KeyedRecord

Decision = RoutingConfig | NamedVersion


class RecordDecoder(ABC):
    """Decodes the records of the platform's store."""

    @abstractmethod
    def decision(self, record: KeyedRecord) -> Result[Decision | None, Findings]:
        """Return an operator's decision; None for kinds that are not known.

        The place of a finding is the record's key.
        """

    @abstractmethod
    def targets(
        self, records: Sequence[KeyedRecord]
    ) -> tuple[Sequence[TargetRecord], Findings]:
        """Return changes of the list of targets, and what could not be read.

        A record that could not be read is a change as well: its target is not to be
        used. The place of a finding is the record's key.
        """
