"""One hub per domain fetches a version; a standby hub takes over when it fails."""

from collections.abc import Callable, Iterator
from hashlib import sha256
from pathlib import Path
from time import monotonic, sleep
from typing import Any
from unittest.mock import Mock

import eventlet
import pytest
from gateway_site import MODEL, make_settings
from hypothesis import given
from hypothesis import strategies as st
from msgspec import convert
from msgspec.json import decode, encode
from test_loader import CHUNKS, LoaderSite, count_chunk_requests, make_chunks
from test_weights import CHUNKS as DIGESTS
from test_weights import HUBS, make_gateways, make_planner

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.fetch_types import Member, PlanPolicy
from ridgecourse.core.hubs import Peer, choose_hubs, plan_hubs
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    ModelName,
    Seconds,
    TargetName,
    WeightsVersion,
)
from ridgecourse.core.manifest import FileEntry, Manifest
from ridgecourse.exchange.origin import OriginUnavailable, WeightsOrigin
from ridgecourse.gateway.hub import Hub
from ridgecourse.net.events import EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.process import new_incarnation
from ridgecourse.net.threads import kill_threads
from ridgecourse.platform.settings import SiteFields, make_site
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.weights import HttpStandIn
from ridgecourse_standins.ports import free_address

KEY = f"('{MODEL}', 2)"


@given(st.integers(1, 12), st.integers(1, 4))
def test_other_gateways_copy_from_the_hub_of_their_domain(
    count: int, domains: int
) -> None:
    gateways = make_gateways(count, domains)
    hubs = choose_hubs(KEY, gateways)
    for local in gateways:
        plan = plan_hubs(KEY, gateways, local)
        assert plan.hubs == hubs
        assert local.name not in plan.sources(local)
        assert all(peer.domain == local.domain for peer in plan.local_gateways)
        if local not in hubs:
            hub = next(hub for hub in hubs if hub.domain == local.domain)
            assert plan.local_gateways[0] == hub


@given(st.integers(2, 12))
def test_the_standby_becomes_the_hub_when_the_hub_is_gone(count: int) -> None:
    gateways = make_gateways(count, 1)
    (hub,) = choose_hubs(KEY, gateways)
    standby = plan_hubs(KEY, gateways, hub).local_gateways[0]
    remaining = [gateway for gateway in gateways if gateway != hub]
    assert list(choose_hubs(KEY, remaining)) == [standby]


def test_concurrent_fetches_from_the_origin_are_limited() -> None:
    policy = PlanPolicy(origin_fetches=3)
    planner = make_planner(HUBS[0], HUBS[:1], policy)
    assert len(list(planner.plan(Seconds(0.1)))) == 3
    assert list(planner.plan(Seconds(0.1))) == []


def test_a_loader_without_a_local_hub_fetches_from_remote_hubs() -> None:
    hubs = [hub for hub in HUBS if hub.domain != "a"]
    planner = make_planner(Member(TargetName("loader"), DomainName("a")), hubs)
    assert set(planner.neighbours()) == {hub.target for hub in hubs}
    planner.record_peer_chunks(TargetName("hub-b"), DIGESTS[:5], Seconds(0.1))
    fetches = list(planner.plan(Seconds(0.2)))
    assert {fetch.source for fetch in fetches} == {TargetName("hub-b")}


class CallbackOrigin(WeightsOrigin):
    """An origin that runs a callback during each manifest request."""

    def __init__(self, on_manifest: Callable[[], None]) -> None:
        self.on_manifest = on_manifest

    def manifest(self, address, model, version) -> Manifest:
        self.on_manifest()
        digests = tuple(ChunkDigest(f"{n:064x}") for n in range(4))
        return Manifest(8, (FileEntry("weights", 32, digests),))

    def chunks(self, address, model, version) -> Any:
        raise OriginUnavailable("not asked in this test")


class LateGateway(HttpStandIn):
    """A gateway that starts while another one fetches a version."""

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Any:
        return 404, b""


