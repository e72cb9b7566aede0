"""Load shedding of requests that will be late, at full engines."""

from collections.abc import Iterator
from pathlib import Path
from time import sleep
from typing import Any

import pytest
from gateway_site import GatewaySite, HttpResponse
from msgspec import structs
from test_request_forwarding import make_stream_behaviour

from ridgecourse.core.client_timeout import MIN_SAMPLE_SIZE
from ridgecourse_standins.platform.loader import IDLE_STATUS, LoaderStandIn

ENGINE = "127.0.0.5"
STREAM_HEADERS = ("Model: m0", "Token-Usage: 100,50")
ALMOST_FULL = {"active": 15}
"""Load with 1 of 16 slots free and no request waiting."""


class LoadedSite(GatewaySite):
    """A gateway with one engine whose load the test sets."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        port = self.settings["internal_port_range"][0]
        self.loader = LoaderStandIn(ENGINE, port)

    def start(self, config: dict[str, Any] | None = None) -> None:
        self.add_engine("llm", make_stream_behaviour(1, 2), host=ENGINE)
        self.loader.start()
        super().start(config)
        self.wait_until(lambda: self.loader.connection_count > 0)
        # The usual client timeout is estimated from this many requests.
        for _ in range(MIN_SAMPLE_SIZE):
            assert self.call(6000)[0] == 200

    def call(self, deadline_ms: int, *headers: str) -> HttpResponse:
        return self.ask(
            "/stream/x",
            method="POST",
            extra=(*STREAM_HEADERS, *headers),
            deadline_ms=deadline_ms,
        )

    def set_load(self, **load: int) -> None:
        """Set the load of the engine and wait until it is reported to the gateway."""
        self.loader.status = structs.replace(IDLE_STATUS, **load)
        self.wait_until(lambda: self.loader.last_reported is self.loader.status)
        # The report is in transit for some milliseconds.
        sleep(0.1)

    def close(self) -> None:
        self.loader.close()
        super().close()


@pytest.fixture
def loaded(tmp_path: Path) -> Iterator[LoadedSite]:
    site = LoadedSite(tmp_path)
    yield site
    site.close()


def test_a_full_engine_refuses_requests_that_will_be_late(
    loaded,
) -> None:
    loaded.start()
    loaded.set_load(**ALMOST_FULL)
    assert loaded.call(6000)[0] == 200
    status, headers, _, _ = loaded.call(4000)
    assert status == 503
    assert float(headers["retry-after"]) > 0
    refused = loaded.gateway.wait_event("request-refused")
    assert refused["detail"]["reason"] == "overloaded"
    assert len(loaded.engines[0].requests) == MIN_SAMPLE_SIZE + 1


def test_late_requests_are_served_by_idle_engines(loaded) -> None:
    loaded.start()
    assert loaded.call(4000)[0] == 200


def test_a_resumed_stream_is_not_refused_as_late(loaded) -> None:
    loaded.start()
    loaded.set_load(**ALMOST_FULL)
    assert loaded.call(4000)[0] == 503
    assert loaded.call(4000, "Last-Event-Id: 1")[0] == 200
