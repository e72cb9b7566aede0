"""No request begins on old weights after the bound, however late a name is heard of.

What happened: two requests began on version 2 of a model 10.011 and 10.018 s after
version 3 had been acknowledged, where 10 s are allowed. Both had waited for more than a
second at their engine. One was taken back 9 ms after it had begun, though a request is
taken back 0.3 s before the bound that its gateway counts with: that bound was 0.3 s
late.

Why: a version that came with an answer of the store was dated when the last byte of
that answer had arrived. A configuration with 1,960 routes more was on its way at that
time, in the same topic; what is named behind it is heard of after it.

What settled it: in a run of that shape two gateways took in version 3 0.287 and 0.322 s
after it had been named, with "unheard" 0.014 and -0.016: the time at which the store
was last heard of was that of the last byte as well.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import pytest
from gateway_site import MODEL, make_config, make_large_config, make_route
from msgspec.json import encode
from test_late_callers import LoadedSite
from test_requests import stream

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
"""How long the configuration is on its way."""
NAMED_AFTER_SECONDS = 0.1
"""From the configuration's acknowledgement to the name's."""
LATE_SECONDS = 0.8
"""From a request to its first event at an engine that is slower than it tells."""
ASK_EACH_SECONDS = 0.1
ASKED_BEFORE_SECONDS = 2.7
"""Before the bound, when a caller asks."""


def stay_queued(request: ReceivedRequest) -> None:
    """Begin nothing."""


def wait_for_read(front: Any) -> None:
    """Wait until the store has just been asked for decisions.

    What comes later in a read that waits is dated by its beginning, up to 0.4 s before.
    """
    asked = front.store.offset_reads
    seen = len(asked)
    front.wait_until(lambda: any(DECISIONS_TOPIC in call for call in asked[seen:]))


def test_a_request_in_a_queue_is_taken_back_before_the_bound(front) -> None:
    engine = front.add_engine("llm", stay_queued, version=1)
    front.settings["bounds"]["version_ms"] = int(BOUND_SECONDS * 1000)
    front.path.write_bytes(encode(front.settings))
    front.start()
    large = make_large_config(2)
    wait_for_read(front)
    front.store.bytes_per_s = len(encode(large)) / TRANSFER_SECONDS
    front.store.put_config(large)
    sleep(NAMED_AFTER_SECONDS)
    front.store.put_version(MODEL, 2)
    named_at = front.store.version_put_at[MODEL, 2]
    front.gateway.wait_event("version-named", version="2")
    sleep(max(0.0, named_at + BOUND_SECONDS - ASKED_BEFORE_SECONDS - monotonic()))
    front.send(front.open(), "/stream/x", extra=(f"Model: {MODEL}",))
    request = engine.wait_for_requests(1)[0]
    assert request.header("Expected-Version") is None
    assert engine.wait_until_closed(request, 2 * ASKED_BEFORE_SECONDS)
    assert monotonic() < named_at + BOUND_SECONDS


@pytest.fixture
def loaded(tmp_path: Path) -> Iterator[LoadedSite]:
    site = LoadedSite(tmp_path)
    yield site
    site.close()


@pytest.fixture
def slow_store():
    store = StoreStandIn()
    store.start()
    yield store
    store.close()


def test_what_the_store_told_is_as_old_as_its_transfer(slow_store) -> None:
    large = make_large_config(2)
    slow_store.put_config(large)
    slow_store.bytes_per_s = len(encode(large)) / TRANSFER_SECONDS
    asked_at = monotonic()
    client = PlatformStore(slow_store.address, HttpClient())
    batch = client.read(Topic.DECISIONS, Offset(0), 0.0)
    assert monotonic() - asked_at > TRANSFER_SECONDS / 2
    assert asked_at <= batch.confirmed_at < asked_at + TRANSFER_SECONDS / 2
    newest = client.newest(Topic.DECISIONS)
    assert newest.confirmed_at < monotonic() - TRANSFER_SECONDS / 2


def test_a_wait_that_ended_without_a_record_tells_of_its_end(slow_store) -> None:
    wait = 0.4
    asked_at = monotonic()
    client = PlatformStore(slow_store.address, HttpClient())
    batch = client.read(Topic.DECISIONS, Offset(0), wait)
    assert asked_at + wait <= batch.confirmed_at <= monotonic()


def test_a_wait_that_was_cut_short_tells_of_its_beginning(slow_store) -> None:
    asked_at = monotonic()
    client = PlatformStore(slow_store.address, HttpClient())
    slow_store.closed = True
    batch = client.read(Topic.DECISIONS, Offset(0), 5.0)
    assert asked_at <= batch.confirmed_at < asked_at + 0.5


def begin_late(request: ReceivedRequest) -> None:
    """Begin a stream later than any report tells."""
    sleep(LATE_SECONDS)
    stream(1, 2)(request)


def test_what_would_begin_after_the_bound_is_not_sent(loaded) -> None:
    """Requests waited three times as long as estimated and were taken back.

    They might have been refused at once: what the gateway's own requests met lately
    told so.
    """
    loaded.settings["bounds"]["version_ms"] = int(BOUND_SECONDS * 1000)
    loaded.path.write_bytes(encode(loaded.settings))
    config = make_config()
    patient = make_route("/patient/", "streaming", "llm", target_latency_ms=6000)
    config["routes"].append(patient)
    loaded.start(config)
    engine = loaded.engines[0]
    engine.behaviour = begin_late
    loaded.store.put_version(MODEL, 2)
    bound = loaded.store.version_put_at[MODEL, 2] + BOUND_SECONDS
    loaded.gateway.wait_event("version-named", version="2")

    def ask_until(limit: float) -> int:
        while monotonic() < limit:
            loaded.send(loaded.open(), "/patient/x", extra=(f"Model: {MODEL}",))
            sleep(ASK_EACH_SECONDS)
        return len(engine.requests)

    early = ask_until(bound - LATE_SECONDS - WITHDRAWAL_MARGIN_SECONDS)
    assert engine.requests[0].header("Expected-Version") is None
    ask_until(bound)
    late = engine.requests[early:]
    assert {request.header("Expected-Version") for request in late} <= {"2"}
