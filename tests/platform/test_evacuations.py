"""Evacuations are ordered by the positions of their records, however they arrive.

Guards against an evacuation that an older answer ends, one that a full read ends which
is older than its record, one that does not end because its removal was skipped, and one
that a return of the store from an older copy takes back. In each case requests would go
to engines that are about to lose power, or engines would stay unused.
"""

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ridgecourse.core.evacuations import (
    EvacuationDecision,
    Evacuations,
    pin_offset,
    unpin_offset,
)
from ridgecourse.core.ids import DomainName, Offset, Seconds, era_of, make_offset

A, B = DomainName("a"), DomainName("b")
DOMAINS = (A, B)
OLD, NEW = 7, 8
NOW = Seconds(5.0)


def apply(
    evacuations: Evacuations, era: int, index: int, evacuates: bool, now: float = NOW
) -> bool:
    decision = EvacuationDecision(A, evacuates)
    return evacuations.apply(decision, make_offset(era, index), Seconds(now))


@pytest.fixture
def evacuations() -> Evacuations:
    return Evacuations()


def test_a_record_with_a_lower_offset_changes_nothing(evacuations) -> None:
    assert apply(evacuations, OLD, 5, True)
    assert not apply(evacuations, OLD, 4, False)
    assert evacuations.is_evacuated(A)
    assert apply(evacuations, OLD, 6, False)
    assert not apply(evacuations, OLD, 6, False)
    assert not apply(evacuations, OLD, 5, True)
    assert not evacuations.is_evacuated(A)


def test_a_full_read_that_lacks_the_key_ends_an_older_evacuation(evacuations) -> None:
    apply(evacuations, OLD, 5, True)
    assert evacuations.apply_full_read([], make_offset(OLD, 9), NOW) == [A]
    assert not evacuations.is_evacuated(A)


@pytest.mark.parametrize("end", [3, 5, 6])
def test_a_full_read_that_raced_with_the_write_ends_nothing(
    evacuations, end: int
) -> None:
    """Its first page is no newer than the record, and its last page lacks it."""
    apply(evacuations, OLD, 5, True)
    assert evacuations.apply_full_read([], make_offset(OLD, end), NOW) == []
    assert evacuations.is_evacuated(A)


def test_a_full_read_of_another_era_ends_nothing(evacuations) -> None:
    apply(evacuations, OLD, 5, True)
    assert evacuations.apply_full_read([], make_offset(NEW, 9), NOW) == []
    assert evacuations.is_evacuated(A)
    assert list(evacuations.carried_over(NEW)) == [A]


def test_a_record_from_a_process_that_is_behind_a_full_read_is_known_to_have_ended(
    evacuations,
) -> None:
    """Without this, a process that has missed the removal would bring it back."""
    evacuations.apply_full_read([], make_offset(OLD, 9), NOW)
    apply(evacuations, OLD, 5, True)
    assert not evacuations.is_evacuated(A)
    assert apply(evacuations, OLD, 9, True)
    assert evacuations.is_evacuated(A)


def test_a_copy_that_has_an_ended_evacuation_evacuates_again(evacuations) -> None:
    apply(evacuations, OLD, 5, True)
    apply(evacuations, OLD, 9, False)
    assert apply(evacuations, NEW, 5, True)
    assert evacuations.is_evacuated(A)
    assert apply(evacuations, NEW, 7, False)
    assert not evacuations.is_evacuated(A)


def test_a_pin_replaces_earlier_eras_and_yields_to_any_record_of_its_own(
    evacuations,
) -> None:
    apply(evacuations, OLD, 9, False)
    assert evacuations.apply(EvacuationDecision(A, True), pin_offset(NEW), NOW)
    assert evacuations.is_evacuated(A)
    assert not apply(evacuations, OLD, 12, False)
    assert apply(evacuations, NEW, 0, False)
    assert not evacuations.apply(EvacuationDecision(A, True), pin_offset(NEW), NOW)


def test_an_evacuation_ends_when_its_pin_is_removed_in_the_same_era(
    evacuations,
) -> None:
    evacuations.apply(EvacuationDecision(A, True), pin_offset(NEW), NOW)
    assert evacuations.end_unpinned([A], NEW, NOW) == []
    # The store has returned again, and the copy lacks the pin.
    assert evacuations.end_unpinned([], NEW + 1, NOW) == []
    assert evacuations.is_evacuated(A)
    assert evacuations.end_unpinned([], NEW, NOW) == [A]
    assert not evacuations.is_evacuated(A)


def test_an_evacuation_that_was_not_read_from_a_pin_does_not_end_without_one(
    evacuations,
) -> None:
    """The pin may not be written yet."""
    apply(evacuations, OLD, 5, True)
    assert evacuations.end_unpinned([], NEW, NOW) == []
    assert evacuations.is_evacuated(A)


def test_the_time_of_a_return_is_known_until_the_next_evacuation(evacuations) -> None:
    apply(evacuations, OLD, 4, False, now=1.0)
    assert evacuations.returned_at(A) is None
    apply(evacuations, OLD, 5, True, now=2.0)
    assert evacuations.returned_at(A) is None
    apply(evacuations, OLD, 6, False, now=3.0)
    apply(evacuations, OLD, 7, False, now=4.0)
    assert evacuations.returned_at(A) == 3.0
    assert evacuations.returned_at(B) is None
    apply(evacuations, OLD, 8, True, now=5.0)
    assert evacuations.returned_at(A) is None


