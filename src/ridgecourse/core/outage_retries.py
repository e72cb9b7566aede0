"""Retries of the store while a whole failure domain cannot read it.

A failure domain of about 25 processes may lose its link and regain it while several
configurations of 400 KB are published one after the other. If each process retries on
its own, all processes read the current configuration within the same second: 30 copies
over one link in a test, where the last process had the newest configuration 9 s after
the link was restored. So the first few processes of the domain's read tree retry often,
and the others ask these processes.
"""

from collections.abc import Iterable
from random import Random

from ridgecourse.core.ids import Seconds

PERSISTENT_READERS = 3
"""Number of processes that continue to try the store at each retry: one of them may
have a failed link of its own, and another may be frozen."""
OTHERS_ATTEMPT_SECONDS = 0.3
"""Mean time between two attempts of all other processes together, however many there
are. If the store refuses the first few processes, another one gets an answer soon, and
while an answer that takes 0.5 s is in transit, hardly 2 more are requested."""
SERIES_SECONDS = 3.0
"""Time between the last large change and the start of an outage up to which further
changes are assumed to have followed: each change takes 1.8 s until it is confirmed. The
first of several changes would be sent over the link only to be replaced."""
LARGE_BYTES = 64 * 1024
"""Size from which on a record counts as large. An answer of the store contains several
smaller records, the newest included."""


class OutageRetries:
    """Decides when a process that cannot read the store tries again.

    Attributes:
        random: Random number generator for the times of the attempts, so that processes
            that lost the store at the same moment do not retry at the same time.
        next_attempt_at: Time from which on this process tries the store itself; None
            while it can read the store.
        confirmed_at: Latest time at which data of the store was known to be current.
        large_change_at: The same, for the last answer with a large change.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.next_attempt_at: Seconds | None = None
        self.confirmed_at = Seconds(0.0)
        self.large_change_at = Seconds(-SERIES_SECONDS)

    @property
    def is_failing(self) -> bool:
        """Whether the last attempt failed."""
        return self.next_attempt_at is not None

    @property
    def is_in_series(self) -> bool:
        """Whether an outage is in progress that began in a series of large changes."""
        return (
            self.is_failing
            and self.confirmed_at - self.large_change_at < SERIES_SECONDS
        )

    def defers_to_others(self, failing_upstreams: int, now: Seconds) -> bool:
        """Check whether this process leaves attempts to other processes for now.

        Args:
            failing_upstreams: Number of upstream processes that have just reported
                that they cannot read the store either. If no upstream process
                answers, this process tries the store itself.
            now: Current time.
        """
        if self.next_attempt_at is None or failing_upstreams < PERSISTENT_READERS:
            return False
        return now < self.next_attempt_at

    def record_failure(self, readers: int, now: Seconds) -> None:
        """Record a failed attempt.

        Args:
            readers: Number of processes in the domain that may read the store, this
                one included.
            now: Current time.
        """
        # The pause is random from 0 on: if many processes fail at the same moment, some
        # of them retry soon.
        pause = OTHERS_ATTEMPT_SECONDS * readers * 2.0 * self.random.random()
        self.next_attempt_at = Seconds(now + pause)

    def record_success(self) -> None:
        """Record that the store answered."""
        self.next_attempt_at = None

    def record_answer(self, heard_at: Seconds, sizes: Iterable[int]) -> None:
        """Record an answer of the store or of another process.

        Args:
            heard_at: Time at which the answer's data was known to be current.
            sizes: Sizes of the records in the answer, in bytes.
        """
        self.confirmed_at = max(self.confirmed_at, heard_at)
        if max(sizes, default=0) >= LARGE_BYTES:
            self.large_change_at = self.confirmed_at
