"""A gateway lives, stays within its instance and serves others beside any crowd.

Clients that the operators do not control may send heads and bodies without end, in
pieces of any size, and stop in the middle; they may leave their answers unread. What
one request may hold is limited, but the sum over a crowd must be limited as well.

Each test has a small crowd, since the settings name a small instance. The bounds are
those that the settings state: ``memory_mb`` for the peak of the resident memory and
``max_fds`` for descriptors. Nothing here depends on the speed of the machine. One such
test runs at a time: ``pytest -m crowd``.
"""

from collections.abc import Iterator
from contextlib import suppress
from functools import partial
from itertools import count
from pathlib import Path
from time import sleep
from typing import Any

import pytest
from client_crowd import (
    Crowd,
    CrowdPlan,
    DescriptorProbe,
    chunked_body,
    cut_pieces,
    endless,
    endless_head,
    is_answered,
    peak_megabytes,
    stalled_body,
)
from gateway_site import GatewaySite, make_config, make_route
from msgspec.json import encode

from ridgecourse_standins.platform.engine import (
    ReceivedRequest,
    send_chunk,
    send_response,
    send_stream_head,
)

pytestmark = pytest.mark.crowd

MEMORY_MB = 96
MAX_FDS = 900
BODY_BYTES = 1_000_000
MISSING_BYTES = 4_000
WIRE_BYTES = 384 * 1024
SMALLEST_MEMORY_MB = 112
SMALLEST_MAX_FDS = 2870
LARGEST_BODY_BYTES = 4 * 1024 * 1024
MANY = 200
UPLOAD_HEAD = (
    "POST /upload/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: crowd\r\n"
    "Key: key-of-shop\r\nDeadline-Ms: 50000\r\n"
)
LENGTH_HEAD = f"{UPLOAD_HEAD}Content-Length: {BODY_BYTES}\r\n\r\n"
CHUNKED_HEAD = f"{UPLOAD_HEAD}Transfer-Encoding: chunked\r\n\r\n"
UNKNOWN_HEAD = CHUNKED_HEAD.replace("/upload/x", "/nowhere/x")
DRAW_HEAD = UPLOAD_HEAD.replace("POST", "GET").replace("/upload/", "/draw/") + "\r\n"
BEGUN_HEAD = b"GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nNote: "
ORDINARY_FIELD = b"Note-Of-The-Client: " + b"y" * 60 + b"\r\n"
TINY_FIELD = b"a:b\r\n"


def hold(request: ReceivedRequest) -> None:
    """Keep a request without an answer for longer than any test."""
    sleep(300)


def dripping_body() -> Iterator[bytes]:
    """Yield most of a body at once, then its bytes one by one."""
    yield LENGTH_HEAD.encode()
    yield from cut_pieces(BODY_BYTES - 65536)
    for _ in range(65535):
        yield b"x"


