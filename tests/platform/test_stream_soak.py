"""Streams from engines that break off at any place, while processes end and restart.

The run is seeded; ``STREAM_SOAK_SEEDS=1-50`` runs others than the default seed. Each
client checks its answers: a complete one has every event once and in order, any other
one has a whole number of first events, and no failure carries an engine's signature.
"""

import socket
from collections import Counter
from os import environ
from random import Random
from re import compile as compile_pattern
from signal import SIGTERM
from threading import Event, Lock, Thread
from time import monotonic, sleep

import pytest
from gateway_site import GatewaySite
from msgspec.json import encode

from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    format_event,
)
from ridgecourse_standins.platform.stream_answers import (
    Ending,
    Framing,
    send_head,
    send_stream_body,
)

STREAM_HEADERS = ("Model: m0", "Token-Usage: 100,50")
ENGINES = 4
CLIENTS = 6
REQUESTS_PER_CLIENT = 40
GRACE_SECONDS = 1
FAULT_INTERVAL_SECONDS = 0.7
CONNECT_SECONDS = 30.0
MAX_EVENTS = 12
CUT_SHARE = 0.4
LENGTH = compile_pattern(rb"(?i)content-length: *(\d+)")
HEAD_ONLY_SHARE = 0.05


def read_seeds() -> list[int]:
    """Return the seeds to run, from a range such as "1-50" in the environment."""
    first, _, last = environ.get("STREAM_SOAK_SEEDS", "7").partition("-")
    return list(range(int(first), int(last or first) + 1))


def make_events(first: int, last: int) -> bytes:
    return b"".join(format_event(number) for number in range(first, last + 1))


def split_head(received: bytes) -> tuple[int, bool, bool, bytes]:
    """Return the status, whether there are a signature and chunks, and the body."""
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    status = int(lines[0].split()[1]) if len(lines[0].split()) > 1 else 0
    is_signed = any(line.startswith(b"response-signature:") for line in lines)
    return status, is_signed, b"transfer-encoding: chunked" in lines, body


def has_ended(received: bytes) -> bool:
    """Check whether an answer ended by its last chunk or its length."""
    head, _, body = received.partition(b"\r\n\r\n")
    length = LENGTH.search(head)
    if length is not None:
        return len(body) >= int(length.group(1))
    return received.endswith(b"\r\n0\r\n\r\n")


