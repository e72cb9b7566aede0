"""Ranges of a topic that a process has read, and ranges that it may have missed.

The newest records of all keys show neither which keys were removed nor which records
they replaced. A process that reads on at their end knows nothing of what came before.
"""

from typing import NamedTuple

from ridgecourse.core.ids import Offset, era_of, make_offset

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


class ContiguousReads:
    """Tracks up to which offset every record of a topic was read.

    Attributes:
        end: Offset before which all records of the era were read.
        later: Records that were read after a gap; empty if there is none.
    """

    def __init__(self) -> None:
        self.end = Offset(0)
        self.later = OffsetRange(Offset(0), Offset(0))

    def start_in(self, era: int) -> Offset:
        """Return the offset from which on records of an era may be unread."""
        return self.end if era_of(self.end) == era else make_offset(era, 0)

    def add(self, start: Offset, end: Offset) -> None:
        """Record that a range was read.

        A read in a later era begins anew, and one in an earlier era changes nothing:
        the store gives out offsets again when it returns from a copy.

        Args:
            start: Offset of the first record.
            end: Offset after the last one.
        """
        if era_of(end) < era_of(self.end):
            return
        if era_of(end) > era_of(self.end):
            self.end = make_offset(era_of(end), 0)
            self.later = OffsetRange(self.end, self.end)
        if start <= self.end:
            self.end = max(self.end, end)
        elif self.later.start <= start <= self.later.end:
            self.later = OffsetRange(self.later.start, max(self.later.end, end))
        else:
            self.later = OffsetRange(start, end)
        if self.later.start <= self.end:
            self.end = max(self.end, self.later.end)