STALLED = CrowdPlan(MANY, partial(stalled_body, LENGTH_HEAD, BODY_BYTES, MISSING_BYTES))
WHOLE = CrowdPlan(MANY, partial(stalled_body, LENGTH_HEAD, BODY_BYTES, 0))
BODY_PLANS = {
    "length": STALLED,
    "large-chunks": CrowdPlan(
        MANY, partial(chunked_body, CHUNKED_HEAD, BODY_BYTES // 32768, 32768)
    ),
    "small-chunks": CrowdPlan(
        MANY, partial(chunked_body, CHUNKED_HEAD, WIRE_BYTES // 7, 2)
    ),
    "drip": CrowdPlan(MANY, dripping_body, pause=0.5, burst=17),
}
HEAD_PLANS = {
    "ordinary-fields": CrowdPlan(
        400, partial(endless_head, ORDINARY_FIELD, 200 * 1024)
    ),
    "tiny-fields": CrowdPlan(MANY, partial(endless_head, TINY_FIELD, 240 * 1024)),
}
ENDLESS_PLANS = {
    "chunks-of-one-byte": CrowdPlan(
        MANY, partial(chunked_body, CHUNKED_HEAD, BODY_BYTES, 1)
    ),
    "empty-lines": CrowdPlan(60, partial(endless, b"", b"\r\n" * 4096)),
    "request-line": CrowdPlan(60, partial(endless, b"GET /", b"x" * 16384)),
    "field": CrowdPlan(60, partial(endless, BEGUN_HEAD, b"x" * 16384)),
    "size-of-a-chunk": CrowdPlan(
        60, partial(endless, f"{CHUNKED_HEAD}1;".encode(), b"x" * 16384)
    ),
    "trailer": CrowdPlan(
        60, partial(endless, f"{CHUNKED_HEAD}0\r\n".encode(), TINY_FIELD * 3000)
    ),
    "refused-body": CrowdPlan(
        60,
        partial(endless, UNKNOWN_HEAD.encode(), b"8000\r\n" + b"x" * 32768 + b"\r\n"),
    ),
    "malformed-line": CrowdPlan(60, partial(endless, b"\0", b"x" * 16384)),
}


EXPECT_HEAD = LENGTH_HEAD.replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n")
OLD_HEAD = LENGTH_HEAD.replace("HTTP/1.1", "HTTP/1.0")
STREAM_HEAD = DRAW_HEAD.replace("/draw/", "/stream/").replace(
    "\r\n\r\n", "\r\nModel: m0\r\n\r\n"
)
SAFE_HEAD = DRAW_HEAD.replace("/draw/", "/safe/")
FURTHER_PLANS = {
    "announced-bodies": CrowdPlan(MANY, partial(iter, [EXPECT_HEAD.encode()])),
    "http-1.0": CrowdPlan(
        MANY, partial(stalled_body, OLD_HEAD, BODY_BYTES, MISSING_BYTES)
    ),
    "unread-streams": CrowdPlan(
        MANY, partial(iter, [STREAM_HEAD.encode()]), reads=False
    ),
    "pipelined": CrowdPlan(
        100, partial(endless, b"", SAFE_HEAD.encode() * 50), reads=False
    ),
}


def send_endless_stream(request: ReceivedRequest) -> None:
    """Send events until the gateway ends the connection."""
    with suppress(OSError):
        send_stream_head(request)
        for number in count(1):
            event = f"id: {number}\ndata: {'e' * 16_000}\n\n"
            send_chunk(request, event.encode())


class CrowdSite:
    """A gateway on a small instance, and what is checked beside a crowd.

    Attributes:
        site: The gateway with its stand-ins.
        engine: The engine that the crowd's requests go to.
        crowds: Crowds that were started.
    """

    def __init__(self, directory: Path) -> None:
        self.site = GatewaySite(directory)
        self.engine = self.site.add_engine("other")
        self.site.add_engine("app")
        self.crowds: list[Crowd] = []
        self.probe: DescriptorProbe | None = None

    def start(
        self,
        memory_mb: int = MEMORY_MB,
        max_fds: int = MAX_FDS,
        **limits: Any,
    ) -> None:
        """Start the gateway.

        Args:
            memory_mb: Memory of the instance in megabytes.
            max_fds: Descriptors of the process.
            limits: Limits on clients that differ from the usual ones.
        """
        settings = self.site.settings
        settings["limits"] |= {"memory_mb": memory_mb, "max_fds": max_fds}
        self.site.path.write_bytes(encode(settings))
        config = make_config()
        config["routes"] += [
            make_route("/upload/", "unsafe", "other", timeout_ms=60_000),
            make_route("/draw/", "unsafe", "other", timeout_ms=60_000),
        ]
        usual_limits = {
            "max_header_bytes": 16 * 1024,
            "max_body_bytes": BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        }
        config["limits"] = usual_limits | limits
        self.site.start(config)
        assert is_answered(self.site)
        self.probe = DescriptorProbe(self.pid)
        self.probe.start()

    @property
    def pid(self) -> int:
        """Process id of the gateway."""
        return self.site.gateway.started_process.pid

    def press(self, plan: CrowdPlan, address: tuple[str, int] | None = None) -> Crowd:
        """Start a crowd and wait until it has sent what the gateway takes."""
        crowd = Crowd(address or self.site.frontend, plan)
        self.crowds.append(crowd)
        crowd.start()
        crowd.wait_settled()
        return crowd

    def check(self, memory_mb: int = MEMORY_MB, max_fds: int = MAX_FDS) -> None:
        """Check that the gateway lives within its instance and answers."""
        assert self.site.gateway.started_process.poll() is None
        assert peak_megabytes(self.pid) <= memory_mb
        assert self.probe is not None and self.probe.peak <= max_fds
        assert is_answered(self.site)

    def close(self) -> None:
        """End the crowds, the gateway and its stand-ins."""
        for crowd in self.crowds:
            crowd.close()
        if self.probe is not None:
            self.probe.close()
        self.site.close()


@pytest.fixture
def crowd_site(tmp_path: Path) -> Iterator[CrowdSite]:
    """Return a site whose gateway the test starts."""
    site = CrowdSite(tmp_path)
    yield site
    site.close()


@pytest.mark.parametrize("name", BODY_PLANS)
def test_unfinished_bodies_of_a_crowd_stay_within_the_memory(
    crowd_site: CrowdSite, name: str
) -> None:
    crowd_site.start()
    crowd = crowd_site.press(BODY_PLANS[name])
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()


def test_a_large_body_is_served_beside_bodies_that_never_end(
    crowd_site: CrowdSite,
) -> None:
    crowd_site.start()
    crowd_site.press(BODY_PLANS["drip"])
    assert is_answered(crowd_site.site, b"z" * (BODY_BYTES // 2))
    crowd_site.check()


def test_whole_bodies_of_a_crowd_stay_within_the_memory(crowd_site: CrowdSite) -> None:
    crowd_site.engine.behaviour = hold
    crowd_site.start()
    crowd = crowd_site.press(WHOLE)
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()


@pytest.mark.parametrize("name", HEAD_PLANS)
def test_heads_of_a_crowd_stay_within_the_memory(
    crowd_site: CrowdSite, name: str
) -> None:
    crowd_site.start()
    crowd = crowd_site.press(HEAD_PLANS[name])
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()


def test_heads_at_the_readiness_server_stay_within_the_memory(
    crowd_site: CrowdSite,
) -> None:
    crowd_site.start()
    host, _, port = crowd_site.site.settings["listen"]["readiness"].rpartition(":")
    crowd = crowd_site.press(HEAD_PLANS["tiny-fields"], (host, int(port)))
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()
    assert crowd_site.site.ready() == 200


@pytest.mark.parametrize("name", ENDLESS_PLANS)
def test_what_clients_send_without_end_holds_nobody_up(
    crowd_site: CrowdSite, name: str
) -> None:
    crowd_site.start()
    crowd = crowd_site.press(ENDLESS_PLANS[name])
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()


def test_unread_answers_of_a_crowd_stay_within_the_memory(
    crowd_site: CrowdSite,
) -> None:
    crowd_site.engine.behaviour = partial(send_response, body=b"a" * BODY_BYTES)
    crowd_site.start()
    script = partial(iter, [DRAW_HEAD.encode()])
    crowd = crowd_site.press(CrowdPlan(MANY, script, reads=False))
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()


@pytest.mark.parametrize("name", FURTHER_PLANS)
def test_further_crowds_stay_within_the_memory(
    crowd_site: CrowdSite, name: str
) -> None:
    crowd_site.site.add_engine("llm", send_endless_stream)
    crowd_site.start()
    crowd = crowd_site.press(FURTHER_PLANS[name])
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()


@pytest.mark.parametrize(
    "plan",
    [
        CrowdPlan(1200, partial(endless, BEGUN_HEAD, b"x"), pause=0.5, burst=1),
        CrowdPlan(1200, partial(iter, [])),
    ],
    ids=["begun-heads", "silent"],
)
def test_connections_of_a_crowd_leave_descriptors_to_others(
    crowd_site: CrowdSite, plan: CrowdPlan
) -> None:
    crowd_site.start()
    crowd = crowd_site.press(plan)
    assert is_answered(crowd_site.site), "no answer beside the crowd"
    crowd.close()
    crowd_site.check()


def test_a_stop_ends_though_a_crowd_stays(crowd_site: CrowdSite) -> None:
    crowd_site.start()
    crowd_site.press(BODY_PLANS["drip"])
    assert crowd_site.site.gateway.stop() == 0
    assert crowd_site.site.gateway.started_process.poll() == 0


def test_the_largest_request_is_served_on_the_smallest_instance(
    crowd_site: CrowdSite,
) -> None:
    crowd_site.start(
        SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS, max_body_bytes=LARGEST_BODY_BYTES
    )
    body = b"z" * LARGEST_BODY_BYTES
    assert crowd_site.site.ask("/safe/x", body, method="POST")[0] == 200
    crowd_site.check(SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS)


def test_the_smallest_instance_bears_bodies_of_the_largest_size(
    crowd_site: CrowdSite,
) -> None:
    head = f"{UPLOAD_HEAD}Content-Length: {LARGEST_BODY_BYTES}\r\n\r\n"
    crowd_site.start(
        SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS, max_body_bytes=LARGEST_BODY_BYTES
    )
    plan = CrowdPlan(60, partial(stalled_body, head, LARGEST_BODY_BYTES, MISSING_BYTES))
    crowd = crowd_site.press(plan)
    assert is_answered(crowd_site.site, b"z" * (LARGEST_BODY_BYTES // 2))
    crowd.close()
    crowd_site.check(SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS)


def test_crowds_one_after_another_stay_within_the_memory(crowd_site: CrowdSite) -> None:
    # Guards against memory that a crowd leaves behind for the next one to add to.
    head = f"{UPLOAD_HEAD}Content-Length: {LARGEST_BODY_BYTES}\r\n\r\n"
    crowd_site.engine.behaviour = partial(send_response, body=b"a" * BODY_BYTES)
    crowd_site.start(
        SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS, max_body_bytes=LARGEST_BODY_BYTES
    )
    plans = [
        BODY_PLANS["large-chunks"],
        CrowdPlan(MANY, partial(stalled_body, head, LARGEST_BODY_BYTES, MISSING_BYTES)),
        CrowdPlan(MANY, partial(iter, [DRAW_HEAD.encode()]), reads=False),
    ]
    for plan in plans * 2:
        crowd_site.press(plan).close()
    crowd_site.check(SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS)