def test_a_gateway_that_starts_during_a_fetch_is_asked_for_the_version() -> None:
    late_gateway = LateGateway()
    late_gateway.start()
    peer = Peer(TargetName("127.0.0.9"), DomainName("a"), late_gateway.address, "x:1")
    site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
    events = EventStream(site.process, new_incarnation(), site.domain)
    view = ClusterView(Mock(), Mock(), Mock(), events, 8.0)
    view.config = Mock(origin=Mock(address="127.0.0.1:1", domain="a", bytes_per_s=0.0))
    origin = CallbackOrigin(lambda: hub.record_gateways("loader", [peer]))
    hub = Hub(site, view, events, origin, HttpClient())
    hub.request_version((ModelName(MODEL), WeightsVersion(2)))
    try:
        with eventlet.Timeout(10):
            while not late_gateway.calls:
                eventlet.sleep(0.01)
    finally:
        stop_fetches(hub)
        late_gateway.close()
    assert late_gateway.calls[0] == ("GET", f"/versions/{MODEL}/2")


def make_hub(*gateways: Peer) -> Hub:
    """Return a hub of domain "a" to which a loader announced other gateways."""
    site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
    events = EventStream(site.process, new_incarnation(), site.domain)
    view = ClusterView(Mock(), Mock(), Mock(), events, 8.0)
    hub = Hub(site, view, events, Mock(), HttpClient())
    hub.record_gateways("loader", [hub.local, *gateways])
    return hub


def stop_fetches(hub: Hub) -> None:
    kill_threads(hub.fetching.values())


def test_a_named_version_is_prefetched_without_a_request() -> None:
    hub = make_hub()
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, now)
    hub.fetch_announced()
    assert list(hub.fetching) == [(model, 2)]
    hub.view.history(model).record_version(WeightsVersion(3), now, now)
    hub.fetch_announced()
    assert list(hub.fetching) == [(model, 2), (model, 3)]
    stop_fetches(hub)


def test_a_gateway_without_known_peers_does_not_prefetch() -> None:
    hub = make_hub()
    hub.forget_loader("loader")
    hub.record_gateways("a loader elsewhere", [])
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, now)
    hub.fetch_announced()
    assert not hub.fetching


def test_only_the_gateways_with_the_most_bandwidth_prefetch() -> None:
    wide_peers = [
        Peer(TargetName(f"127.0.0.{n}"), DomainName("a"), "x:1", "x:2", 1e12)
        for n in (8, 9)
    ]
    hub = make_hub(*wide_peers)
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, now)
    hub.fetch_announced()
    assert not hub.fetching


def test_a_version_named_long_ago_is_not_prefetched() -> None:
    hub = make_hub()
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, Seconds(now - 9.0))
    hub.view.history(ModelName("other")).record_version(WeightsVersion(2), now, None)
    hub.fetch_announced()
    assert not hub.fetching


