"""Tests of requests over persistent connections."""

import socket
from collections.abc import Iterator
from contextlib import closing, suppress
from select import select
from threading import Thread

import pytest

from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.kept_connections import PersistentConnections
from ridgecourse_standins.ports import free_address

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Sends the responses of one script on each connection, then closes the connection.

    Attributes:
        scripts: For each connection, the responses to its requests.
        connection_count: Number of connections accepted so far.
        connection: The connection accepted last.
    """

    connection: socket.socket

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.scripts: list[list[bytes]] = []
        self.connection_count = 0
        self.thread = Thread(target=self.run, daemon=True)

    @property
    def address(self) -> str:
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def run(self) -> None:
        while self.scripts:
            connection, _ = self.listener.accept()
            self.connection_count += 1
            self.connection = connection
            with connection, suppress(ConnectionResetError):
                for answer in self.scripts.pop(0):
                    if not connection.recv(4096):
                        break
                    connection.sendall(answer)


@pytest.fixture
def server() -> Iterator[ScriptedServer]:
    scripted_server = ScriptedServer()
    yield scripted_server
    scripted_server.listener.close()


def start_server(
    server: ScriptedServer, *scripts: list[bytes]
) -> PersistentConnections:
    server.scripts = list(scripts)
    server.thread.start()
    return PersistentConnections(server.address, "127.0.0.1")


def ask(client: PersistentConnections) -> tuple[int, bytes]:
    answer = client.get("/", 2.0)
    return answer.status, answer.body


def test_requests_share_a_connection(server) -> None:
    client = start_server(server, [RESPONSE] * 3)
    assert [ask(client) for _ in range(3)] == [(200, b"ok")] * 3
    assert server.connection_count == 1


def test_closed_connection_is_replaced(server) -> None:
    client = start_server(server, [RESPONSE], [RESPONSE])
    assert ask(client) == (200, b"ok")
    server.thread.join(0.2)
    assert ask(client) == (200, b"ok")
    assert server.connection_count == 2


def test_connection_is_not_kept_after_connection_close(server) -> None:
    closing_response = RESPONSE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    client = start_server(server, [closing_response], [RESPONSE])
    assert [ask(client) for _ in range(2)] == [(200, b"ok")] * 2
    assert server.connection_count == 2


@pytest.mark.parametrize(
    "answer",
    [b"", b"no answer\r\n\r\n", RESPONSE[:-1]],
    ids=["none", "no HTTP", "a short body"],
)
def test_invalid_response_fails_without_retry(server, answer) -> None:
    client = start_server(server, [answer])
    with pytest.raises(ExchangeFailed):
        client.get("/", 2.0)
    assert not client.idle_connections


@pytest.mark.parametrize(
    "part", [b"H", RESPONSE[:-6], b"HTTP/1.1 100 Continue\r\n\r\n"]
)
def test_request_is_not_repeated_after_a_part_of_a_head(server, part: bytes) -> None:
    # Guards against a second run of a request whose answer had begun.
    client = start_server(server, [RESPONSE, part], [RESPONSE])
    assert ask(client) == (200, b"ok")
    with pytest.raises(ExchangeFailed):
        client.get("/", 2.0)
    assert server.connection_count == 1


def test_missing_response_fails_after_timeout(server) -> None:
    client = start_server(server, [RESPONSE, b""])
    assert ask(client) == (200, b"ok")
    with pytest.raises(ExchangeFailed):
        client.get("/", 0.2)


def test_refused_connection_is_reported_as_no_connection() -> None:
    with pytest.raises(NoConnection):
        PersistentConnections(free_address()).get("/", 2.0)


LATE_ANSWERS = [RESPONSE.replace(b"ok", b"no"), b"HTTP/1.1 200 O"]


def wait_readable(sock: socket.socket) -> None:
    assert select([sock], [], [], 5.0)[0]


@pytest.mark.parametrize("late_answer", LATE_ANSWERS)
def test_late_second_answer_is_not_taken_for_the_next_one(server, late_answer) -> None:
    # Guards against answers that are shifted by one request from then on.
    client = start_server(server, [RESPONSE] * 3, [RESPONSE] * 2)
    assert ask(client) == (200, b"ok")
    server.connection.sendall(late_answer)
    wait_readable(client.idle_connections[0].sock)
    assert [ask(client) for _ in range(2)] == [(200, b"ok")] * 2
    assert server.connection_count == 2


@pytest.mark.parametrize("late_answer", LATE_ANSWERS)
def test_pooled_client_does_not_take_a_late_second_answer(server, late_answer) -> None:
    # Guards against the same in the client of the other requests between processes.
    start_server(server, [RESPONSE] * 3, [RESPONSE] * 2)
    with closing(HttpClient()) as client:
        answers = [client.fetch("GET", server.address, "/")[:2]]
        server.connection.sendall(late_answer)
        pool = client.pool.connection_from_url(f"http://{server.address}")
        wait_readable(pool.pool.queue[-1].sock)
        answers += [client.fetch("GET", server.address, "/")[:2] for _ in range(2)]
    assert answers == [(200, b"ok")] * 3
    assert server.connection_count == 2
