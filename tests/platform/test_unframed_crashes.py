"""Requests that crash engines while these send streams without a length or chunks.

Such a stream ends with its connection, whether it is whole or its engine has crashed.
"""

from collections.abc import Callable, Iterator

import pytest
from test_crashing_requests import (
    CRASHES_PER_SECOND,
    HARMLESS_PER_SECOND,
    MAX_CRASHES,
    MAX_LATE_CRASHES,
    MIN_SERVED_SHARE,
    Clients,
    count_late_crashes,
    run_concurrently,
)

from ridgecourse.core.crash_reports import Flight
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import (
    EngineStart,
    RequestId,
    RequestSignature,
    Seconds,
    TargetId,
)
from ridgecourse.core.unconfirmed_answers import (
    UNCONFIRMED_SECONDS,
    UnconfirmedAnswers,
)
from ridgecourse_standins.platform.crashing_engines import CRASH_BODY, CrashingEngines
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    format_event,
)
from ridgecourse_standins.platform.stream_answers import (
    Framing,
    send_head,
    send_stream_body,
)

STREAM = ("Model: m0", "Token-Usage: 100,50")
ENGINES = 8
WHOLE_STREAM = b"".join(format_event(number) for number in range(1, 4))


def make_stream_start(cut: int) -> Callable[[ReceivedRequest], None]:
    """Return a behaviour that sends 2 events, the last one without ``cut`` bytes."""
    start = format_event(1) + format_event(2)
    sent = start[: len(start) - cut]

    def behaviour(request: ReceivedRequest) -> None:
        send_head(request, Framing.CLOSE)
        request.connection.sendall(sent)

    return behaviour


CRASHES = {
    "in its first event": lambda request: send_head(request, Framing.CLOSE),
    "inside an event": make_stream_start(cut=3),
    "between two events": make_stream_start(cut=0),
}


@pytest.fixture(params=CRASHES)
def engines(front, request: pytest.FixtureRequest) -> Iterator[CrashingEngines]:
    numbers = iter(range(1000))

    def list_engine(engine: EngineStandIn) -> str:
        return front.register_engine(engine, "llm", f"i-llm-{next(numbers)}")

    crashing_engines = CrashingEngines(
        ENGINES,
        list_engine,
        lambda request: send_stream_body(request, WHOLE_STREAM, Framing.CLOSE),
        before_crash=CRASHES[request.param],
        resets=False,
    )
    yield crashing_engines
    crashing_engines.close()


def test_request_whose_unframed_streams_crash_engines_is_blocked(
    front, engines
) -> None:
    # Guards against a close by a crashed engine that counts as a successful answer.
    engines.start()
    front.start()

    def ask(body: bytes) -> int:
        answer = front.ask("/stream/x", body, method="POST", extra=STREAM)
        status, _, _, is_complete = answer
        return status if is_complete else 0

    crashing = Clients(lambda _: ask(CRASH_BODY), CRASHES_PER_SECOND)
    harmless = Clients(lambda turn: ask(b"x %d" % turn), HARMLESS_PER_SECOND)
    run_concurrently(crashing, harmless)
    assert count_late_crashes(engines) <= MAX_LATE_CRASHES
    # 2 requests may be in flight when the third engine crashes.
    assert len(engines.crash_times) <= MAX_CRASHES + 2
    assert harmless.served_share >= MIN_SERVED_SHARE


# Which answers a contact with an engine decides.

INCARNATION = EngineIncarnation(TargetId("i-0"), EngineStart(1))
NEXT_INCARNATION = EngineIncarnation(TargetId("i-0"), EngineStart(2))


def make_flight(number: int, incarnation: EngineIncarnation = INCARNATION) -> Flight:
    signature = RequestSignature(b"%d" % number)
    return Flight(RequestId(f"attempt-{number}"), signature, incarnation, "127.0.0.1:1")


def test_contact_decides_only_earlier_answers_of_its_engine() -> None:
    # Guards against strikes and successes for answers that a contact says nothing of.
    answers = UnconfirmedAnswers()
    before, after = make_flight(1), make_flight(3)
    answers.add(before, Seconds(10.0))
    answers.add(make_flight(2, NEXT_INCARNATION), Seconds(10.0))
    answers.add(after, Seconds(11.0))
    decided = answers.take(INCARNATION, Seconds(10.5))
    assert [answer.flight for answer in decided] == [before]
    assert answers.has_any(NEXT_INCARNATION)
    assert [a.flight for a in answers.take(INCARNATION, Seconds(11.0))] == [after]
    assert not answers.has_any(INCARNATION)


def test_engine_that_ends_long_after_an_answer_has_not_cut_it() -> None:
    # Guards against a strike for an answer that ended long before its engine did.
    answers = UnconfirmedAnswers()
    answers.add(make_flight(1), Seconds(10.0))
    [answer] = answers.take(INCARNATION, Seconds(20.0))
    assert answer.may_be_cut(Seconds(10.0 + UNCONFIRMED_SECONDS / 2))
    assert not answer.may_be_cut(Seconds(20.0))
