"""One request and its answer by each HTTP client of the system."""

from collections.abc import Callable
from contextlib import closing

from answering_server import EARLIER_BODY, EARLIER_PATH, AnsweringServer
from urllib3.exceptions import HTTPError

from ridgecourse.core.ids import Seconds
from ridgecourse.net.clock import boottime
from ridgecourse.net.exchange import Exchange, ExchangeBroken, ExchangeTimeout
from ridgecourse.net.http_client import (
    ExchangeFailed,
    HttpClient,
    NoConnection,
    read_lines,
    read_pieces,
)
from ridgecourse.net.kept_connections import PersistentConnections

TIMEOUT_SECONDS = 5.0
MAX_BODY_BYTES = 64 * 1024
FAILURES = (ExchangeBroken, ExchangeFailed, NoConnection)

Answer = tuple[int, bytes]
Client = Callable[[str], Answer]


def ask_by_exchange(address: str) -> Answer:
    exchange = Exchange(address, Seconds(boottime() + TIMEOUT_SECONDS))
    with closing(exchange):
        exchange.connect(TIMEOUT_SECONDS)
        exchange.send("GET", "/", [], None)
        response = exchange.receive_head()
        return response.status, exchange.read_whole(MAX_BODY_BYTES)


def stream_by_exchange(address: str) -> Answer:
    exchange = Exchange(address, Seconds(boottime() + TIMEOUT_SECONDS))
    with closing(exchange):
        exchange.connect(TIMEOUT_SECONDS)
        exchange.send("POST", "/", [("Content-Length", "0")], b"")
        response = exchange.receive_head(Seconds(boottime() + TIMEOUT_SECONDS / 2))
        pieces = exchange.read_pieces(MAX_BODY_BYTES, TIMEOUT_SECONDS / 2)
        return response.status, b"".join(pieces)


def ask_by_client(address: str) -> Answer:
    with closing(HttpClient()) as client:
        return client.fetch("GET", address, "/", timeout=TIMEOUT_SECONDS)[:2]


def ask_on_fresh_connection(address: str) -> Answer:
    with closing(HttpClient()) as client:
        response = client.send("GET", address, "/", fresh=True)
        with closing(response):
            return response.status, b"".join(iter(lambda: read(response), b""))


def read(response) -> bytes:
    try:
        return response.read(MAX_BODY_BYTES)
    except Exception as error:
        raise ExchangeFailed(str(error)) from error


def read_pieces_by_client(address: str) -> Answer:
    with closing(HttpClient()) as client:
        response = client.send("GET", address, "/", fresh=True)
        with closing(response):
            return response.status, b"".join(read_pieces(response, MAX_BODY_BYTES))


def read_lines_by_client(address: str) -> Answer:
    """Return the lines of the body; a line end at the end of the body is missing."""
    with closing(HttpClient()) as client:
        response = client.send("GET", address, "/", fresh=True)
        with closing(response):
            return response.status, b"\n".join(read_lines(response, MAX_BODY_BYTES))


def stream_by_client(address: str) -> Answer:
    """Return an answer that is read by a way that no module uses so far."""
    with closing(HttpClient()) as client:
        response = client.send("GET", address, "/", fresh=True)
        try:
            return response.status, b"".join(response.stream(3))
        except HTTPError as error:
            raise ExchangeFailed(str(error)) from error


def ask_by_client_again(address: str) -> Answer:
    with closing(HttpClient()) as client:
        earlier = client.fetch("GET", address, EARLIER_PATH, timeout=TIMEOUT_SECONDS)
        assert earlier[:2] == (200, EARLIER_BODY)
        return client.fetch("GET", address, "/", timeout=TIMEOUT_SECONDS)[:2]


def ask_on_kept_connection(address: str) -> Answer:
    answer = PersistentConnections(address).get("/", TIMEOUT_SECONDS)
    return answer.status, answer.body


def ask_on_kept_connection_again(address: str) -> Answer:
    connections = PersistentConnections(address)
    earlier = connections.get(EARLIER_PATH, TIMEOUT_SECONDS)
    assert (earlier.status, earlier.body) == (200, EARLIER_BODY)
    assert len(connections.idle_connections) == 1
    answer = connections.get("/", TIMEOUT_SECONDS)
    return answer.status, answer.body


def post_on_kept_connection(address: str) -> Answer:
    until = Seconds(boottime() + TIMEOUT_SECONDS)
    connections = PersistentConnections(address)
    answer = connections.post("/", b"", {}, TIMEOUT_SECONDS, until)
    return answer.status, answer.body


CLIENTS: list[Client] = [
    ask_by_exchange,
    stream_by_exchange,
    ask_by_client,
    ask_by_client_again,
    ask_on_fresh_connection,
    read_pieces_by_client,
    read_lines_by_client,
    ask_on_kept_connection,
    ask_on_kept_connection_again,
    post_on_kept_connection,
]


def ask(client: Client, server: AnsweringServer, answer: bytes) -> Answer | None:
    """Return the answer that a client received, None if the client failed.

    A client that waited up to a time-out has not found the answer to be wrong.
    """
    server.answer = answer
    try:
        return client(server.address)
    except FAILURES as error:
        assert not isinstance(error, ExchangeTimeout)
        assert "timed out" not in str(error)
        return None
