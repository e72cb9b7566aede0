"""An engine that names a limit gets no more than that from all gateways together.

What happened: engines in need named one request a second, and got what placement gave
them, 16 and 17 in four seconds where 11 were allowed.
"""

from collections.abc import Iterator
from pathlib import Path
from threading import Event
from time import monotonic, sleep

import pytest
from gateway_site import GatewaySite
from test_crashing_requests import Callers, CrashDomain

from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    send_whole,
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
        send_whole(request, extra=extra)

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
    send_whole(request)


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
