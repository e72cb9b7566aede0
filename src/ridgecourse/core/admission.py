"""Admission control at a target: deadlines, priorities and fair shares of accounts.

The agent of a target queues each request until a slot is free, and refuses a
request that cannot be served before its deadline. Every request for a target
passes through the same agent, so fair shares need no coordination between
processes.
"""

from collections import deque
from collections.abc import Iterator

from msgspec import Struct

from ridgecourse.core.ids import AccountName, RequestId, Seconds

QUANTUM = 64
"""Cost units that an account of weight 1 receives in one round."""
ESTIMATE_MARGIN = 1.25
"""Factor by which the estimated time to completion is multiplied before it is
compared with the deadline of a new ticket."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the smoothed service time."""


class Ticket(Struct):
    """A request that waits for a slot.

    Attributes:
        request_id: Identity of the request.
        account: Client account whose share the request uses.
        priority: Tickets of a higher priority are served first.
        weight: Relative share of the account among accounts of its priority.
        cost: Expected work in cost units, such as requested tokens.
        deadline: Time at which the client gives up, by the clock of this process.
    """

    request_id: RequestId
    account: AccountName
    priority: int
    weight: int
    cost: int
    deadline: Seconds


class AccountQueue:
    """The first-in, first-out queue of the tickets of one account.

    Attributes:
        tickets: Waiting tickets, the oldest first.
        deficit: Cost units that the account may still spend.
        has_quantum: Whether the account received its quantum in this round.
    """

    def __init__(self) -> None:
        self.tickets: deque[Ticket] = deque()
        self.deficit = 0
        self.has_quantum = False


class AdmissionQueue:
    """A queue bounded by deadlines, with deficit round robin over accounts.

    Attributes:
        slots: Number of requests that may run at once.
        running: Number of requests that hold a slot.
        waiting: Number of tickets in the queue.
        service_time: Smoothed time for which a request holds a slot, in seconds.
        queues_by_priority: Queues of the accounts, by priority and account. The
            order of the accounts is the order of the round.
    """

    def __init__(self, slots: int, first_service_time: float = 0.2) -> None:
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self.service_time = first_service_time
        self.queues_by_priority: dict[int, dict[AccountName, AccountQueue]] = {}

    def expected_wait(self, ticket: Ticket) -> float:
        """Return the estimated time until a new ticket gets a slot, in seconds.

        The estimate counts only tickets that are served before the new ticket:
        all tickets of higher priorities, the tickets of the same account, and
        from every other account of the same priority at most its fair share.
        """
        if self.running < self.slots:
            return 0.0
        tickets_ahead = 0.0
        for priority, accounts in self.queues_by_priority.items():
            if priority > ticket.priority:
                tickets_ahead += sum(len(queue.tickets) for queue in accounts.values())
        accounts = self.queues_by_priority.get(ticket.priority, {})
        own_tickets = (
            len(accounts[ticket.account].tickets) if ticket.account in accounts else 0
        )
        for account, queue in accounts.items():
            waiting = len(queue.tickets)
            tickets_ahead += (
                waiting if account == ticket.account else min(waiting, own_tickets + 1)
            )
        return (tickets_ahead + 1) * self.service_time / self.slots

    def offer(self, ticket: Ticket, now: Seconds) -> float | None:
        """Queue a ticket if it can be served before its deadline.

        Returns:
            None if the ticket was queued, otherwise the seconds after which the
            client may try again.
        """
        wait = self.expected_wait(ticket)
        if now + ESTIMATE_MARGIN * (wait + self.service_time) > ticket.deadline:
            return max(wait, self.service_time)
        accounts = self.queues_by_priority.setdefault(ticket.priority, {})
        if ticket.account not in accounts:
            # An account without waiting tickets enters at the head of the round,
            # ahead of the accounts that have waiting tickets.
            accounts = {ticket.account: AccountQueue(), **accounts}
            self.queues_by_priority[ticket.priority] = accounts
        accounts[ticket.account].tickets.append(ticket)
        self.waiting += 1
        return None

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; return whether the ticket was still waiting."""
        queue = self.queues_by_priority.get(ticket.priority, {}).get(ticket.account)
        if queue is None or ticket not in queue.tickets:
            return False
        queue.tickets.remove(ticket)
        self.waiting -= 1
        return True

    def admit(self, now: Seconds) -> Iterator[Ticket]:
        """Assign the free slots and yield the tickets that get them."""
        while self.running < self.slots:
            ticket = self._next_ticket(now)
            if ticket is None:
                return
            self.running += 1
            yield ticket

    def expire(self, now: Seconds) -> Iterator[Ticket]:
        """Remove and yield waiting tickets that cannot meet their deadline.

        A ticket is removed when the time to its deadline is not longer than the
        service time. A request that starts before its deadline but ends after it
        would take a slot from requests that can still end in time.
        """
        earliest_end = now + self.service_time
        for accounts in self.queues_by_priority.values():
            for queue in accounts.values():
                late = [
                    ticket
                    for ticket in queue.tickets
                    if ticket.deadline <= earliest_end
                ]
                for ticket in late:
                    queue.tickets.remove(ticket)
                    self.waiting -= 1
                    yield ticket

    def release(self, held_seconds: float) -> None:
        """Release a slot and update the smoothed service time.

        Args:
            held_seconds: Time for which the request held the slot.
        """
        self.running -= 1
        self.service_time += SERVICE_TIME_WEIGHT * (held_seconds - self.service_time)

    def _next_ticket(self, now: Seconds) -> Ticket | None:
        for priority in sorted(self.queues_by_priority, reverse=True):
            ticket = self._next_at_priority(self.queues_by_priority[priority], now)
            if ticket is not None:
                return ticket
        return None

    def _next_at_priority(
        self, accounts: dict[AccountName, AccountQueue], now: Seconds
    ) -> Ticket | None:
        for account in [name for name, queue in accounts.items() if not queue.tickets]:
            # An idle account does not accumulate a deficit.
            del accounts[account]
        while accounts:
            account, queue = next(iter(accounts.items()))
            ticket = queue.tickets[0]
            if queue.deficit < ticket.cost and not queue.has_quantum:
                queue.deficit += QUANTUM * ticket.weight
            queue.has_quantum = True
            if queue.deficit >= ticket.cost:
                queue.deficit -= ticket.cost
                queue.tickets.popleft()
                self.waiting -= 1
                if not queue.tickets:
                    del accounts[account]
                return ticket
            queue.has_quantum = False
            # The deficit is too small: move the account to the end of the round.
            del accounts[account]
            accounts[account] = queue
        return None
