"""Baseline agent: admits requests first in, first out, and ignores deadlines.

Replaces the methods of ``AdmissionQueue`` to compare admission control with a plain
queue.
"""

import ridgecourse.net.patch  # noqa: F401, I001

import sys
from collections import deque
from collections.abc import Iterator

from ridgecourse.agent.main import main
from ridgecourse.core.admission import AdmissionQueue, Ticket
from ridgecourse.core.ids import Seconds

_queues: dict[int, deque[Ticket]] = {}


def shared_queue(queue: AdmissionQueue) -> deque[Ticket]:
    """Return the queue that all accounts share."""
    return _queues.setdefault(id(queue), deque())


def offer(self: AdmissionQueue, ticket: Ticket, now: Seconds) -> float | None:
    """Queue every request and refuse none."""
    shared_queue(self).append(ticket)
    return None


def admit(self: AdmissionQueue, now: Seconds) -> Iterator[Ticket]:
    """Yield tickets in order of arrival while slots are free."""
    waiting = shared_queue(self)
    while waiting and self.running < self.slots:
        self.running += 1
        yield waiting.popleft()


def expire(self: AdmissionQueue, now: Seconds) -> Iterator[Ticket]:
    """Return no tickets, since no ticket expires."""
    return iter(())


if __name__ == "__main__":
    AdmissionQueue.offer = offer  # type: ignore[method-assign]
    AdmissionQueue.admit = admit  # type: ignore[method-assign]
    AdmissionQueue.expire = expire  # type: ignore[method-assign]
    sys.exit(main())
