"""Admission at a target: deadlines, priorities and fair shares over accounts.

Every request for a target passes its one agent, so fair shares need no
agreement between processes.
"""

from collections import deque
from collections.abc import Iterator

from msgspec import Struct

from ridgecourse.core.ids import AccountName, RequestId, Seconds

QUANTUM = 64
"""Cost units that an account of weight 1 may spend in one round."""
ESTIMATE_MARGIN = 1.25
"""A ticket is queued only if this times the estimate still makes its deadline."""
SERVICE_TIME_WEIGHT = 0.1
"""Share of the newest sample in the smoothed service time."""


class Ticket(Struct):
    """A request that waits for a slot.

    Attributes:
        request_id: The request.
        account: Whose share it draws on.
        priority: Higher goes first.
        weight: The account's share within its priority.
        cost: Expected work in cost units, such as tokens asked for.
        deadline: When its caller gives up, on this process's clock.
    """

    request_id: RequestId
    account: AccountName
    priority: int
    weight: int
    cost: int
    deadline: Seconds


class AccountQueue:
    """The tickets of one account, first in first out.

    Attributes:
        deficit: Cost units that it may still spend.
        visited: Whether it got its quantum in this round.
    """

    def __init__(self) -> None:
        self.tickets: deque[Ticket] = deque()
        self.deficit = 0
        self.visited = False


class AdmissionQueue:
    """A queue bounded by deadlines, with deficit round robin over accounts.

    Attributes:
        slots: Requests that may run at once.
        running: Requests that run now.
        service_time: Smoothed time a request holds a slot, in seconds.
    """

    def __init__(self, slots: int, first_service_time: float = 0.2) -> None:
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self.service_time = first_service_time
        self.levels: dict[int, dict[AccountName, AccountQueue]] = {}

    def expected_wait(self, ticket: Ticket) -> float:
        """Return the time in seconds until a new ticket would get a slot.

        Only tickets that go before it count: those of higher priorities, its
        account's own, and of each other account as much as its fair share.
        """
        if self.running < self.slots:
            return 0.0
        ahead = 0.0
        for priority, accounts in self.levels.items():
            if priority > ticket.priority:
                ahead += sum(len(queue.tickets) for queue in accounts.values())
        accounts = self.levels.get(ticket.priority, {})
        own = len(accounts[ticket.account].tickets) if ticket.account in accounts else 0
        for account, queue in accounts.items():
            waiting = len(queue.tickets)
            ahead += waiting if account == ticket.account else min(waiting, own + 1)
        return (ahead + 1) * self.service_time / self.slots

    def offer(self, ticket: Ticket, now: Seconds) -> float | None:
        """Queue a ticket if it can be served before its deadline.

        Returns:
            None if queued, else the seconds after which to come back.
        """
        wait = self.expected_wait(ticket)
        if now + ESTIMATE_MARGIN * (wait + self.service_time) > ticket.deadline:
            return max(wait, self.service_time)
        accounts = self.levels.setdefault(ticket.priority, {})
        if ticket.account not in accounts:
            # One that had nothing waiting goes next, not after all who had.
            accounts = {ticket.account: AccountQueue(), **accounts}
            self.levels[ticket.priority] = accounts
        accounts[ticket.account].tickets.append(ticket)
        self.waiting += 1
        return None

    def cancel(self, ticket: Ticket) -> bool:
        """Take a waiting ticket out; tell whether it was still waiting."""
        queue = self.levels.get(ticket.priority, {}).get(ticket.account)
        if queue is None or ticket not in queue.tickets:
            return False
        queue.tickets.remove(ticket)
        self.waiting -= 1
        return True

    def admit(self, now: Seconds) -> Iterator[Ticket]:
        """Yield tickets that get a slot now."""
        while self.running < self.slots:
            ticket = self._next_ticket(now)
            if ticket is None:
                return
            self.running += 1
            yield ticket

    def expire(self, now: Seconds) -> Iterator[Ticket]:
        """Yield and drop waiting tickets that can no longer make their deadline.

        What is left must be enough to be served, not only to be begun: work that
        ends too late takes a slot from work that would not.
        """
        latest = now + self.service_time
        for accounts in self.levels.values():
            for queue in accounts.values():
                late = [t for t in queue.tickets if t.deadline <= latest]
                for ticket in late:
                    queue.tickets.remove(ticket)
                    self.waiting -= 1
                    yield ticket

    def release(self, held: float) -> None:
        """Give a slot back.

        Args:
            held: Seconds for which it was held.
        """
        self.running -= 1
        self.service_time += SERVICE_TIME_WEIGHT * (held - self.service_time)

    def _next_ticket(self, now: Seconds) -> Ticket | None:
        for priority in sorted(self.levels, reverse=True):
            ticket = self._next_of_level(self.levels[priority], now)
            if ticket is not None:
                return ticket
        return None

    def _next_of_level(
        self, accounts: dict[AccountName, AccountQueue], now: Seconds
    ) -> Ticket | None:
        for account in [name for name, queue in accounts.items() if not queue.tickets]:
            # An idle account saves up no share.
            del accounts[account]
        while accounts:
            account, queue = next(iter(accounts.items()))
            ticket = queue.tickets[0]
            if queue.deficit < ticket.cost and not queue.visited:
                queue.deficit += QUANTUM * ticket.weight
            queue.visited = True
            if queue.deficit >= ticket.cost:
                queue.deficit -= ticket.cost
                queue.tickets.popleft()
                self.waiting -= 1
                if not queue.tickets:
                    del accounts[account]
                return ticket
            queue.visited = False
            # To the end of the round.
            del accounts[account]
            accounts[account] = queue
        return None
