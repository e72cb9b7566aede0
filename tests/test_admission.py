"""Admission at a target: a state machine, and shares between accounts."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ridgecourse.core.admission import AdmissionQueue, Ticket
from ridgecourse.core.ids import AccountName, RequestId, Seconds

FAR = Seconds(1e6)


def ticket(number: int, account: str, **fields: int) -> Ticket:
    values = {"priority": 0, "weight": 1, "cost": 64, **fields}
    return Ticket(RequestId(str(number)), AccountName(account), **values, deadline=FAR)


class AdmissionMachine(RuleBasedStateMachine):
    """The oracle is the set of tickets that wait and the number that run."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = AdmissionQueue(3)
        self.waiting: dict[str, Ticket] = {}
        self.running = 0
        self.number = 0
        self.now = Seconds(0.0)

    @rule(
        account=st.sampled_from("abc"),
        priority=st.integers(0, 2),
        cost=st.integers(1, 500),
        patience=st.floats(0.0, 5.0),
    )
    def offer(self, account: str, priority: int, cost: int, patience: float) -> None:
        new = ticket(self.number, account, priority=priority, cost=cost)
        new.deadline = Seconds(self.now + patience)
        self.number += 1
        come_back = self.queue.offer(new, self.now)
        if come_back is None:
            self.waiting[new.request_id] = new
        else:
            assert come_back > 0

    @rule()
    def admit(self) -> None:
        for admitted in self.queue.admit(self.now):
            rest = self.waiting.values()
            assert admitted.priority == max(t.priority for t in rest)
            mine = [t for t in rest if t.account == admitted.account]
            mine = [t for t in mine if t.priority == admitted.priority]
            assert mine[0] is admitted, "an account's own order is kept"
            del self.waiting[admitted.request_id]
            self.running += 1
        assert self.running == 3 or not self.waiting, "a slot idles"

    @rule(held=st.floats(0.0, 2.0))
    def release(self, held: float) -> None:
        if self.running:
            self.queue.release(held)
            self.running -= 1

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        latest = self.now + self.queue.service_time
        for late in list(self.queue.expire(self.now)):
            assert self.waiting.pop(late.request_id).deadline <= latest
        assert all(t.deadline > latest for t in self.waiting.values())

    @invariant()
    def books_agree(self) -> None:
        assert self.queue.waiting == len(self.waiting)
        assert self.queue.running == self.running <= 3


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)


def served(queue: AdmissionQueue, count: int) -> list[str]:
    order = []
    for _ in range(count):
        order += [t.account for t in queue.admit(Seconds(0.0))]
        queue.release(0.2)
    return order


def test_one_that_had_nothing_waiting_goes_next() -> None:
    queue = AdmissionQueue(1)
    for number in range(20):
        assert queue.offer(ticket(number, "large"), Seconds(0.0)) is None
    served(queue, 5)
    queue.offer(ticket(99, "small"), Seconds(0.0))
    assert served(queue, 1) == ["small"]


def test_shares_follow_weights_whatever_the_numbers_waiting() -> None:
    queue = AdmissionQueue(1)
    for number in range(200):
        queue.offer(ticket(number, "large"), Seconds(0.0))
        if number < 60:
            queue.offer(ticket(1000 + number, "double", weight=2), Seconds(0.0))
    counts = Counter(served(queue, 60))
    assert counts["double"] == 40
    assert counts["large"] == 20
