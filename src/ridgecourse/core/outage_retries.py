"""Retries of reads from the store while a whole failure domain cannot read it.

The processes of a failure domain form a read tree: the first few of them read records
from the store, and the others read them from processes upstream in the tree.

A failure domain of about 25 processes may lose its link to the store and regain it
while several configurations of 400 KB are published one after the other. If each
process retries on its own, all processes read the current configuration within the same
second. In a test 30 copies were sent over the link, and the last process had the newest
configuration 9 s after the link was restored. Therefore the first few processes of the
read tree try the store at each retry; the others try it rarely and ask these processes.
"""

from collections.abc import Iterable
from random import Random

from ridgecourse.core.ids import Seconds

PERSISTENT_READERS = 3
"""Number of processes that continue to try the store at each retry. One of them may
have a failed link of its own and another may be frozen; the third still reads it."""
OTHERS_ATTEMPT_SECONDS = 0.3
"""Mean time between two attempts of all other processes together, however many there
are. It is short enough that another process soon gets an answer if the store refuses
the first few processes. It is long enough that on average fewer than 2 more answers are
requested during the transfer of an answer, which takes 0.5 s."""
SERIES_SECONDS = 3.0
"""If the last large change was received less than this time before an outage, further
changes are assumed to have followed during the outage, since a change takes 1.8 s until
it is confirmed. Only the newest change is then read after the outage: an earlier one
would be sent over the link only to be replaced."""
LARGE_BYTES = 64 * 1024
"""Size from which on a record counts as large. A series of smaller records need not be
skipped: one answer of the store contains several of them, the newest included."""


class OutageRetries:
    """Decides when a process that cannot read the store tries again.

    Attributes:
        random: Random number generator for the times of the attempts, so that processes
            that lost the store at the same moment do not retry at the same time.
        next_attempt_at: Time from which on this process tries the store itself; None
            while it can read the store.
        confirmed_at: Latest time at which the received data was known to be current.
        large_change_at: Value of ``confirmed_at`` after the last answer that contained
            a large change.
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
        """Whether an outage is in progress that began in a series of large changes.

        See ``SERIES_SECONDS``.
        """
        return (
            self.is_failing
            and self.confirmed_at - self.large_change_at < SERIES_SECONDS
        )

    def defers_to_others(self, failing_upstreams: int, now: Seconds) -> bool:
        """Check whether this process leaves attempts to other processes for now.

        Args:
            failing_upstreams: Number of upstream processes that have just reported
                that they cannot read the store either. Processes that do not answer
                are not counted, so if none answers, this process tries the store.
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
        # The mean pause grows with the number of processes, so that their attempts
        # together have the mean interval OTHERS_ATTEMPT_SECONDS. The pause is random
        # from 0 to twice the mean: if many processes fail at the same moment, some of
        # them retry soon.
        pause = OTHERS_ATTEMPT_SECONDS * readers * 2.0 * self.random.random()
        self.next_attempt_at = Seconds(now + pause)

    def record_success(self) -> None:
        """Record that the store answered."""
        self.next_attempt_at = None

    def record_answer(self, confirmed_at: Seconds, sizes: Iterable[int]) -> None:
        """Record an answer of the store or of another process.

        Args:
            confirmed_at: Time at which the answer's data was known to be current.
            sizes: Sizes of the records in the answer, in bytes.
        """
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if max(sizes, default=0) >= LARGE_BYTES:
            self.large_change_at = self.confirmed_at
