"""Positions of records in a store that may return from an older copy of itself.

Such a store loses its last records and gives their numbers out again, in a new era. An
``Offset`` combines the era with the number of the record in its topic, so that every
record of a later era is newer than all records of earlier ones. Numbers may be added to
an offset within an era. A store that names no era is in era 0.
"""

from ridgecourse.core.ids import Offset

INDEX_BITS = 40
MAX_INDEX = (1 << INDEX_BITS) - 1
MAX_ERA = (1 << 22) - 1
"""Largest era; offsets then fit into 63 bits."""


def make_offset(era: int, index: int) -> Offset:
    """Return the offset of a record.

    Args:
        era: Era of the store, 0 to ``MAX_ERA``.
        index: Number of the record in its topic in that era, 0 to ``MAX_INDEX``.
    """
    return Offset(era << INDEX_BITS | index)


def era_of(offset: int) -> int:
    """Return the era of an offset."""
    return max(0, offset) >> INDEX_BITS


def may_be_outdated(recorded: int, known: int, copied_end: int) -> bool:
    """Check whether a record of a later era may be older than a known one.

    Args:
        recorded: Offset of the record, which the store may have had in its copy.
        known: Offset of the known record; negative for none.
        copied_end: End of the topic at its first full read in the latest era.
    """
    return 0 <= known and era_of(known) < era_of(recorded) and recorded < copied_end


def index_of(offset: int) -> int:
    """Return the number of a record in its topic."""
    return max(0, offset) & MAX_INDEX
