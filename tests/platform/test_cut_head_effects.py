"""What a gateway learns of engines from answers that are cut in their head."""

from collections import Counter
from collections.abc import Callable
from contextlib import closing
from socket import SHUT_WR
from unittest.mock import Mock

import pytest
from gateway_site import GatewaySite
from msgspec.structs import replace
from test_crashing_requests import MAX_CRASHES
from test_cut_heads import find_cuts
from test_known_incarnations import make_target

from ridgecourse.core.ids import TargetId
from ridgecourse.core.relisted_targets import HealthAnswer
from ridgecourse.gateway.relisted_watch import RelistedWatch
from ridgecourse.platform.requests import PlatformRequestProtocol
from ridgecourse_standins.platform.crashing_engines import CRASH_BODY, CrashingEngines
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    answer_head,
    send_response,
)

REFUSED = "503 Service Unavailable"
LIMIT = "Server-Limit: 160"
REFUSAL_FIELDS = ("Not-Executed: 1", "Retry-After: 15", "Server-Leaving: 1")
ANNOUNCED_KINDS = ("engine-limit", "engine-leaving", "engine-rests", "bad-input")


def make_head(status: str, *fields: str) -> bytes:
    """Return the head of an answer without a body."""
    lines = [f"HTTP/1.1 {status}", *fields, "Content-Length: 0", "", ""]
    return "\r\n".join(lines).encode()


def send_start(request: ReceivedRequest, start: bytes) -> None:
    """Send the start of an answer, and end the connection in order."""
    request.connection.sendall(start)
    request.connection.shutdown(SHUT_WR)


# Announcements.


def send_limit(request: ReceivedRequest) -> None:
    send_response(request, extra=(LIMIT,))


def count_announced(site: GatewaySite) -> Counter[str]:
    """Return how many events of each kind tell what engines announce."""
    kinds = (event["kind"] for event in site.gateway.events())
    return Counter(kind for kind in kinds if kind in ANNOUNCED_KINDS)


@pytest.mark.parametrize(
    "whole",
    [make_head("200 OK", LIMIT), make_head(REFUSED, LIMIT, *REFUSAL_FIELDS)],
)
def test_cut_head_changes_no_limit_rest_or_leaving_state(front, whole: bytes) -> None:
    # Guards against a value that is read without its end, and against a limit that
    # ends since its field was cut off.
    engine = front.add_engine("app", send_limit)
    front.start()
    assert front.ask("/once/x", method="POST")[0] == 200
    assert front.gateway.wait_event("engine-limit")["detail"]["rate"] == 160.0
    for cut in find_cuts(whole):
        engine.behaviour = lambda request, cut=cut: send_start(request, whole[:cut])
        assert front.ask("/once/x", method="POST")[0] == 502, whole[:cut]
        # A success between failures keeps the engine in use.
        engine.behaviour = send_limit
        assert front.ask("/once/x", method="POST")[0] == 200
    assert count_announced(front) == {"engine-limit": 1}


# Health checks.


@pytest.mark.parametrize("target", ["i-1", "i-12"])
def test_cut_health_answer_tells_nothing_of_a_target(target: str) -> None:
    # Guards against the id of another target that is cut to the id of the one that was
    # asked, and against its own id that is cut to another one.
    whole = make_head("200 OK", "Instance-Id: i-12")
    watch = RelistedWatch(Mock(), Mock(), PlatformRequestProtocol(), Mock(), Mock())
    engine = EngineStandIn(lambda request: send_start(request, whole))
    engine.start()
    listed = replace(make_target(1), target=TargetId(target), address=engine.address)
    watch.view.config.services.get.return_value.health_path = "/healthz"
    with closing(engine):
        is_own = target == "i-12"
        expected = HealthAnswer.HEALTHY if is_own else HealthAnswer.UNHEALTHY
        assert watch._ask(listed) is expected
        answers = Counter()
        for cut in range(len(whole)):
            engine.behaviour = lambda request, cut=cut: send_start(request, whole[:cut])
            answers[watch._ask(listed)] += 1
        assert answers == {HealthAnswer.UNKNOWN: len(whole)}


# Proofs.


