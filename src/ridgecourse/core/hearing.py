"""When an answer of the store was true at the earliest.

An answer takes its time: on a link that a large configuration fills, a second and
more. What it tells was true when the store wrote it, which is not known; the caller
knows when it asked. A time counted from the arrival instead is too late by the whole
way, and so is each bound that is counted from it: requests began on old weights 18 ms
after theirs.
"""

from ridgecourse.core.ids import Seconds


def heard_at(asked: Seconds, answered: Seconds, wait: float, is_empty: bool) -> Seconds:
    """Return the earliest time at which an answer may have been written.

    Args:
        asked: When the store was asked.
        answered: When the answer was there.
        wait: How long the store was to wait for a first record, in seconds.
        is_empty: Whether it told no record. If it waited to the end there was none
            until then.
    """
    waited_out = is_empty and answered - asked >= wait
    return Seconds(asked + wait) if waited_out else asked
