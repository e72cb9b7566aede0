"""Who is blamed for engines that end, whatever becomes of the news between gateways."""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ridgecourse.core.crash_reports import (
    STRIKE_SECONDS,
    CrashReport,
)
from ridgecourse.core.crash_suspects import (
    BLOCKING_STRIKES,
    MAX_SUSPECTS,
    CrashSuspects,
    SendDecision,
)
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import (
    AccountName,
    EngineStart,
    ProcessName,
    RequestSignature,
    Seconds,
    TargetId,
)
from ridgecourse.core.request_signature import sign_request

GATEWAYS = 5
CRASHING = RequestSignature(b"crashing")
HARMLESS = tuple(RequestSignature(b"harmless %d" % n) for n in range(3))
ALL = (CRASHING, *HARMLESS)
HOST = ProcessName("other")


def life(number: int) -> EngineIncarnation:
    return EngineIncarnation(TargetId(f"i-{number}"), EngineStart(number))


def at(seconds: float) -> Seconds:
    return Seconds(seconds)


def suspects_with(ends: dict[RequestSignature, list[int]]) -> CrashSuspects:
    suspects = CrashSuspects()
    for signature, numbers in ends.items():
        for number in numbers:
            suspects.record_end(signature, life(number), at(number))
    return suspects


class Letter(NamedTuple):
    news: CrashReport
    sender: int
    receiver: int


class Flight(NamedTuple):
    gateway: int
    signature: RequestSignature
    incarnation: EngineIncarnation


