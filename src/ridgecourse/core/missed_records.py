"""Ranges of a topic whose removals a process may have missed.

The newest records of all keys do not show which keys were removed. A process that reads
on at their end knows nothing of the removals before it.
"""

from typing import NamedTuple

from ridgecourse.core.ids import Offset

MAX_RANGES = 16
"""Number of ranges that are told apart. With more, the two earliest become one."""


class OffsetRange(NamedTuple):
    """A range of offsets.

    Attributes:
        start: First offset.
        end: Offset after the last one.
    """

    start: Offset
    end: Offset


class MissedRecords:
    """The ranges of which a process has read only the newest record of each key.

    Attributes:
        ranges: The ranges, in the order in which they were read.
    """

    def __init__(self) -> None:
        self.ranges: list[OffsetRange] = []

    @property
    def end(self) -> Offset:
        """Offset from which on all removals are known."""
        return max((missed.end for missed in self.ranges), default=Offset(0))

    def add(self, start: Offset, end: Offset) -> None:
        """Record that only the newest records were read of a range.

        Args:
            start: Offset up to which all records had been read before.
            end: Offset from which on all records are read.
        """
        if end <= start:
            return
        kept = [
            missed
            for missed in self.ranges
            if not (start <= missed.start and missed.end <= end)
        ]
        self.ranges = [*kept, OffsetRange(start, end)]
        if len(self.ranges) > MAX_RANGES:
            first, second, *later = sorted(self.ranges)
            merged = OffsetRange(first.start, max(first.end, second.end))
            self.ranges = [merged, *later]

    def has_gap_after(self, position: Offset) -> bool:
        """Check whether a reader may hold keys whose removal is not known.

        A reader that has read as far as a range begins holds no such key: a key that
        was present there and is missing at the end of the range was removed in it.

        Args:
            position: Offset up to which the reader has read.
        """
        return any(missed.start < position < missed.end for missed in self.ranges)
