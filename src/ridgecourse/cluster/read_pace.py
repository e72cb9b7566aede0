"""How often a process reads the platform's store, or others that read it."""

from typing import NamedTuple

DECISION_WAIT_SECONDS = 0.4
"""Longest wait of one read of the store for an operator's decision. A waiting read can
miss a record, and a connection that died unseen is noticed only after it. With twice a
slow store's 0.35 s it leaves what is heard fresh enough for others to rely on; with
0.6 s a domain of seven processes left its reader 65 times in 6 s."""
TARGETS_PAUSE_SECONDS = 0.6
"""Between two reads of the list by the one that reads it for a domain: heartbeats would
end a waiting read ten times a second. A leaving target may get requests for 2 s more.
Those below ask with a wait; if the one above is frozen they notice it 1.1 s after it
last heard of the store, and read it themselves then."""


class ReadPace(NamedTuple):
    """How often a process reads, in seconds.

    Attributes:
        decision_wait: Longest wait of one read for a decision.
        targets_pause: Between two reads of the list of targets from the store.
        told_pause: The same from another process, which waits for news itself.
    """

    decision_wait: float = DECISION_WAIT_SECONDS
    targets_pause: float = TARGETS_PAUSE_SECONDS
    told_pause: float = 0.0


GATEWAY_PACE = ReadPace()