class Gateways(RuleBasedStateMachine):
    """The oracle knows each end and answer; gateways only what they see and hear."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.gateways = [CrashSuspects() for _ in range(GATEWAYS)]
        self.letters: list[Letter] = []
        self.flights: list[Flight] = []
        self.cut: set[int] = set()
        self.engines = 0
        self.ends: dict[RequestSignature, dict[EngineIncarnation, float]] = {
            signature: {} for signature in ALL
        }
        self.answered: dict[RequestSignature, float] = {}

    def pass_time(self, seconds: float = 0.01) -> Seconds:
        self.now += seconds
        return at(self.now)

    def together(self, first: int, second: int) -> bool:
        return (first in self.cut) == (second in self.cut)

    def tell(self, gateway: int, signature: RequestSignature) -> None:
        news = self.gateways[gateway].make_report(signature, at(self.now))
        for other in range(GATEWAYS):
            if other != gateway and self.together(gateway, other):
                self.letters.append(Letter(news, gateway, other))

    def marks_since_answer(self, signature: RequestSignature) -> int:
        since = self.answered.get(signature, 0.0)
        return sum(ended > since for ended in self.ends[signature].values())

    @rule(gateway=st.integers(0, GATEWAYS - 1), signature=st.sampled_from(ALL))
    def send(self, gateway: int, signature: RequestSignature) -> None:
        """Send a request if that is allowed, away from the engines to be avoided."""
        now = self.pass_time()
        suspects = self.gateways[gateway]
        if suspects.check(signature, now) is not SendDecision.FREE:
            return
        busy = {flight.incarnation for flight in self.flights}
        shared = sorted(busy - set(suspects.engines_to_avoid(signature, now)), key=str)
        self.engines += 1
        target = shared[0] if shared and self.engines % 2 else life(self.engines)
        suspects.begin(signature, target)
        self.flights.append(Flight(gateway, signature, target))

    @precondition(lambda self: self.flights)
    @rule(index=st.integers(0, 99))
    def finish(self, index: int) -> None:
        """Let a request finish: the crashing one ends its engine, others are served."""
        flight = self.flights[index % len(self.flights)]
        if flight.signature == CRASHING:
            self.end(flight.incarnation)
            return
        now = self.pass_time()
        self.flights.remove(flight)
        suspects = self.gateways[flight.gateway]
        self.answered[flight.signature] = now
        if suspects.record_success(flight.signature, now):
            self.tell(flight.gateway, flight.signature)
        suspects.finish(flight.signature, flight.incarnation)

    @precondition(lambda self: self.flights)
    @rule(index=st.integers(0, 99))
    def end_by_itself(self, index: int) -> None:
        self.end(self.flights[index % len(self.flights)].incarnation)

    def end(self, ended: EngineIncarnation) -> None:
        now = self.pass_time()
        hit = [flight for flight in self.flights if flight.incarnation == ended]
        self.flights = [
            flight for flight in self.flights if flight.incarnation != ended
        ]
        for flight in hit:
            self.ends[flight.signature].setdefault(ended, now)
            suspects = self.gateways[flight.gateway]
            suspects.record_end(flight.signature, ended, now)
            suspects.finish(flight.signature, ended)
            self.tell(flight.gateway, flight.signature)

    @precondition(lambda self: self.letters)
    @rule(index=st.integers(0, 99), again=st.booleans(), lost=st.booleans())
    def deliver(self, index: int, again: bool, lost: bool) -> None:
        """Deliver a datagram in any order, once, twice or not at all."""
        letter = self.letters[index % len(self.letters)]
        if not again:
            self.letters.remove(letter)
        if not lost and self.together(letter.sender, letter.receiver):
            suspects = self.gateways[letter.receiver]
            suspects.apply_report(
                letter.news, ProcessName(str(letter.sender)), at(self.now)
            )

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def cut_off(self, gateway: int) -> None:
        self.cut.add(gateway)

    @rule()
    def heal(self) -> None:
        self.cut.clear()

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def restart(self, gateway: int) -> None:
        """Start a gateway again, when others know what it knew; it asks one of them."""
        self.settle()
        others = [n for n in range(GATEWAYS) if n != gateway]
        asked = next((n for n in others if self.together(n, gateway)), None)
        if asked is None:
            return
        self.flights = [f for f in self.flights if f.gateway != gateway]
        self.letters = [x for x in self.letters if x.sender != gateway]
        self.gateways[gateway] = CrashSuspects()
        self.exchange(asked, gateway)

    def exchange(self, sender: int, receiver: int) -> None:
        suspects = self.gateways[sender]
        for signature in list(suspects.suspects):
            news = suspects.make_report(signature, at(self.now))
            name = ProcessName(str(sender))
            self.gateways[receiver].apply_report(news, name, at(self.now))

    @rule()
    def settle(self) -> None:
        """Let all that are connected hear of each other; what they hold is true."""
        for _ in range(2):
            for sender in range(GATEWAYS):
                for receiver in range(GATEWAYS):
                    if sender != receiver and self.together(sender, receiver):
                        self.exchange(sender, receiver)
        if self.cut:
            return
        now = at(self.now)
        blocked = {gateway.find_blocked(now) for gateway in self.gateways}
        assert len(blocked) == 1
        for signature in blocked.pop():
            assert self.marks_since_answer(signature) >= BLOCKING_STRIKES
        if self.marks_since_answer(CRASHING) >= BLOCKING_STRIKES:
            verdicts = {each.check(CRASHING, now) for each in self.gateways}
            assert verdicts == {SendDecision.BLOCKED}


TestGateways = Gateways.TestCase
TestGateways.settings = settings(max_examples=60, stateful_step_count=50)


def test_a_request_with_fewer_ends_is_not_blamed_for_those_of_another() -> None:
    suspects = suspects_with({CRASHING: [1, 2, 3, 4], HARMLESS[0]: [1, 2, 3]})
    assert suspects.check(CRASHING, at(5)) is SendDecision.BLOCKED
    assert suspects.check(HARMLESS[0], at(5)) is SendDecision.FREE
    assert suspects.count_strikes(HARMLESS[0], at(5)) == 0


def test_an_answer_clears_a_request_also_of_an_end_that_is_told_late() -> None:
    suspects = suspects_with({HARMLESS[0]: [1, 2]})
    assert suspects.record_success(HARMLESS[0], at(10))
    assert suspects.check(HARMLESS[0], at(11)) is SendDecision.FREE
    suspects.record_end(HARMLESS[0], life(9), at(9))
    assert suspects.count_strikes(HARMLESS[0], at(11)) == 0


def test_an_answer_elsewhere_clears_a_request_once_its_marks_are_told() -> None:
    """A single mark is told to few; who answers meanwhile knows nothing of it."""
    teller = suspects_with({HARMLESS[0]: [1, 12]})
    other = CrashSuspects()
    other.record_success(HARMLESS[0], at(10))
    news = teller.make_report(HARMLESS[0], at(13))
    assert other.apply_report(news, HOST, at(13))
    assert other.count_strikes(HARMLESS[0], at(13)) == 1
    assert other.must_inform_all(HARMLESS[0], at(13))
    teller.apply_report(other.make_report(HARMLESS[0], at(13)), HOST, at(13))
    assert teller.count_strikes(HARMLESS[0], at(13)) == 1


def test_a_request_with_marks_runs_once_at_a_time() -> None:
    suspects = suspects_with({CRASHING: [1]})
    suspects.begin(CRASHING, life(2))
    assert suspects.check(CRASHING, at(3)) is SendDecision.WAIT
    suspects.finish(CRASHING, life(2))
    assert suspects.check(CRASHING, at(3)) is SendDecision.FREE


def test_a_request_with_two_marks_runs_at_one_gateway_at_a_time() -> None:
    first, second = (suspects_with({CRASHING: [1, 2]}) for _ in range(2))
    first.begin(CRASHING, life(3))
    second.apply_report(first.make_report(CRASHING, at(3)), HOST, at(3))
    assert second.check(CRASHING, at(3)) is SendDecision.WAIT
    assert second.engines_to_avoid(HARMLESS[0], at(3)) == {life(3)}
    first.finish(CRASHING, life(3))
    second.apply_report(first.make_report(CRASHING, at(4)), HOST, at(4))
    assert second.check(CRASHING, at(4)) is SendDecision.FREE


def test_a_blocked_request_is_tried_again_after_a_while() -> None:
    suspects = suspects_with({CRASHING: [1, 2, 3]})
    assert suspects.blocked_seconds(CRASHING, at(3)) == STRIKE_SECONDS - 2
    later = at(STRIKE_SECONDS + 1.5)
    assert suspects.check(CRASHING, later) is SendDecision.FREE
    suspects.record_end(CRASHING, life(4), later)
    assert suspects.check(CRASHING, later) is SendDecision.BLOCKED


def test_bodies_that_are_made_up_take_no_more_than_bounded_memory() -> None:
    suspects = suspects_with({CRASHING: [1, 2, 3]})
    for number in range(3 * MAX_SUSPECTS):
        made_up = RequestSignature(b"made up %d" % number)
        suspects.record_end(made_up, life(5), at(5 + number / 1000))
    assert len(suspects.suspects) == MAX_SUSPECTS
    assert suspects.check(CRASHING, at(9)) is SendDecision.BLOCKED


def test_a_life_whose_start_is_not_told_counts_once() -> None:
    suspects = suspects_with({CRASHING: [1, 2]})
    suspects.record_end(CRASHING, EngineIncarnation(TargetId("i-1"), None), at(2))
    assert suspects.count_strikes(CRASHING, at(3)) == 2


def test_the_signature_tells_requests_apart_by_all_that_engines_see_of_them() -> None:
    account = AccountName("shop")
    base = sign_request(account, "POST", "h", "/a", b"body")
    assert base == sign_request(account, "POST", "h", "/a", b"body")
    others = {
        sign_request(None, "POST", "h", "/a", b"body"),
        sign_request(account, "PUT", "h", "/a", b"body"),
        sign_request(account, "POST", "h", "/ab", b"ody"),
        sign_request(account, "POST", "ha", "/", b"body"),
        sign_request(account, "POST", "h", "/a", None),
    }
    assert len(others | {base}) == 6
