"""Answers to a loader's calls that its engine cuts off."""

from collections.abc import Callable, Iterator
from contextlib import closing
from socket import SHUT_WR

import pytest

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion
from ridgecourse.loader.engine_control import EngineUnavailable, OrderOutcome
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import HttpClient
from ridgecourse.platform.engine import PlatformEngine
from ridgecourse_standins.platform.engine import EngineStandIn, ReceivedRequest

MODEL = ModelName("m0")
VERSION = WeightsVersion(2)
REPORT = (
    b'{"utilization":true,"sequence":12,"queued":10,"active":16,"kv_used":2000,'
    b'"kv_total":317000,"pace":1.5}'
)


class CutAnswer:
    """An answer of which an engine sends a part, before it closes in order.

    Attributes:
        whole: All bytes of the answer.
        cut: Number of bytes that are sent.
    """

    def __init__(self) -> None:
        self.whole = b""
        self.cut = 0

    def respond(self, request: ReceivedRequest) -> None:
        request.connection.sendall(self.whole[: self.cut])
        request.connection.shutdown(SHUT_WR)

    def send_whole(self, *lines: bytes, body: bytes = b"") -> None:
        """Send a whole answer with a status line, fields and a body from now on."""
        self.whole = b"\r\n".join([*lines, b"", b""]) + body
        self.cut = len(self.whole)

    def make_cuts(self) -> Iterator[bytes]:
        """Send each beginning of the answer from now on, and yield it."""
        for cut in range(len(self.whole)):
            self.cut = cut
            yield self.whole[:cut]


@pytest.fixture
def answer() -> CutAnswer:
    return CutAnswer()


@pytest.fixture
def engine(answer: CutAnswer) -> Iterator[PlatformEngine]:
    stand_in = EngineStandIn(answer.respond)
    stand_in.start()
    with closing(HttpClient()) as http:
        yield PlatformEngine(stand_in.address, http, "127.0.0.1")
    stand_in.close()


def find_usable(call: Callable[[], object], answer: CutAnswer) -> list[bytes]:
    """Return the beginnings of an answer that a call takes for a whole one."""
    usable = []
    for sent in answer.make_cuts():
        try:
            call()
        except EngineUnavailable:
            continue
        usable.append(sent)
    return usable


@pytest.mark.parametrize("status", [200, 202, 400, 409, 412, 421])
def test_cut_answer_to_an_order_leaves_its_outcome_unknown(
    engine, answer, status: int
) -> None:
    # Guards against an order that counts as carried out or refused, while the engine
    # may still carry it out.
    def order() -> OrderOutcome:
        return engine.start(MODEL, VERSION, Seconds(boottime() + 10.0))

    body = b'{"sequence":12}'
    answer.send_whole(b"HTTP/1.1 %d Any" % status, b"Content-Length: 15", body=body)
    assert order() is not OrderOutcome.UNKNOWN
    outcomes = {order() for _ in answer.make_cuts()}
    assert outcomes == {OrderOutcome.UNKNOWN}


@pytest.mark.parametrize("framing", [b"Content-Length: 0", b"Date: today"])
def test_cut_answer_to_a_write_does_not_count_as_written(
    engine, answer, framing: bytes
) -> None:
    # Guards against an engine that is started before a chunk is written.
    def write() -> None:
        engine.stage(MODEL, 0, b"chunk")

    answer.send_whole(b"HTTP/1.1 200 OK", framing)
    write()
    assert find_usable(write, answer) == []


def test_cut_answer_to_a_read_does_not_count_as_a_missing_chunk(engine, answer) -> None:
    # Guards against writing or fetching a chunk that is staged.
    def read() -> bytes | None:
        return engine.staged(MODEL, 0)

    answer.send_whole(b"HTTP/1.1 404 Not Found", b"Content-Length: 0")
    assert read() is None
    assert find_usable(read, answer) == []


def test_cut_chunk_is_not_read_as_a_whole_one(engine, answer) -> None:
    # Guards against a chunk without its end where a length or chunks tell the end.
    # Where nothing tells it, the digest of the chunk does.
    def read() -> bytes | None:
        return engine.staged(MODEL, 0)

    answer.send_whole(b"HTTP/1.1 200 OK", b"Content-Length: 5", body=b"chunk")
    assert read() == b"chunk"
    assert find_usable(read, answer) == []
    body = b"0005\r\nchunk\r\n0\r\n\r\n"
    answer.send_whole(b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked", body=body)
    assert read() == b"chunk"
    assert find_usable(read, answer) == []


@pytest.mark.parametrize("framing", [b"Content-Length: 99", b"Date: today"])
def test_cut_report_changes_no_load(engine, answer, framing: bytes) -> None:
    # Guards against a load that is read from the beginning of a report.
    line = framing.replace(b"99", b"%d" % len(REPORT))
    answer.send_whole(b"HTTP/1.1 200 OK", b"Server-Leaving: 1", line, body=REPORT)
    report = engine.report()
    assert (report.orders, report.active, report.leaving) == (12, 16, True)
    assert find_usable(engine.report, answer) == []


def test_cut_health_answer_tells_no_cold_time(engine, answer) -> None:
    # Guards against a cold engine that is taken for a warm one, since its cold time was
    # cut to a smaller number or off.
    def ask() -> float | None:
        return engine.cold_remaining("/healthz")

    answer.send_whole(
        b"HTTP/1.1 200 OK", b"Cold-Remaining-Ms: 12000", b"Content-Length: 0"
    )
    assert ask() == 12.0
    assert find_usable(ask, answer) == []
