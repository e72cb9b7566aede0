"""Interface through which a platform's adapter decodes the store's records."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from returns.result import Result

from ridgecourse.core.evacuations import EvacuationDecision
from ridgecourse.core.problem import Problems
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.target_list import TargetRecord
from ridgecourse.core.weights import NamedVersion
from ridgecourse.net.record_source import KeyedRecord

Decision = RoutingConfig | NamedVersion


class RecordDecoder(ABC):
    """Decodes the records of the platform's store."""

    @abstractmethod
    def decision(self, record: KeyedRecord) -> Result[Decision | None, Problems]:
        """Decode an operator's decision.

        Returns:
            The decision, or None for a record of an unknown kind. A failure holds the
            problems of the record; the place of each is the record's key. Evacuations
            are of an unknown kind here; see ``evacuation``.
        """

    @abstractmethod
    def evacuation(self, record: KeyedRecord) -> EvacuationDecision | None:
        """Decode an operator's decision on the evacuation of a failure domain.

        Returns:
            The decision; None for a record of another kind. A record that cannot be
            decoded counts as an evacuation, since its key alone names the domain.
        """

    @abstractmethod
    def targets(
        self, records: Sequence[KeyedRecord]
    ) -> tuple[Sequence[TargetRecord], Problems]:
        """Decode changes of the list of targets.

        Returns:
            The changes, and the problems of invalid records. An invalid record is a
            change as well, because its target must not be used. The place of a problem
            is the record's key.
        """