def test_misdirection_cut_in_its_head_does_not_prove_that_nothing_ran(front) -> None:
    # Guards against a status without its head that promises a client that nothing ran.
    whole = make_head("421 Misdirected Request", "Instance-Id: i-9")
    engine = front.add_engine("app")
    front.start()
    for cut in find_cuts(whole):
        engine.behaviour = lambda request, cut=cut: send_start(request, whole[:cut])
        assert front.ask("/once/x", method="POST")[0] == 502, whole[:cut]
        engine.behaviour = send_response
        assert front.ask("/once/x", method="POST")[0] == 200
    engine.behaviour = lambda request: send_start(request, whole)
    assert front.ask("/once/x", method="POST")[0] == 503


@pytest.mark.parametrize(
    "fields",
    [("421 Misdirected Request", "no field"), (REFUSED, "Not-Executed: 1", "no field")],
)
def test_refusal_with_a_malformed_head_does_not_prove_that_nothing_ran(
    front, fields: tuple[str, ...]
) -> None:
    # Guards against a proof in front of a line that nothing can be read of.
    front.add_engine("app", lambda request: send_start(request, make_head(*fields)))
    front.start()
    assert front.ask("/once/x", method="POST")[0] == 502


# Ends of engines.


def send_nothing(_request: ReceivedRequest) -> None:
    pass


def make_start(lines: int, more: str) -> Callable[[ReceivedRequest], None]:
    """Return a behaviour that sends some lines of a head, and a part of the next."""

    def behaviour(request: ReceivedRequest) -> None:
        head = [*answer_head(request)[:lines], more]
        request.connection.sendall("\r\n".join(head).encode())

    return behaviour


STARTS = {
    "before its head": send_nothing,
    "in its status line": make_start(0, "HTTP/1.1 20"),
    "in the request's id": make_start(1, "Attempt-I"),
    "in its signature": make_start(2, "Response-Signature: sig"),
    "behind its signature": make_start(3, "Content-"),
    "before its empty line": make_start(3, "Content-Length: 6\r\n"),
}


@pytest.mark.parametrize("start", STARTS)
def test_request_whose_engines_end_in_their_heads_is_blocked(front, start: str) -> None:
    # Guards against an engine that ends without a strike against the request that it
    # ran, so that the request goes on to one engine after another.
    numbers = iter(range(1000))

    def list_engine(engine: EngineStandIn) -> str:
        return front.register_engine(engine, "app", f"i-app-{next(numbers)}")

    engines = CrashingEngines(6, list_engine, before_crash=STARTS[start], resets=False)
    with closing(engines):
        engines.start()
        front.start()
        statuses = [front.ask("/safe/x", CRASH_BODY)[0] for _ in range(5)]
        assert len(engines.crash_times) == MAX_CRASHES
    assert statuses[-3:] == [503] * 3
    assert 200 not in statuses


def test_request_whose_engines_end_behind_a_malformed_head_is_blocked(front) -> None:
    # Guards against an engine whose last bytes are no head, and that ends without a
    # strike against the request that it ran.
    numbers = iter(range(1000))

    def list_engine(engine: EngineStandIn) -> str:
        return front.register_engine(engine, "app", f"i-app-{next(numbers)}")

    def end_with_malformed_head(request: ReceivedRequest) -> None:
        engine = next(e for e in engines.incarnations if request in e.requests)
        engine.close()
        request.connection.sendall(make_head("200 OK", "no field"))

    engines = CrashingEngines(6, list_engine, before_crash=end_with_malformed_head)
    with closing(engines):
        engines.start()
        front.start()
        for _ in range(5):
            front.ask("/safe/x", CRASH_BODY)
        assert len(engines.crash_requests()) == MAX_CRASHES


@pytest.mark.parametrize("start", STARTS)
def test_engine_that_ends_its_answers_in_their_heads_is_ejected(
    front, start: str
) -> None:
    # Guards against a cut answer that counts as a success of its engine.
    def cut_head(request: ReceivedRequest) -> None:
        STARTS[start](request)
        request.connection.shutdown(SHUT_WR)

    front.add_engine("app", cut_head, target="i-cut")
    front.start()
    for _ in range(2):
        assert front.ask("/once/x", method="POST")[0] == 502
    front.gateway.wait_event("target-ejected", target="i-cut")