def join_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return the data of a chunked body, and whether the last chunk arrived."""
    data = b""
    while body:
        size_line, _, body = body.partition(b"\r\n")
        if not size_line:
            break
        size = int(size_line, 16)
        if size == 0:
            return data, True
        data, body = data + body[:size], body[size + 2 :]
    return data, False


class StreamSoak:
    """Engines with random answers, clients that check them, and a source of faults.

    Attributes:
        site: The gateway with its stand-ins.
        random: Source of all choices of the engines and of the faults.
        lock: Guards ``random``, ``results`` and ``problems``.
        is_over: Set once all clients have ended.
        results: Number of answers by result.
        problems: Descriptions of wrong answers.
        runs: Number of engines that got each attempt.
    """

    def __init__(self, site: GatewaySite, seed: int) -> None:
        self.site = site
        self.random = Random(seed)
        self.lock = Lock()
        self.is_over = Event()
        self.results: Counter[str] = Counter()
        self.problems: list[str] = []
        self.runs: Counter[str] = Counter()

    # Engines.

    def add_engine(self) -> None:
        zone = "ab"[len(self.site.engines) % 2]
        self.site.add_engine("llm", self.answer, zone=zone)

    def answer(self, request: ReceivedRequest) -> None:
        """Send a stream that is whole or ends at a place that can be recognized."""
        count = int(request.body)
        first = int(request.header("Last-Event-Id") or 0) + 1
        body = make_events(first, count)
        with self.lock:
            self.runs[request.header("Attempt-Id") or ""] += 1
            framing = self.random.choice(list(Framing))
            step = self.random.choice([None, 5, 40])
            is_cut = bool(body) and self.random.random() < CUT_SHARE
            is_head_only = self.random.random() < HEAD_ONLY_SHARE
            cut = self.random.randrange(1, max(2, len(body)))
            ending = self.random.choice(list(Ending))
        if is_head_only and framing is Framing.CLOSE:
            send_head(request, framing)
            request.connection.shutdown(socket.SHUT_WR)
        elif not is_cut:
            # An empty body ends by a close only if nothing else tells its end.
            framing = framing if body else Framing.CHUNKS
            send_stream_body(request, body, framing, step=step)
        else:
            ends_between = body[:cut].endswith(b"\n\n")
            if ends_between and ending is not Ending.RESET:
                # Only a reset tells an end between two events from a regular one.
                ending = Ending.RESET
            send_stream_body(request, body[:cut], framing, ending, step)

    # Clients.

    def run_client(self, number: int) -> None:
        choices = Random(number)
        for _ in range(REQUESTS_PER_CLIENT):
            count = choices.randint(1, MAX_EVENTS)
            path = choices.choice(["/stream/x", "/once-stream/x"])
            version = choices.choice(["1.1", "1.0"])
            with self.lock:
                head = self.site.head(
                    path,
                    method="POST",
                    deadline_ms=3000,
                    extra=(*STREAM_HEADERS, f"Content-Length: {len(str(count))}"),
                )
                attempt = f"attempt-{self.site.attempt_count}"
            request = head.replace("HTTP/1.1", f"HTTP/{version}", 1) + str(count)
            received, is_closed = self.exchange(request.encode())
            self.check(attempt, path, count, received, is_closed)

    def exchange(self, request: bytes) -> tuple[bytes, bool]:
        """Return what a client received, and whether an ordinary close ended it."""
        received = b""
        try:
            with self.connect() as connection:
                connection.sendall(request)
                while data := connection.recv(65536):
                    received += data
                    if has_ended(received):
                        break
        except OSError:
            return received, False
        return received, True

    def connect(self) -> socket.socket:
        """Connect to the gateway, which may be about to restart."""
        deadline = monotonic() + CONNECT_SECONDS
        while True:
            try:
                return socket.create_connection(self.site.frontend, 5.0)
            except ConnectionRefusedError:
                assert monotonic() < deadline, "the gateway does not listen"
                sleep(0.05)

    def check(
        self, attempt: str, path: str, count: int, received: bytes, is_closed: bool
    ) -> None:
        status, is_signed, is_chunked, body = split_head(received)
        if is_chunked:
            body, is_complete = join_chunks(body)
        else:
            is_complete = is_closed
        whole = make_events(1, count)
        prefixes = [make_events(1, last) for last in range(count + 1)]
        problem = ""
        if status != 200:
            problem = "a failure is signed" if is_signed else ""
        elif is_complete and body != whole:
            problem = "a part is complete"
        elif body not in prefixes:
            problem = "the events are not the first ones"
        if path == "/once-stream/x" and self.runs[attempt] > 1:
            problem = "a stream that may not be resumed ran twice"
        with self.lock:
            self.results[f"{status} {'complete' if is_complete else 'broken'}"] += 1
            if problem:
                self.problems.append(f"{attempt} {path} {count}: {problem}: {body!r}")

    # Faults.

    def run_faults(self) -> None:
        """Replace engines and restart the gateway, in random order."""
        while not self.is_over.wait(FAULT_INTERVAL_SECONDS):
            with self.lock:
                fault = self.random.choice(["engine", "engine", "stop", "kill"])
                victim = self.random.choice(self.site.engines[-ENGINES:])
            if fault == "engine":
                self.replace_engine(victim)
            else:
                self.restart_gateway(is_kill=fault == "kill")

    def replace_engine(self, engine: EngineStandIn) -> None:
        # A reset, since a close between two events could not be told from a whole end.
        engine.kill(resets=True)
        self.add_engine()

    def restart_gateway(self, is_kill: bool) -> None:
        gateway = self.site.gateway
        if is_kill:
            gateway.kill()
        else:
            gateway.started_process.send_signal(SIGTERM)
            gateway.started_process.wait(20.0)
        gateway.start()
        self.site.wait_until(lambda: self.site.ready() == 200)


@pytest.mark.parametrize("seed", read_seeds())
def test_streams_stay_whole_while_engines_and_gateways_end(front, seed: int) -> None:
    # Guards against parts of streams that pass for whole ones under overlapping faults.
    front.settings["bounds"]["grace_s"] = GRACE_SECONDS
    front.path.write_bytes(encode(front.settings))
    soak = StreamSoak(front, seed)
    for _ in range(ENGINES):
        soak.add_engine()
    front.start()
    clients = [Thread(target=soak.run_client, args=(n,)) for n in range(CLIENTS)]
    faults = Thread(target=soak.run_faults)
    for thread in (*clients, faults):
        thread.start()
    for client in clients:
        client.join()
    soak.is_over.set()
    faults.join()
    print(f"seed {seed}: {dict(soak.results)}")
    assert soak.problems == []
    # Both results occur, so that the run has checked whole streams and broken ones.
    assert soak.results["200 complete"] > 0
    assert soak.results["200 broken"] > 0
