"""Tests that no request starts on old weights after the bound.

The bound for old weights counts from the time at which a newer version was announced.
If a gateway dates a version by the last byte of the store's answer, its bound is late
by the transfer time. With a configuration of 1,960 more routes in transit ahead of
version 3 in the same topic, the bound was 0.3 s late: two gateways applied version 3
0.287 and 0.322 s after the announcement, with "unheard" 0.014 and -0.016 s, because
they dated the last contact with the store by the last byte as well. Two requests that
had waited more than 1 s at their engine then started on version 2 10.011 and 10.018 s
after the acknowledgement of version 3, where 10 s are allowed. One of them was
withdrawn 9 ms after its start, although requests are withdrawn 0.3 s before the bound.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from gateway_site import MODEL, make_config, make_large_config, make_route
from msgspec.json import encode
from test_late_requests import LoadedSite
from test_request_forwarding import make_stream_behaviour

from ridgecourse.core.ids import (
    Offset,
)
from ridgecourse.core.old_weights import WITHDRAWAL_MARGIN_SECONDS
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import (
    Topic,
)
from ridgecourse.platform.names import DECISIONS_TOPIC
from ridgecourse.platform.store import PlatformStore
from ridgecourse_standins.platform.engine import ReceivedRequest
from ridgecourse_standins.platform.store import StoreStandIn

BOUND_SECONDS = 4.0
TRANSFER_SECONDS = 1.0
"""Transfer time of the configuration."""
ANNOUNCED_AFTER_SECONDS = 0.1
"""Time from the acknowledgement of the configuration to that of the version."""
FIRST_EVENT_DELAY_SECONDS = 0.8
"""Time from a request to its first event at an engine slower than reported."""
REQUEST_INTERVAL_SECONDS = 0.1
REQUESTED_BEFORE_BOUND_SECONDS = 2.7
"""Time of the client's request before the bound."""


def stay_queued(request: ReceivedRequest) -> None:
    """Keep the request queued without starting it."""


def wait_for_read(front: Any) -> None:
    """Wait until the gateway has just requested decisions from the store.

    Records that arrive later in a long poll are dated by the start of the poll, up to
    0.4 s earlier.
    """
    reads = front.store.offset_reads
    read_count = len(reads)
    front.wait_until(
        lambda: any(DECISIONS_TOPIC in read for read in reads[read_count:])
    )


def test_queued_request_is_withdrawn_before_the_bound(front) -> None:
    engine = front.add_engine("llm", stay_queued, version=1)
    front.settings["bounds"]["version_ms"] = int(BOUND_SECONDS * 1000)
    front.path.write_bytes(encode(front.settings))
    front.start()
    large = make_large_config(2)
    wait_for_read(front)
    front.store.bytes_per_s = len(encode(large)) / TRANSFER_SECONDS
    front.store.put_config(large)
    sleep(ANNOUNCED_AFTER_SECONDS)
    front.store.put_version(MODEL, 2)
    announced_at = front.store.version_put_at[MODEL, 2]
    front.gateway.wait_event("version-named", version="2")
    sleep(
        max(
            0.0,
            announced_at + BOUND_SECONDS - REQUESTED_BEFORE_BOUND_SECONDS - monotonic(),
        )
    )
    front.send(front.open(), "/stream/x", extra=(f"Model: {MODEL}",))
    request = engine.wait_for_requests(1)[0]
    assert request.header("Expected-Version") is None
    assert engine.wait_until_closed(request, 2 * REQUESTED_BEFORE_BOUND_SECONDS)
    assert monotonic() < announced_at + BOUND_SECONDS


@pytest.fixture
def loaded_site(tmp_path: Path) -> Iterator[LoadedSite]:
    site = LoadedSite(tmp_path)
    yield site
    site.close()


@pytest.fixture
def slow_store():
    store = StoreStandIn()
    store.start()
    yield store
    store.close()


def test_answer_of_the_store_is_as_old_as_its_transfer(slow_store) -> None:
    large = make_large_config(2)
    slow_store.put_config(large)
    slow_store.bytes_per_s = len(encode(large)) / TRANSFER_SECONDS
    requested_at = monotonic()
    client = PlatformStore(slow_store.address, HttpClient())
    batch = client.read(Topic.DECISIONS, Offset(0), 0.0)
    assert monotonic() - requested_at > TRANSFER_SECONDS / 2
    assert requested_at <= batch.confirmed_at < requested_at + TRANSFER_SECONDS / 2
    newest = client.newest(Topic.DECISIONS)
    assert newest.confirmed_at < monotonic() - TRANSFER_SECONDS / 2


def test_long_poll_without_a_record_is_dated_by_its_end(slow_store) -> None:
    wait = 0.4
    requested_at = monotonic()
    client = PlatformStore(slow_store.address, HttpClient())
    batch = client.read(Topic.DECISIONS, Offset(0), wait)
    assert requested_at + wait <= batch.confirmed_at <= monotonic()


def test_aborted_long_poll_is_dated_by_its_start(slow_store) -> None:
    requested_at = monotonic()
    client = PlatformStore(slow_store.address, HttpClient())
    slow_store.closed = True
    batch = client.read(Topic.DECISIONS, Offset(0), 5.0)
    assert requested_at <= batch.confirmed_at < requested_at + 0.5


def start_late(request: ReceivedRequest) -> None:
    """Start a stream later than any report of the engine implies."""
    sleep(FIRST_EVENT_DELAY_SECONDS)
    make_stream_behaviour(1, 2)(request)


def test_request_that_would_start_after_the_bound_is_not_sent(loaded_site) -> None:
    """Requests waited 3 times as long as estimated and were withdrawn.

    The delays of the gateway's own recent requests allow their refusal at once.
    """
    loaded_site.settings["bounds"]["version_ms"] = int(BOUND_SECONDS * 1000)
    loaded_site.path.write_bytes(encode(loaded_site.settings))
    config = make_config()
    patient = make_route("/patient/", "streaming", "llm", target_latency_ms=6000)
    config["routes"].append(patient)
    loaded_site.start(config)
    engine = loaded_site.engines[0]
    engine.behaviour = start_late
    loaded_site.store.put_version(MODEL, 2)
    bound = loaded_site.store.version_put_at[MODEL, 2] + BOUND_SECONDS
    loaded_site.gateway.wait_event("version-named", version="2")

    def send_until(limit: float) -> int:
        while monotonic() < limit:
            loaded_site.send(
                loaded_site.open(), "/patient/x", extra=(f"Model: {MODEL}",)
            )
            sleep(REQUEST_INTERVAL_SECONDS)
        return len(engine.requests)

    early_count = send_until(
        bound - FIRST_EVENT_DELAY_SECONDS - WITHDRAWAL_MARGIN_SECONDS
    )
    assert engine.requests[0].header("Expected-Version") is None
    send_until(bound)
    late_requests = engine.requests[early_count:]
    assert {request.header("Expected-Version") for request in late_requests} <= {"2"}