class EvacuationMachine(RuleBasedStateMachine):
    """Processes learn of a log in any order; the oracle sorts all that a process knows.

    The log belongs to a store that returns from copies. Each process receives records,
    full reads, and the whole state of other processes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.logs: list[list[tuple[DomainName, bool]]] = [[], []]
        self.processes = [Evacuations(), Evacuations()]
        self.known: list[set[tuple[Offset, DomainName, bool]]] = [set(), set()]
        self.reads: list[dict[int, tuple[Offset, frozenset[DomainName]]]] = [{}, {}]

    @rule(domain=st.sampled_from(DOMAINS), evacuates=st.booleans())
    def write(self, domain: DomainName, evacuates: bool) -> None:
        self.logs[-1].append((domain, evacuates))

    @rule(share=st.floats(0.0, 1.0))
    def return_from_copy(self, share: float) -> None:
        log = self.logs[-1]
        self.logs.append(log[: int(share * len(log))])
        self.era += 1

    @rule(process=st.integers(0, 1), data=st.data())
    def receive_record(self, process: int, data: st.DataObject) -> None:
        records = list(self._records())
        if records:
            self._apply(process, *data.draw(st.sampled_from(records)))

    @rule(process=st.integers(0, 1), data=st.data())
    def receive_full_read(self, process: int, data: st.DataObject) -> None:
        """Read pages, the first with the state at ``start``, the last later."""
        era = data.draw(st.integers(0, self.era))
        log = self.logs[era]
        start = data.draw(st.integers(0, len(log)))
        page_ends = {
            domain: data.draw(st.integers(start, len(log))) for domain in DOMAINS
        }
        listed = set()
        for domain, page_end in page_ends.items():
            newest = [
                (index, evacuates)
                for index, (name, evacuates) in enumerate(log[:page_end])
                if name == domain
            ][-1:]
            for index, evacuates in newest:
                if evacuates:
                    listed.add(domain)
                    self._apply(process, make_offset(era, index), domain, True)
        end = make_offset(era, start)
        self.processes[process].apply_full_read(listed, end, NOW)
        latest = self.reads[process].get(era, (Offset(-1), frozenset()))
        if end > latest[0]:
            self.reads[process][era] = end, frozenset(listed)

    @rule(process=st.integers(0, 1))
    def catch_up(self, process: int) -> None:
        """Read the whole log at its end; only earlier eras may add evacuations."""
        log = self.logs[-1]
        newest = {domain: (index, is_on) for index, (domain, is_on) in enumerate(log)}
        listed = {domain for domain, (_, is_on) in newest.items() if is_on}
        for domain in listed:
            offset = make_offset(self.era, newest[domain][0])
            self._apply(process, offset, domain, True)
        end = make_offset(self.era, len(log))
        self.processes[process].apply_full_read(listed, end, NOW)
        self.reads[process][self.era] = end, frozenset(listed)
        if log and log[-1][0] not in listed:
            self._apply(process, Offset(end - 1), log[-1][0], False)
        evacuations = self.processes[process]
        assert listed <= evacuations.evacuated
        assert evacuations.evacuated - listed <= set(evacuations.carried_over(self.era))

    @rule(sender=st.integers(0, 1))
    def tell_the_other(self, sender: int) -> None:
        for domain, record in list(self.processes[sender].records.items()):
            self._apply(1 - sender, record.offset, domain, record.evacuates)

    @rule(process=st.integers(0, 1))
    def read_pin(self, process: int) -> None:
        self._apply(process, pin_offset(self.era), A, True)

    @rule(process=st.integers(0, 1))
    def find_pin_removed(self, process: int) -> None:
        ended = self.processes[process].end_unpinned([], self.era, NOW)
        for domain in ended:
            offset = unpin_offset(self.era)
            self.known[process].add((offset, domain, False))

    @invariant()
    def state_equals_oracle(self) -> None:
        for process, evacuations in enumerate(self.processes):
            expected = {domain for domain in DOMAINS if self._expect(process, domain)}
            assert evacuations.evacuated == expected
            assert expected.isdisjoint(evacuations.ended_at)

    def _records(self) -> Iterator[tuple[Offset, DomainName, bool]]:
        for era, log in enumerate(self.logs):
            for index, (domain, evacuates) in enumerate(log):
                yield make_offset(era, index), domain, evacuates

    def _apply(
        self, process: int, offset: Offset, domain: DomainName, evacuates: bool
    ) -> None:
        decision = EvacuationDecision(domain, evacuates)
        self.processes[process].apply(decision, offset, NOW)
        self.known[process].add((offset, domain, evacuates))

    def _expect(self, process: int, domain: DomainName) -> bool:
        """Return whether the newest fact that a process knows evacuates a domain."""
        facts = []
        for offset, name, evacuates in self.known[process]:
            if name != domain:
                continue
            facts.append((offset, evacuates))
            read = self.reads[process].get(era_of(offset))
            if read and domain not in read[1] and offset < read[0] - 1:
                facts.append((Offset(read[0] - 1), False))
        return max(facts, default=(Offset(0), False))[1]


TestEvacuationMachine = EvacuationMachine.TestCase
TestEvacuationMachine.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
