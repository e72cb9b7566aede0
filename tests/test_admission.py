"""Tests of the admission queue of a target.

A state machine compares the queue with a simple model. Further tests check the shares
of accounts.
"""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ridgecourse.core.admission import AdmissionQueue, Ticket
from ridgecourse.core.ids import AccountName, RequestId, Seconds

FAR_DEADLINE = Seconds(1e6)


def make_ticket(number: int, account: str, **fields: int) -> Ticket:
    values = {"priority": 0, "weight": 1, "cost": 64, **fields}
    return Ticket(
        RequestId(str(number)), AccountName(account), **values, deadline=FAR_DEADLINE
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Compares the queue with the waiting tickets and the number of running ones."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = AdmissionQueue(3)
        self.waiting: dict[str, Ticket] = {}
        self.running = 0
        self.next_number = 0
        self.now = Seconds(0.0)

    @rule(
        account=st.sampled_from("abc"),
        priority=st.integers(0, 2),
        cost=st.integers(1, 500),
        maximum_wait=st.floats(0.0, 5.0),
    )
    def offer(
        self, account: str, priority: int, cost: int, maximum_wait: float
    ) -> None:
        ticket = make_ticket(self.next_number, account, priority=priority, cost=cost)
        ticket.deadline = Seconds(self.now + maximum_wait)
        self.next_number += 1
        retry_delay = self.queue.offer(ticket, self.now)
        if retry_delay is None:
            self.waiting[ticket.request_id] = ticket
        else:
            assert retry_delay > 0

    @rule()
    def admit(self) -> None:
        for admitted in self.queue.admit(self.now):
            waiting = self.waiting.values()
            assert admitted.priority == max(ticket.priority for ticket in waiting)
            same_account = [
                ticket for ticket in waiting if ticket.account == admitted.account
            ]
            same_account = [
                ticket
                for ticket in same_account
                if ticket.priority == admitted.priority
            ]
            assert same_account[0] is admitted, (
                "the tickets of an account are out of order"
            )
            del self.waiting[admitted.request_id]
            self.running += 1
        assert self.running == 3 or not self.waiting, (
            "a slot is free while tickets wait"
        )

    @rule(held_seconds=st.floats(0.0, 2.0))
    def release(self, held_seconds: float) -> None:
        if self.running:
            self.queue.release(held_seconds)
            self.running -= 1

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        earliest_end = self.now + self.queue.service_time
        for expired in list(self.queue.expire(self.now)):
            assert self.waiting.pop(expired.request_id).deadline <= earliest_end
        assert all(ticket.deadline > earliest_end for ticket in self.waiting.values())

    @invariant()
    def counts_match(self) -> None:
        assert self.queue.waiting == len(self.waiting)
        assert self.queue.running == self.running <= 3


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)


def run_requests(queue: AdmissionQueue, count: int) -> list[str]:
    """Run requests one after the other and return their accounts in order."""
    accounts = []
    for _ in range(count):
        accounts += [ticket.account for ticket in queue.admit(Seconds(0.0))]
        queue.release(0.2)
    return accounts


def test_account_without_waiting_tickets_is_served_next() -> None:
    queue = AdmissionQueue(1)
    for number in range(20):
        assert queue.offer(make_ticket(number, "large"), Seconds(0.0)) is None
    run_requests(queue, 5)
    queue.offer(make_ticket(99, "small"), Seconds(0.0))
    assert run_requests(queue, 1) == ["small"]


def test_shares_follow_weights_regardless_of_queue_lengths() -> None:
    queue = AdmissionQueue(1)
    for number in range(200):
        queue.offer(make_ticket(number, "large"), Seconds(0.0))
        if number < 60:
            queue.offer(make_ticket(1000 + number, "double", weight=2), Seconds(0.0))
    counts = Counter(run_requests(queue, 60))
    assert counts["double"] == 40
    assert counts["large"] == 20
