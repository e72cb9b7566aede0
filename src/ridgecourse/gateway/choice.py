"""The target that is chosen for one attempt of a request, and on which terms."""

from msgspec import Struct

from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.target_list import ListedTarget


class VersionTerms(Struct, frozen=True):
    """Weights on which a request may run.

    Attributes:
        held: The version that the engine is assumed to have; None if it is not known.
        version: The version that the request names and that the engine must have; None
            if the request may run on the version that the engine has.
        begin_by: Time by which the request must have started on these weights; None if
            it may start at any time.
    """

    held: WeightsVersion | None
    version: WeightsVersion | None
    begin_by: Seconds | None


class Choice(Struct, frozen=True):
    """A target that is a candidate for a request.

    Attributes:
        target: The target.
        wait: Estimated seconds until the request would start at the target.
        prefill_time: Estimated seconds that the target needs to prefill the prompt.
        terms: Weights on which the request may run.
        hold: Seconds until the target's rate limit and rest allow the request.
    """

    target: ListedTarget
    wait: float
    prefill_time: float
    terms: VersionTerms
    hold: float = 0.0
