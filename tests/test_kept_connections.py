"""Small questions over connections that stay open."""

import socket
from collections.abc import Iterator
from threading import Thread

import pytest

from ridgecourse.net.http_client import ExchangeFailed, NoConnection
from ridgecourse.net.kept_connections import PersistentConnections
from ridgecourse_standins.ports import free_address

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Answerer:
    """Answers each connection with the next list of bytes, and then closes it."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.plans: list[list[bytes]] = []
        self.connections = 0
        self.thread = Thread(target=self.run, daemon=True)

    @property
    def address(self) -> str:
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def run(self) -> None:
        while self.plans:
            connection, _ = self.listener.accept()
            self.connections += 1
            with connection:
                for answer in self.plans.pop(0):
                    if not connection.recv(4096):
                        break
                    connection.sendall(answer)


@pytest.fixture
def answerer() -> Iterator[Answerer]:
    made = Answerer()
    yield made
    made.listener.close()


def start(answerer: Answerer, *plans: list[bytes]) -> PersistentConnections:
    answerer.plans = list(plans)
    answerer.thread.start()
    return PersistentConnections(answerer.address, "127.0.0.1")


def test_questions_share_a_connection(answerer) -> None:
    kept = start(answerer, [ANSWER] * 3)
    assert [kept.get("/", 2.0) for _ in range(3)] == [(200, b"ok")] * 3
    assert answerer.connections == 1


def test_a_connection_that_was_closed_is_opened_anew(answerer) -> None:
    kept = start(answerer, [ANSWER], [ANSWER])
    assert kept.get("/", 2.0) == (200, b"ok")
    answerer.thread.join(0.2)
    assert kept.get("/", 2.0) == (200, b"ok")
    assert answerer.connections == 2


def test_an_answer_that_ends_its_connection_leaves_none(answerer) -> None:
    last = ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    kept = start(answerer, [last], [ANSWER])
    assert [kept.get("/", 2.0) for _ in range(2)] == [(200, b"ok")] * 2
    assert answerer.connections == 2


@pytest.mark.parametrize(
    "answer",
    [b"", b"no answer\r\n\r\n", ANSWER[:-1]],
    ids=["none", "no HTTP", "a short body"],
)
def test_what_is_no_answer_fails_once(answerer, answer) -> None:
    kept = start(answerer, [answer])
    with pytest.raises(ExchangeFailed):
        kept.get("/", 2.0)
    assert not kept.idle_connections


def test_silence_ends_when_the_time_is_up(answerer) -> None:
    kept = start(answerer, [ANSWER, b""])
    assert kept.get("/", 2.0) == (200, b"ok")
    with pytest.raises(ExchangeFailed):
        kept.get("/", 0.2)


def test_a_process_that_is_not_there_is_told_apart() -> None:
    with pytest.raises(NoConnection):
        PersistentConnections(free_address()).get("/", 2.0)
