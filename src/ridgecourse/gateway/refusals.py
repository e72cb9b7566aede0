"""Explain refusals by the reasons for which no target is eligible."""

from random import Random

from msgspec import structs

from ridgecourse.core.eligibility import ExclusionSummary
from ridgecourse.core.ids import Seconds
from ridgecourse.core.outcome import Reason
from ridgecourse.core.retry import return_delay_seconds
from ridgecourse.gateway.constraints import HOLD_REASONS
from ridgecourse.gateway.sender import NotRun

NO_TARGET_REASONS = (Reason.NO_TARGET, Reason.WRONG_TARGET, Reason.LEAVING)
"""Reasons of refusals for which no target could serve the request at all."""


def explain_refusal(
    refusal: NotRun, summary: ExclusionSummary | None, now: Seconds, random: Random
) -> NotRun:
    """Return a refusal with the reasons for which no target is eligible.

    If a target may become eligible at a known time, the client may retry after it,
    unless the refusal names another delay.

    Args:
        refusal: The refusal, or the last one of several attempts.
        summary: Why no target is eligible; None if a target is.
        now: Current time.
        random: Random number generator for the jitter of the delay.
    """
    if summary is None:
        return refusal
    if refusal.reason in NO_TARGET_REASONS and HOLD_REASONS & summary.counts.keys():
        refusal = structs.replace(
            refusal, reason=Reason.OVERLOADED, detail=str(summary)
        )
    elif refusal.reason is Reason.NO_TARGET:
        refusal = structs.replace(refusal, detail=str(summary))
    come_back = refusal.come_back
    seconds_left = summary.seconds_left(now)
    if come_back is None and seconds_left:
        come_back = return_delay_seconds(seconds_left, random)
    return structs.replace(
        refusal, come_back=come_back, excluded=summary.counts_by_name()
    )
