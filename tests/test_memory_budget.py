"""The memory that clients' requests hold together, against a model of plain sums."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from ridgecourse.core.ids import Seconds
from ridgecourse.core.memory_budget import (
    CONNECTION_BYTES,
    GRACE_SECONDS,
    LARGE_BYTES,
    MEGABYTE,
    MIN_BYTES_PER_SECOND,
    REST_BYTES,
    SMALL_SHARE,
    BudgetExceeded,
    MemoryBudget,
    Reservation,
    Resources,
    plan_capacity,
)

CAPACITY_BYTES = 1024 * 1024
START = Seconds(100.0)
LARGEST_BODY_BYTES = 4 * 1024 * 1024


class BudgetMachine(RuleBasedStateMachine):
    """Requests take memory, transfer, are evicted and end, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(CAPACITY_BYTES)
        self.now = START
        self.model: dict[Reservation, int] = {}
        self.paid_until: dict[Reservation, float] = {}
        self.evicted: list[Reservation] = []

    reservations = Bundle("reservations")

    @rule(target=reservations)
    def open(self) -> Reservation:
        reservation = Reservation(self.budget)
        self.model[reservation] = 0
        return reservation

    @rule(seconds=st.floats(0.0, 2.0))
    def pass_time(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)

    @rule(reservation=reservations)
    def begin(self, reservation: Reservation) -> None:
        self.paid_until[reservation] = self.now + GRACE_SECONDS
        reservation.begin_transfer(lambda: self.evict(reservation), self.now)

    def evict(self, reservation: Reservation) -> None:
        assert self.paid_until.pop(reservation) < self.now, "evicted though fast"
        self.model[reservation] = 0
        self.evicted.append(reservation)

    @rule(reservation=reservations, size=st.integers(0, 200_000))
    def progress(self, reservation: Reservation, size: int) -> None:
        reservation.record_progress(size, self.now)
        if reservation in self.paid_until:
            self.paid_until[reservation] = reservation.paid_until

    @rule(reservation=reservations)
    def end_transfer(self, reservation: Reservation) -> None:
        reservation.end_transfer()
        self.paid_until.pop(reservation, None)

    @rule(reservation=reservations, size=st.integers(0, CAPACITY_BYTES))
    def take(self, reservation: Reservation, size: int) -> None:
        limit = CAPACITY_BYTES
        if self.model[reservation] + size > LARGE_BYTES:
            limit = int(CAPACITY_BYTES * (1 - SMALL_SHARE))
        fits = sum(self.model.values()) + size <= limit
        was_evicted = reservation in self.evicted
        evicted_before = len(self.evicted)
        try:
            reservation.take(size, self.now)
        except BudgetExceeded:
            assert was_evicted or not fits
            assert len(self.evicted) == evicted_before, "evicted for nothing"
        else:
            assert not was_evicted
            self.model[reservation] += size

    @rule(reservation=reservations, size=st.integers(0, CAPACITY_BYTES))
    def give_back(self, reservation: Reservation, size: int) -> None:
        reservation.give_back(size)
        self.model[reservation] -= min(size, self.model[reservation])

    @rule(reservation=consumes(reservations))
    def release(self, reservation: Reservation) -> None:
        reservation.release()
        self.model[reservation] = 0
        self.paid_until.pop(reservation, None)

    @invariant()
    def sums_agree(self) -> None:
        assert self.budget.used_bytes == sum(self.model.values())
        assert 0 <= self.budget.used_bytes <= CAPACITY_BYTES
        for reservation, size in self.model.items():
            assert reservation.held_bytes == size

    def teardown(self) -> None:
        for reservation in self.model:
            reservation.release()
        assert self.budget.used_bytes == 0
        assert not self.budget.reservations


BudgetMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)
TestBudget = BudgetMachine.TestCase


def hold(budget: MemoryBudget, size: int, name: str, ended: list[str]) -> Reservation:
    """Return a reservation whose transfer has begun; it adds its name once evicted."""
    reservation = Reservation(budget)
    reservation.begin_transfer(lambda: ended.append(name), START)
    reservation.take(size, START)
    return reservation


def test_the_slowest_transfer_gives_way() -> None:
    # Guards against clients that never end their bodies and so keep the budget.
    budget = MemoryBudget(CAPACITY_BYTES)
    ended: list[str] = []
    drip = hold(budget, 300_000, "drip", ended)
    steady = hold(budget, 300_000, "steady", ended)
    hold(budget, 150_000, "silent", ended)
    now = START
    for _ in range(20):
        now = Seconds(now + 0.2)
        drip.record_progress(1, now)
        steady.record_progress(MIN_BYTES_PER_SECOND, now)
    Reservation(budget).take(150_000, now)
    assert ended == ["silent"]
    Reservation(budget).take(150_000, now)
    assert ended == ["silent", "drip"]
    with pytest.raises(BudgetExceeded):
        Reservation(budget).take(500_000, now)
    assert ended == ["silent", "drip"]
    with pytest.raises(BudgetExceeded):
        drip.take(1, now)


def test_bytes_sent_at_once_do_not_pay_for_a_long_silence() -> None:
    budget = MemoryBudget(CAPACITY_BYTES)
    ended: list[str] = []
    burst = hold(budget, 700_000, "burst", ended)
    burst.record_progress(700_000, START)
    Reservation(budget).take(600_000, Seconds(START + 2 * GRACE_SECONDS))
    assert ended == ["burst"]


def test_large_requests_leave_memory_to_small_ones() -> None:
    # Guards against refusing a request without a body for want of memory.
    budget = MemoryBudget(CAPACITY_BYTES)
    with pytest.raises(BudgetExceeded):
        while True:
            Reservation(budget).take(2 * LARGE_BYTES, START)
    Reservation(budget).take(32_000, START)


@pytest.mark.parametrize("memory_mb", [50, 112, 152, 160, 200, 300, 552])
@pytest.mark.parametrize("descriptors", [300, 2870, 4100, 8192])
def test_capacity_fits_into_the_instance(memory_mb: int, descriptors: int) -> None:
    resources = Resources(memory_mb * MEGABYTE, descriptors)
    capacity = plan_capacity(resources, LARGEST_BODY_BYTES)
    budget = MemoryBudget(capacity.request_bytes)
    # One request of the largest size, with its answer, always fits.
    Reservation(budget).take(2 * LARGEST_BODY_BYTES, START)
    assert capacity.connections >= 64
    if memory_mb >= 112:
        connection_bytes = capacity.connections * CONNECTION_BYTES
        assert REST_BYTES + connection_bytes + capacity.request_bytes <= (
            resources.memory_bytes
        )
    if descriptors >= 2870:
        assert 2 * capacity.connections <= descriptors - 200
