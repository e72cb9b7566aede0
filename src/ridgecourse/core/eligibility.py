"""Decide whether a request may go to a target, and if not, why and until when.

A constraint must hold for every request that is sent. Preferences, which only make one
eligible target better than another one, belong to the choice among the eligible
targets.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence
from enum import Enum

from msgspec import Struct, field

from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Seconds
from ridgecourse.core.routes import AllowedRegions, Service
from ridgecourse.core.target_list import ListedTarget


class ExclusionReason(Enum):
    """Reason for which a request may not go to a target.

    REGION: The request is restricted to regions to which the target does not belong.
    EVACUATED: The failure domain of the target is evacuated.
    RATE_LIMIT: The target's rate limit does not allow the request soon enough.
    COLD: The target is cold and may not get the request soon enough.
    LEAVING: The target has announced that it leaves.
    REST: The target wants no requests for a time.
    WEIGHTS: The target lacks weights on which the request may run.
    TRIED: The target has received the request already.
    SUSPECT: The request may crash engines, as other gateways have reported since the
        target was chosen.
    RETRY_BUDGET: The request was sent before, and the budget allows no retry now.
    """

    REGION = "region"
    EVACUATED = "evacuated"
    RATE_LIMIT = "rate-limit"
    COLD = "cold"
    LEAVING = "leaving"
    REST = "rest"
    WEIGHTS = "weights"
    TRIED = "tried"
    SUSPECT = "suspect"
    RETRY_BUDGET = "retry-budget"


class Exclusion(Struct, frozen=True):
    """Reason for which a target is not eligible for a request.

    Attributes:
        reason: The reason.
        until: Time at which the target may become eligible for the request or for a
            retry of it by the client; None if the time is not known.
    """

    reason: ExclusionReason
    until: Seconds | None = None


class TargetRequirements(Struct, frozen=True):
    """What one attempt of a request requires of its target.

    Attributes:
        service: The requested service.
        tried: Incarnations of targets that have received the request.
        regions: The only regions in which the request may be served; None for no
            restriction.
        max_hold: Longest time, in seconds, for which the request may wait until the
            target accepts it.
    """

    service: Service
    tried: Collection[EngineIncarnation] = ()
    regions: AllowedRegions = None
    max_hold: float = 0.0


class Constraint(ABC):
    """A condition that a target must meet for a request.

    Attributes:
        checked_at_send: Whether the constraint is checked again before connecting to
            the target and before writing the request. False for conditions that the
            choice of the target itself changes.
    """

    checked_at_send: bool = True

    def is_active(self, request: TargetRequirements) -> bool:
        """Return False if the constraint cannot exclude any target for a request.

        Such a constraint is not evaluated for the targets. It is called for each
        request, so that it must not be expensive.
        """
        return True

    @abstractmethod
    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Return why a target is not eligible for a request; None if it is.

        Args:
            request: Requirements of the request.
            target: The target.
            now: Current time.
        """


class ExclusionSummary(Struct):
    """Why the targets of a service are not eligible for a request.

    Attributes:
        counts: Number of excluded targets by reason.
        until: Earliest known time at which one of them may become eligible; None if no
            such time is known.
    """

    counts: Counter[ExclusionReason] = field(default_factory=Counter)
    until: Seconds | None = None

    def record(self, exclusion: Exclusion) -> None:
        """Record that a target is excluded."""
        self.counts[exclusion.reason] += 1
        if exclusion.until is not None:
            self.until = (
                exclusion.until
                if self.until is None
                else min(self.until, exclusion.until)
            )

    def seconds_left(self, now: Seconds) -> float | None:
        """Return the seconds until a target may become eligible; None if not known.

        Args:
            now: Current time.
        """
        return None if self.until is None else max(0.0, self.until - now)

    def counts_by_name(self) -> dict[str, int]:
        """Return the number of excluded targets by the value of the reason."""
        return {reason.value: count for reason, count in sorted_counts(self.counts)}

    def __str__(self) -> str:
        """Return the reasons with their counts."""
        reasons = ", ".join(
            f"{reason.value} {count}" for reason, count in sorted_counts(self.counts)
        )
        return f"no eligible target: {reasons}" if reasons else "no target"


def sorted_counts(
    counts: Counter[ExclusionReason],
) -> Sequence[tuple[ExclusionReason, int]]:
    """Return reasons and their counts in the order of the reasons' values."""
    return sorted(counts.items(), key=lambda item: item[0].value)


class Eligibility:
    """Evaluates the constraints on the targets of requests.

    Attributes:
        constraints: All constraints. The first one that excludes a target gives the
            reason.
    """

    def __init__(self, constraints: Sequence[Constraint]) -> None:
        self.constraints = constraints

    def eligible(
        self,
        request: TargetRequirements,
        targets: Iterable[ListedTarget],
        now: Seconds,
        summary: ExclusionSummary,
    ) -> Iterator[ListedTarget]:
        """Yield the targets that are eligible for a request.

        Args:
            request: Requirements of the request.
            targets: Targets of the service.
            now: Current time.
            summary: Records the exclusion of each other target.
        """
        active = [
            constraint
            for constraint in self.constraints
            if constraint.is_active(request)
        ]
        if not active:
            yield from targets
            return
        for target in targets:
            exclusion = first_exclusion(active, request, target, now)
            if exclusion is None:
                yield target
            else:
                summary.record(exclusion)

    def check_send(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Return why a request must not be sent to its chosen target; None if it may.

        Args:
            request: Requirements of the request.
            target: The chosen target.
            now: Current time.
        """
        active = (
            constraint
            for constraint in self.constraints
            if constraint.checked_at_send and constraint.is_active(request)
        )
        return first_exclusion(active, request, target, now)


def first_exclusion(
    constraints: Iterable[Constraint],
    request: TargetRequirements,
    target: ListedTarget,
    now: Seconds,
) -> Exclusion | None:
    """Return the first exclusion of a target by a constraint; None if there is none."""
    for constraint in constraints:
        exclusion = constraint.check(request, target, now)
        if exclusion is not None:
            return exclusion
    return None
