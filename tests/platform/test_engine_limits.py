"""All gateways together keep to the rate limit that an engine advertises.

Guards against gateways that ignore the limit. Overloaded engines advertised 1 request
per second, but received as many as placement assigned to them: 16 and 17 requests in
4 seconds, while 11 were allowed.
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
from test_crashing_requests import (
    MultiGatewaySite,
    make_clients,
    make_domain_clients,
)

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
    ReceivedRequest,
    send_response,
)

PATH = "/safe/x"
LIMIT = 1.0
WINDOW_SECONDS = 4.0
ANNOUNCEMENT_SECONDS = 3.0
"""Time from the first answer with the limit until all gateways keep to the limit."""
MAX_REQUESTS_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5
LOAD_SECONDS = 11.0
REQUESTS_PER_SECOND = 20
MIN_SERVED_SHARE = 0.98
WORK_SECONDS = 0.03
RECOVERY_SECONDS = 5.0
"""Time within which an engine gets its full share after its limit has ended."""


class LimitedEngine:
    """Behaviour of an engine that advertises a limit in each answer.

    Attributes:
        limit: Value of the Server-Limit header; empty for no header.
        arrivals: Time at which each request arrived.
        arrived: Set when a request has arrived.
    """

    def __init__(self, limit: str) -> None:
        self.limit = limit
        self.arrivals: list[float] = []
        self.arrived = Event()

    def respond_with_limit(self, request: ReceivedRequest) -> None:
        self.arrivals.append(monotonic())
        self.arrived.set()
        sleep(WORK_SECONDS)
        extra = (f"Server-Limit: {self.limit}",) if self.limit else ()
        send_response(request, extra=extra)

    def max_arrivals_in_window(self) -> int:
        """Return the maximum arrivals in a window after all gateways know the limit."""
        known_at = self.arrivals[0] + ANNOUNCEMENT_SECONDS
        counted = [arrival for arrival in self.arrivals if arrival >= known_at]
        return max(
            (
                sum(first <= other < first + WINDOW_SECONDS for other in counted)
                for first in counted
            ),
            default=0,
        )


def respond_after_work(request: ReceivedRequest) -> None:
    sleep(WORK_SECONDS)
    send_response(request)


def add_limited_engine(site: GatewaySite, limit: str = str(LIMIT)) -> LimitedEngine:
    limited = LimitedEngine(limit)
    for behaviour in (limited.respond_with_limit, respond_after_work):
        site.add_engine("app", behaviour)
    return limited


def test_a_gateway_keeps_to_the_limit_of_an_engine(front) -> None:
    limited = add_limited_engine(front)
    front.start()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(LOAD_SECONDS)
    clients.join()
    assert 1 <= limited.max_arrivals_in_window() <= MAX_REQUESTS_IN_WINDOW
    assert clients.served_share >= MIN_SERVED_SHARE


def test_an_engine_gets_its_full_share_after_its_limit_has_ended(front) -> None:
    limited = add_limited_engine(front)
    front.start()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(ANNOUNCEMENT_SECONDS)
    limited.limit = ""
    clients.run(RECOVERY_SECONDS)
    before = len(limited.arrivals)
    clients.run(1.0)
    clients.join()
    assert len(limited.arrivals) - before > 2 * LIMIT


@pytest.mark.parametrize("text", ["-1", "nan", "inf", "1e9", "many", "9" * 30])
def test_an_invalid_limit_is_ignored_and_logged(front, text: str) -> None:
    limited = add_limited_engine(front, text)
    front.start()
    for turn in range(30):
        assert front.ask(PATH, b"%d" % turn)[0] == 200
    assert len(limited.arrivals) > 5
    event = front.gateway.wait_event("bad-input")
    assert text in event["detail"]["error"]


def test_an_engine_with_limit_zero_still_gets_probes(front) -> None:
    limited = add_limited_engine(front, "0")
    front.start()
    clients = make_clients(front, REQUESTS_PER_SECOND)
    clients.run(LOAD_SECONDS)
    limited.limit = ""
    clients.run(RECOVERY_SECONDS + 1.0)
    before = len(limited.arrivals)
    clients.run(1.0)
    clients.join()
    assert clients.served_share >= MIN_SERVED_SHARE
    assert len(limited.arrivals) - before > 2


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    site = MultiGatewaySite(tmp_path)
    yield site
    site.close()


def test_all_gateways_together_keep_to_the_limit_of_an_engine(domain) -> None:
    limited = add_limited_engine(domain)
    domain.start()
    clients = make_domain_clients(domain, REQUESTS_PER_SECOND)
    clients.run(LOAD_SECONDS)
    clients.join()
    assert 1 <= limited.max_arrivals_in_window() <= MAX_REQUESTS_IN_WINDOW
    assert clients.served_share >= MIN_SERVED_SHARE


# Tests of the gateways' shares of a limit, without processes or network.

RATES = st.one_of(st.just(0.0), st.floats(0.05, 60.0))
INCARNATION = EngineIncarnation(TargetId("i-1"), EngineStart(1))
DOMAIN = DomainName("a")
STEP_SECONDS = 0.05


def make_peers(count: int) -> list[Peer]:
    names = [f"10.0.{number % 3}.{number}" for number in range(count)]
    domains = [DomainName("ab"[number % 2]) for number in range(count)]
    return [
        Peer(TargetName(name), domain, f"{name}:2", f"{name}:1")
        for name, domain in zip(names, domains, strict=True)
    ]


def make_limits(local: Peer) -> EngineRateLimits:
    site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
    return EngineRateLimits(site, local)


def simulate_sends(
    limits: list[EngineRateLimits], peers: list[Peer], end: float
) -> list[float]:
    """Return the send times of gateways that always have requests to send.

    Args:
        limits: The limits that each gateway knows.
        peers: The gateways.
        end: Seconds to simulate.
    """
    send_times = []
    for step in range(int(end / STEP_SECONDS)):
        now = Seconds(step * STEP_SECONDS)
        for gateway_limits in limits:
            if gateway_limits.wait(INCARNATION, DOMAIN, peers, now) == 0.0:
                gateway_limits.record_send(INCARNATION, now)
                send_times.append(now)
    return send_times


def max_sends_in_window(send_times: list[float]) -> int:
    return max(
        (
            sum(first <= other < first + WINDOW_SECONDS for other in send_times)
            for first in send_times
        ),
        default=0,
    )


@settings(max_examples=25, deadline=None)
@given(st.integers(1, 98), RATES)
def test_all_gateways_keep_to_a_limit_that_is_no_longer_announced(
    count: int, rate: float
) -> None:
    peers = make_peers(count)
    limits = [make_limits(peer) for peer in peers]
    for gateway_limits in limits:
        gateway_limits.record_limit(INCARNATION, rate, Seconds(0.0))
    send_times = simulate_sends(limits, peers, 2 * LIMIT_VALID_SECONDS)
    assert max_sends_in_window(send_times) <= 1.5 * rate * WINDOW_SECONDS + 5
    assert min(send_times) < LIMIT_VALID_SECONDS
    assert max(send_times) > LIMIT_VALID_SECONDS


@given(st.integers(1, 98))
def test_gateways_in_the_domain_of_an_engine_rank_first(count: int) -> None:
    peers = make_peers(count)
    ranked = make_limits(peers[0]).rank(INCARNATION.target, DOMAIN, peers)
    is_same_domain = [peer.domain == DOMAIN for peer in ranked]
    assert is_same_domain == sorted(is_same_domain, reverse=True)
    others = make_limits(peers[-1])
    assert others.rank(INCARNATION.target, DOMAIN, reversed(peers)) == ranked


def test_only_a_newer_limit_replaces_a_known_limit() -> None:
    limits = make_limits(make_peers(1)[0])
    assert limits.record_limit(INCARNATION, 2.0, Seconds(10.0))
    assert not limits.record_limit(INCARNATION, None, Seconds(9.0))
    assert limits.is_limited(INCARNATION)
    assert limits.record_limit(INCARNATION, None, Seconds(11.0))
    assert limits.wait(INCARNATION, DOMAIN, [], Seconds(11.0)) == 0.0


def test_a_new_incarnation_of_an_engine_starts_without_a_limit() -> None:
    limits = make_limits(make_peers(1)[0])
    limits.record_limit(INCARNATION, 0.0, Seconds(10.0))
    restarted = EngineIncarnation(INCARNATION.target, EngineStart(2))
    assert not limits.is_limited(restarted)
    assert not limits.record_limit(INCARNATION, 1.0, Seconds(11.0))
    assert not limits.is_limited(restarted)
