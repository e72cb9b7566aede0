"""The objective by which a service's queue is kept short enough for all its kinds.

Load pattern: engines have more to do than they can, and kinds of requests with
objectives of 0.3 and 0.4 s share them. If each kind is let in as long as its own
objective allows, the patient kinds keep the queue at a length with which the others
are always late. Kept at what the shortest objective in use allows, the queue still
never runs empty, and all kinds have their share.

By ``python -m bench placement --short-share 0.33`` on 6 engines at 55 requests a
second, five seeds: credit of the kind or longest tenth that has least 0.46 with
objectives of their own, 0.66 with this and with no prompt refused for its length;
credit of all 0.86 and 0.81.
"""

from collections import Counter, deque

RECENT = 200
"""Requests of a service that are looked at: the last 10 to 20 s of one gateway."""
LEAST_SHARE = 0.1
"""Share of them below which a kind does not count: a rare kind with a short objective
must not have most others refused."""


class ObjectivesInUse:
    """Objectives of a service's recent requests.

    Attributes:
        recent: In seconds, the oldest first.
        counts: Number of each.
    """

    def __init__(self) -> None:
        self.recent: deque[float] = deque()
        self.counts: Counter[float] = Counter()

    def observe(self, objective: float) -> float:
        """Take in a request's objective; return the one that bounds its wait."""
        self.recent.append(objective)
        self.counts[objective] += 1
        if len(self.recent) > RECENT:
            self._forget(self.recent.popleft())
        least = LEAST_SHARE * len(self.recent)
        usual = (known for known, count in self.counts.items() if count >= least)
        return min(objective, *usual)

    def _forget(self, objective: float) -> None:
        self.counts[objective] -= 1
        if not self.counts[objective]:
            del self.counts[objective]
