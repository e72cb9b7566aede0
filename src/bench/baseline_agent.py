"""An agent as a baseline: first in first out, without looking at deadlines."""

import ridgecourse.net.patch  # noqa: F401, I001

import sys
from collections import deque
from collections.abc import Iterator

from ridgecourse.agent.main import main
from ridgecourse.core.admission import AdmissionQueue, Ticket
from ridgecourse.core.ids import Seconds

_queues: dict[int, deque[Ticket]] = {}


def queue_of(queue: AdmissionQueue) -> deque[Ticket]:
    """Return the one queue of all accounts."""
    return _queues.setdefault(id(queue), deque())


def offer(self: AdmissionQueue, ticket: Ticket, now: Seconds) -> float | None:
    """Queue everything."""
    queue_of(self).append(ticket)
    return None


def admit(self: AdmissionQueue, now: Seconds) -> Iterator[Ticket]:
    """Yield tickets in the order in which they came."""
    waiting = queue_of(self)
    while waiting and self.running < self.slots:
        self.running += 1
        yield waiting.popleft()


def expire(self: AdmissionQueue, now: Seconds) -> Iterator[Ticket]:
    """Let nothing expire."""
    return iter(())


if __name__ == "__main__":
    AdmissionQueue.offer = offer  # type: ignore[method-assign]
    AdmissionQueue.admit = admit  # type: ignore[method-assign]
    AdmissionQueue.expire = expire  # type: ignore[method-assign]
    sys.exit(main())
