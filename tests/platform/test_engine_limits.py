"""An engine that names a limit gets no more than that from all gateways together.

What happened: engines in need named one request a second, and got what placement gave
them, 16 and 17 in four seconds where 11 were allowed.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Event
from time import monotonic, sleep

import pytest
from gateway_site import GatewaySite, make_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import convert
from test_crashing_requests import Callers, CrashDomain

from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_rate_limits import LIMIT_VALID_SECONDS, EngineRateLimits
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    Seconds,
    TargetId,
    TargetName,
)
from ridgecourse.platform.settings import SiteFields, make_site
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    send_response,
)

PATH = "/safe/x"
LIMIT = 1.0
WINDOW_SECONDS = 4.0
CONTACT_SECONDS = 3.0
"""From the first naming until all gateways keep to the limit."""
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
SPAN_SECONDS = 11.0
PER_SECOND = 20
LEAST_SERVED = 0.98
WORK_SECONDS = 0.03
BACK_SECONDS = 5.0
"""In which an engine that names no limit any more gets its share again."""


class LimitedEngine:
    """An engine that names a limit in all its answers, and counts what arrives.

    Attributes:
        limit: What it names; empty for nothing.
        arrivals: When requests arrived.
    """

    def __init__(self, limit: str) -> None:
        self.limit = limit
        self.arrivals: list[float] = []
        self.arrived = Event()

    def behave(self, request: ReceivedRequest) -> None:
        self.arrivals.append(monotonic())
        self.arrived.set()
        sleep(WORK_SECONDS)
        extra = (f"Server-Limit: {self.limit}",) if self.limit else ()
        send_response(request, extra=extra)

    def worst_window(self) -> int:
        """Return the most arrivals within a window, once the limit was known."""
        begun = self.arrivals[0] + CONTACT_SECONDS
        counted = [arrival for arrival in self.arrivals if arrival >= begun]
        return max(
            (
                sum(first <= other < first + WINDOW_SECONDS for other in counted)
                for first in counted
            ),
            default=0,
        )


def work(request: ReceivedRequest) -> None:
    sleep(WORK_SECONDS)
    send_response(request)


def add_limited(site: GatewaySite, limit: str = str(LIMIT)) -> LimitedEngine:
    limited = LimitedEngine(limit)
    for behaviour in (limited.behave, work):
        engine = EngineStandIn(behaviour)
        engine.start()
        site.engines.append(engine)
        site.list_engine(engine, "app")
    return limited


def test_a_gateway_does_not_send_more_than_an_engine_names(front) -> None:
    limited = add_limited(front)
    front.start()
    callers = Callers(lambda turn: front.ask(PATH, b"%d" % turn)[0], PER_SECOND)
    callers.run(SPAN_SECONDS)
    callers.join()
    assert 1 <= limited.worst_window() <= ALLOWED
    assert callers.served >= LEAST_SERVED


def test_an_engine_gets_its_share_again_once_it_names_no_limit(front) -> None:
    limited = add_limited(front)
    front.start()
    callers = Callers(lambda turn: front.ask(PATH, b"%d" % turn)[0], PER_SECOND)
    callers.run(CONTACT_SECONDS)
    limited.limit = ""
    callers.run(BACK_SECONDS)
    before = len(limited.arrivals)
    callers.run(1.0)
    callers.join()
    assert len(limited.arrivals) - before > 2 * LIMIT


@pytest.mark.parametrize("text", ["-1", "nan", "inf", "1e9", "many", "9" * 30])
def test_what_is_no_limit_is_passed_over_and_logged(front, text: str) -> None:
    limited = add_limited(front, text)
    front.start()
    for turn in range(30):
        assert front.ask(PATH, b"%d" % turn)[0] == 200
    assert len(limited.arrivals) > 5
    event = front.gateway.wait_event("bad-input")
    assert text in event["detail"]["error"]


def test_an_engine_that_names_zero_is_still_asked_now_and_then(front) -> None:
    limited = add_limited(front, "0")
    front.start()
    callers = Callers(lambda turn: front.ask(PATH, b"%d" % turn)[0], PER_SECOND)
    callers.run(SPAN_SECONDS)
    limited.limit = ""
    callers.run(BACK_SECONDS + 1.0)
    before = len(limited.arrivals)
    callers.run(1.0)
    callers.join()
    assert callers.served >= LEAST_SERVED
    assert len(limited.arrivals) - before > 2


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[CrashDomain]:
    site = CrashDomain(tmp_path)
    yield site
    site.close()


def test_all_gateways_together_send_no_more_than_an_engine_names(domain) -> None:
    limited = add_limited(domain)
    domain.start()
    hosts = list(domain.gateways)
    callers = Callers(
        lambda turn: domain.ask_at(hosts[turn % len(hosts)], b"%d" % turn), PER_SECOND
    )
    callers.run(SPAN_SECONDS)
    callers.join()
    assert 1 <= limited.worst_window() <= ALLOWED
    assert callers.served >= LEAST_SERVED


# The shares, without input or output.

RATES = st.one_of(st.just(0.0), st.floats(0.05, 60.0))
LIFE = EngineIncarnation(TargetId("i-1"), EngineStart(1))
DOMAIN = DomainName("a")
STEP_SECONDS = 0.05


def make_peers(count: int) -> list[Peer]:
    names = [f"10.0.{n % 3}.{n}" for n in range(count)]
    domains = [DomainName("ab"[n % 2]) for n in range(count)]
    return [
        Peer(TargetName(name), domain, f"{name}:2", f"{name}:1")
        for name, domain in zip(names, domains, strict=True)
    ]


def make_limits(me: Peer) -> EngineRateLimits:
    site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
    return EngineRateLimits(site, me)


def send_all(
    limits: list[EngineRateLimits], peers: list[Peer], end: float
) -> list[float]:
    """Return when gateways send that all have requests all the time."""
    sent = []
    for step in range(int(end / STEP_SECONDS)):
        now = Seconds(step * STEP_SECONDS)
        for each in limits:
            if each.wait(LIFE, DOMAIN, peers, now) == 0.0:
                each.record_send(LIFE, now)
                sent.append(now)
    return sent


def most_in_window(sent: list[float]) -> int:
    return max(
        (sum(a <= b < a + WINDOW_SECONDS for b in sent) for a in sent), default=0
    )


@settings(max_examples=25, deadline=None)
@given(st.integers(1, 98), RATES)
def test_all_gateways_together_keep_to_a_limit_also_when_news_ends(
    count: int, rate: float
) -> None:
    peers = make_peers(count)
    limits = [make_limits(peer) for peer in peers]
    for each in limits:
        each.record_limit(LIFE, rate, Seconds(0.0))
    sent = send_all(limits, peers, 2 * LIMIT_VALID_SECONDS)
    assert most_in_window(sent) <= 1.5 * rate * WINDOW_SECONDS + 5
    assert min(sent) < LIMIT_VALID_SECONDS
    assert max(sent) > LIMIT_VALID_SECONDS


@given(st.integers(1, 98))
def test_a_limit_is_used_by_who_stands_near(count: int) -> None:
    peers = make_peers(count)
    ranked = make_limits(peers[0]).rank(LIFE.target, DOMAIN, peers)
    near = [peer.domain == DOMAIN for peer in ranked]
    assert near == sorted(near, reverse=True)
    others = make_limits(peers[-1])
    assert others.rank(LIFE.target, DOMAIN, reversed(peers)) == ranked


def test_newer_news_of_a_limit_replaces_older_only() -> None:
    limits = make_limits(make_peers(1)[0])
    assert limits.record_limit(LIFE, 2.0, Seconds(10.0))
    assert not limits.record_limit(LIFE, None, Seconds(9.0))
    assert limits.is_limited(LIFE)
    assert limits.record_limit(LIFE, None, Seconds(11.0))
    assert limits.wait(LIFE, DOMAIN, [], Seconds(11.0)) == 0.0


def test_a_new_life_of_an_engine_begins_without_a_limit() -> None:
    limits = make_limits(make_peers(1)[0])
    limits.record_limit(LIFE, 0.0, Seconds(10.0))
    later = EngineIncarnation(LIFE.target, EngineStart(2))
    assert not limits.is_limited(later)
    assert not limits.record_limit(LIFE, 1.0, Seconds(11.0))
    assert not limits.is_limited(later)
