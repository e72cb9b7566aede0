"""Who tries the store while a whole domain cannot read it.

Load pattern: a failure domain of some 25 processes is cut off and comes back while
configurations of 400 KB follow each other. If each tries for itself, all read what
holds within the same second: 30 copies over one link in a test, and the last process
had the newest configuration 9 s after the link was back. So the first few of the
domain's tree try often, and the others ask those.
"""

from collections.abc import Iterable
from random import Random

from ridgecourse.core.ids import Seconds

TRY_OFTEN = 3
"""Processes that go on trying at each retry: one may have a link of its own that is
down, and one may be frozen."""
OTHERS_TRY_SECONDS = 0.3
"""Between two tries of any of the others, however many they are: where the first few
are turned away, one that is not hears of the store soon, and while an answer of 0.5 s
is on its way hardly two more are asked for."""
SERIES_SECONDS = 3.0
"""Since the last large change before an outage, within which more are taken to have
followed: each takes 1.8 s until it is confirmed. Of several the first would cross the
link only to be replaced."""
LARGE_BYTES = 64 * 1024
"""Of smaller records an answer of the store holds several, the newest among them."""


class OutageTries:
    """When a process that cannot read the store tries again.

    Attributes:
        random: Spreads the tries of processes that were cut off at the same moment.
        next_at: When it tries whatever others do; None while it can read the store.
        heard_at: When the store was last heard of, by anybody who told it.
        changed_at: The same, of the last answer that told a large change.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.next_at: Seconds | None = None
        self.heard_at = Seconds(0.0)
        self.changed_at = Seconds(-SERIES_SECONDS)

    @property
    def failing(self) -> bool:
        """Whether the last try failed."""
        return self.next_at is not None

    @property
    def in_series(self) -> bool:
        """Whether an outage is on that began in a series of large changes."""
        return self.failing and self.heard_at - self.changed_at < SERIES_SECONDS

    def leaves_to_others(self, lost_above: int, now: Seconds) -> bool:
        """Tell whether the store is left to others for now.

        Args:
            lost_above: Processes above this one that just told that they cannot read
                the store either. Where none answers this one is on its own.
            now: The time.
        """
        if self.next_at is None or lost_above < TRY_OFTEN:
            return False
        return now < self.next_at

    def note_failure(self, readers: int, now: Seconds) -> None:
        """Take in that a try failed.

        Args:
            readers: Processes of the domain that may read the store, this one included.
            now: The time.
        """
        # From zero on: of many that fail at the same moment some are to try soon.
        pause = OTHERS_TRY_SECONDS * readers * 2.0 * self.random.random()
        self.next_at = Seconds(now + pause)

    def note_success(self) -> None:
        """Take in that the store answered."""
        self.next_at = None

    def note_answer(self, heard_at: Seconds, sizes: Iterable[int]) -> None:
        """Take in what the store or another process told.

        Args:
            heard_at: When the store was heard of.
            sizes: Of the records that it told, in bytes.
        """
        self.heard_at = max(self.heard_at, heard_at)
        if max(sizes, default=0) >= LARGE_BYTES:
            self.changed_at = self.heard_at