class HubSite(LoaderSite):
    """A loader site with two gateways of the loader's domain."""

    seeds = ("127.0.0.9:1", "127.0.0.2:1", "127.0.0.3:1")

    def __init__(self, directory: Path, **options: bool) -> None:
        super().__init__(directory, **options)
        self.directory = directory
        self.gateways: dict[str, ManagedProcess] = {}
        for number in (2, 3):
            host = f"127.0.0.{number}"
            settings = make_settings(
                self.store.address,
                node_name=f"edge-a-{number}",
                ip=host,
                internal_port_range=self.ports,
                bootstrap=True,
                listen={"frontend": free_address(), "readiness": free_address()},
            )
            path = directory / f"{host}.json"
            path.write_bytes(encode(settings))
            command = ["-m", "ridgecourse.platform.gateway_main", str(path)]
            self.gateways[host] = ManagedProcess(
                f"gateway-{number}", command, directory
            )

    def start(self) -> None:
        self.register_engine()
        for gateway in self.gateways.values():
            gateway.start()
        super().start()
        self.wait_serving(1)
        for gateway in self.gateways.values():
            gateway.wait_event("target-listed")
        self.loader.wait_event(
            "gateways-known", detail={"gateways": list(self.gateways)}
        )

    def restart_gateways(self) -> None:
        """Restart the gateways without the setting of a very first start."""
        for host, gateway in self.gateways.items():
            path = self.directory / f"{host}.json"
            path.write_bytes(encode({**decode(path.read_bytes()), "bootstrap": False}))
            gateway.start()
        for gateway in self.gateways.values():
            gateway.wait_event("target-listed", after=1)

    def hosts_hub_first(self, version: int = 2) -> list[str]:
        """Return the hosts of the gateways, with the hub of a version first."""
        peers = [
            Peer(TargetName(host), DomainName("a"), "x", "x") for host in self.gateways
        ]
        (hub,) = choose_hubs(f"('{MODEL}', {version})", peers)
        return sorted(self.gateways, key=lambda host: host != hub.name)

    def ask(self, host: str, version: int = 2) -> None:
        """Request a version from a gateway, as a loader does."""
        path = f"/versions/{MODEL}/{version}"
        HttpClient().fetch("GET", f"{host}:{self.ports[0] + 1}", path)

    def wait_complete(self, version: int) -> None:
        """Wait until the loader holds all chunks of a version."""
        digests = [sha256(c).hexdigest() for c in self.origin.versions[version]]
        self.wait_for_chunks("127.0.0.1", digests, CHUNKS)

    def wait_for_version_chunks(self, host: str, version: int, chunks: int) -> None:
        """Wait until a process holds a number of chunks of a version."""
        digests = [sha256(c).hexdigest() for c in self.origin.versions[version]]
        self.wait_for_chunks(host, digests, chunks)

    def missing_digests(self, host: str, version: int) -> list[str]:
        """Return the digests of a version's chunks that a process does not hold."""
        address, http = f"{host}:{self.ports[0] + 1}", HttpClient()
        digests = [sha256(c).hexdigest() for c in self.origin.versions[version]]
        return [
            digest
            for digest in digests
            if http.fetch("GET", address, f"/chunks/{digest}")[0] == 404
        ]

    def wait_for_chunks(self, host: str, digests: list[str], chunks: int) -> None:
        """Wait until a process holds a number of the chunks with these digests."""
        address = f"{host}:{self.ports[0] + 1}"
        http = HttpClient()
        held: set[str] = set()
        deadline = monotonic() + 20.0
        while len(held) < chunks:
            assert monotonic() < deadline, f"{host} holds {len(held)} chunks"
            for digest in digests:
                if http.fetch("GET", address, f"/chunks/{digest}")[0] == 200:
                    held.add(digest)
            sleep(0.02)

    def close(self) -> None:
        for gateway in self.gateways.values():
            gateway.close()
        super().close()


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_two_requested_gateways_fetch_one_copy(hub_site) -> None:
    hub_site.start()
    calls_before = count_chunk_requests(hub_site)
    hub_site.store.put_version(MODEL, 2)
    for host in hub_site.gateways:
        hub_site.ask(host)
    for gateway in hub_site.gateways.values():
        gateway.wait_event("version-complete", version="2")
    hub_site.wait_serving(2)
    assert count_chunk_requests(hub_site) == calls_before + CHUNKS


def test_the_standby_holds_the_version_of_a_killed_hub(hub_site) -> None:
    hub_site.start()
    hub, standby = hub_site.hosts_hub_first()
    hub_site.ask(hub)
    hub_site.gateways[standby].wait_event("version-complete", version="2")
    calls_before = count_chunk_requests(hub_site)
    hub_site.gateways[hub].kill()
    hub_site.store.put_version(MODEL, 2)
    hub_site.wait_serving(2)
    assert count_chunk_requests(hub_site) == calls_before


def test_the_standby_completes_a_fetch_that_a_killed_hub_started(hub_site) -> None:
    hub_site.origin.versions[2] = make_chunks(2)
    hub_site.start()
    hub, standby = hub_site.hosts_hub_first()
    hub_site.origin.send_limit = 0
    hub_site.store.put_version(MODEL, 2)
    hub_site.loader.wait_event("rollout-phase", version="2")
    hub_site.origin.wait_until(lambda: count_chunk_requests(hub_site) > CHUNKS)
    hub_site.gateways[hub].kill()
    hub_site.origin.release()
    hub_site.wait_serving(2)
    hub_site.gateways[standby].wait_event("version-complete", version="2")


