"""Determine the earliest time at which an answer of the store was current.

On a link that a large configuration saturates, an answer takes a second or more. Its
content was current when the store wrote it; the caller does not know that time, but
knows when it sent the request. A time measured from the arrival is too late by the
whole network delay, and so is every bound derived from it: in one case requests started
on old weights 18 ms after their bound.
"""

from ridgecourse.core.ids import Seconds


def confirmed_at(
    asked_at: Seconds, answered_at: Seconds, wait: float, is_empty: bool
) -> Seconds:
    """Return the earliest time at which the store may have written an answer.

    Args:
        asked_at: When the request was sent to the store.
        answered_at: When the answer arrived.
        wait: Seconds for which the store was asked to wait for a first record.
        is_empty: Whether the answer contains no record. If the store waited for the
            whole period, there was no record until its end.
    """
    waited_out = is_empty and answered_at - asked_at >= wait
    return Seconds(asked_at + wait) if waited_out else asked_at