def test_a_nearly_complete_fetch_finishes_before_a_newer_version_starts(
    hub_site,
) -> None:
    hub_site.start()
    hub, _ = hub_site.hosts_hub_first()
    origin = hub_site.origin
    origin.send_limit = origin.sent + CHUNKS - 4
    hub_site.store.put_version(MODEL, 2)
    for host in hub_site.gateways:
        hub_site.ask(host)
    origin.wait_until(lambda: origin.sent == origin.send_limit)
    for host in hub_site.gateways:
        hub_site.wait_for_version_chunks(host, 2, CHUNKS - 4)
    hub_site.store.put_version(MODEL, 3)
    for host in hub_site.gateways:
        hub_site.ask(host, 3)
    hub_site.gateways[hub].wait_event("version-named", version="3")
    origin.release()
    hub_site.wait_serving(3)
    chunk_targets = [target for _, target in origin.calls if "/piece/" in target]
    versions = [target.rpartition("=")[2] for target in chunk_targets]
    assert versions == sorted(versions)


def test_each_chunk_is_sent_once_despite_an_origin_outage(hub_site) -> None:
    hub_site.start()
    origin = hub_site.origin
    sent = origin.sent
    origin.send_limit = sent + CHUNKS - 4
    hub_site.store.put_version(MODEL, 2)
    origin.wait_until(lambda: origin.sent == sent + CHUNKS - 4)
    origin.unreachable = True
    # Chunks in flight at the start of the outage still arrive.
    origin.release()
    origin.wait_until(lambda: origin.dropped_connections > 2)
    origin.unreachable = False
    hub_site.wait_serving(2)
    assert origin.sent == sent + CHUNKS


def test_the_standby_takes_over_from_a_stopped_hub(hub_site) -> None:
    hub_site.start()
    hub, standby = hub_site.hosts_hub_first()
    hub_site.gateways[hub].started_process.terminate()
    hub_site.loader.wait_event("gateways-known", detail={"gateways": [standby]})
    hub_site.store.put_version(MODEL, 2)
    hub_site.wait_serving(2)
    hub_site.gateways[standby].wait_event("version-complete", version="2")
    assert hub_site.gateways[hub].started_process.wait(10) == 0


def test_the_first_version_is_fetched_from_the_engines_of_the_domain(hub_site) -> None:
    chunks = hub_site.origin.versions[1]
    hub_site.engine.staged = dict(enumerate(chunks))
    hub_site.engine.version = 1
    hub_site.engine.staged_at_start[1] = dict(enumerate(chunks))
    hub_site.start()
    for gateway in hub_site.gateways.values():
        gateway.wait_event("version-complete", version="1")
    assert count_chunk_requests(hub_site) == 0


def test_hub_asked_before_its_prefetch_copies_from_its_domain(hub_site) -> None:
    # A gateway that had copied the first version from engines told the hub to fetch it;
    # the hub, whose own prefetch still waited, asked the origin.
    chunks = hub_site.origin.versions[1]
    hub_site.engine.staged = dict(enumerate(chunks))
    hub_site.engine.version = 1
    hub_site.engine.staged_at_start[1] = dict(enumerate(chunks))
    hub_site.register_engine()
    late, early = hub_site.hosts_hub_first(version=1)
    hub_site.gateways[early].start()
    LoaderSite.start(hub_site)
    hub_site.gateways[early].wait_event("version-complete", version="1")
    hub_site.gateways[late].start()
    hub_site.gateways[late].wait_event("target-weights")
    hub_site.ask(late, 1)
    hub_site.gateways[late].wait_event("version-complete", version="1")
    assert count_chunk_requests(hub_site) == 0


def test_weights_are_transferred_before_the_engine_starts(tmp_path) -> None:
    site = HubSite(tmp_path, engine_started=False)
    try:
        site.store.put_config(site.config())
        for gateway in site.gateways.values():
            gateway.start()
            gateway.wait_event("config-folded")
        site.loader.start()
        transfer = {"phase": "transfer", "error": ""}
        site.loader.wait_event("rollout-phase", 20, version="1", detail=transfer)
        site.wait_complete(1)
        assert site.engine.calls == []
        site.engine.start()
        site.wait_serving(1)
    finally:
        site.close()
