"""One hub a domain draws a version; the next in line takes over from it."""

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
from test_loader import CHUNKS, LoaderSite, chunk_calls, make_chunks
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
from ridgecourse.platform.settings import SiteFields, make_site
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.weights import HttpStandIn
from ridgecourse_standins.ports import free_address

KEY = f"('{MODEL}', 2)"


@given(st.integers(1, 12), st.integers(1, 4))
def test_a_gateway_that_is_no_hub_copies_from_the_one_that_is(
    count: int, domains: int
) -> None:
    gateways = make_gateways(count, domains)
    hubs = choose_hubs(KEY, gateways)
    for me in gateways:
        plan = plan_hubs(KEY, gateways, me)
        assert plan.hubs == hubs
        assert me.name not in plan.sources(me)
        assert all(peer.domain == me.domain for peer in plan.local_gateways)
        if me not in hubs:
            hub = next(hub for hub in hubs if hub.domain == me.domain)
            assert plan.local_gateways[0] == hub


@given(st.integers(2, 12))
def test_the_next_in_line_is_the_hub_once_the_first_has_gone(count: int) -> None:
    gateways = make_gateways(count, 1)
    (hub,) = choose_hubs(KEY, gateways)
    successor = plan_hubs(KEY, gateways, hub).local_gateways[0]
    left = [gateway for gateway in gateways if gateway != hub]
    assert list(choose_hubs(KEY, left)) == [successor]


def test_few_chunks_are_drawn_from_the_origin_at_a_time() -> None:
    policy = PlanPolicy(origin_fetches=3)
    planner = make_planner(HUBS[0], HUBS[:1], policy)
    assert len(list(planner.plan(Seconds(0.1)))) == 3
    assert list(planner.plan(Seconds(0.1))) == []


def test_a_loader_without_a_hub_in_its_domain_follows_those_elsewhere() -> None:
    hubs = [hub for hub in HUBS if hub.domain != "a"]
    planner = make_planner(Member(TargetName("loader"), DomainName("a")), hubs)
    assert set(planner.neighbours()) == {hub.target for hub in hubs}
    planner.record_peer_chunks(TargetName("hub-b"), DIGESTS[:5], Seconds(0.1))
    fetches = list(planner.plan(Seconds(0.2)))
    assert {fetch.source for fetch in fetches} == {TargetName("hub-b")}


class MeddlingOrigin(WeightsOrigin):
    """An origin in whose calls something else happens."""

    def __init__(self, happens: Callable[[], None]) -> None:
        self.happens = happens

    def manifest(self, address, model, version) -> Manifest:
        self.happens()
        digests = tuple(ChunkDigest(f"{n:064x}") for n in range(4))
        return Manifest(8, (FileEntry("weights", 32, digests),))

    def chunks(self, address, model, version) -> Any:
        raise OriginUnavailable("not asked in this test")


class Newcomer(HttpStandIn):
    """A gateway that comes while another one brings a version in."""

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Any:
        return 404, b""


def test_a_gateway_that_comes_meanwhile_is_asked_as_well() -> None:
    newcomer = Newcomer()
    newcomer.start()
    peer = Peer(TargetName("127.0.0.9"), DomainName("a"), newcomer.address, "x:1")
    site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
    events = EventStream(site.process, new_incarnation(), site.domain)
    view = ClusterView(Mock(), Mock(), Mock(), events, 8.0)
    view.config = Mock(origin=Mock(address="127.0.0.1:1", domain="a", bytes_per_s=0.0))
    origin = MeddlingOrigin(lambda: hub.record_gateways("loader", [peer]))
    hub = Hub(site, view, events, origin, HttpClient())
    hub.request_version((ModelName(MODEL), WeightsVersion(2)))
    try:
        with eventlet.Timeout(10):
            while not newcomer.calls:
                eventlet.sleep(0.01)
    finally:
        for thread in hub.fetching.values():
            thread.kill()
        newcomer.close()
    assert newcomer.calls[0] == ("GET", f"/versions/{MODEL}/2")


def make_hub(*gateways: Peer) -> Hub:
    """Return a hub of domain "a" that a loader told of other gateways."""
    site = make_site(convert(make_settings("127.0.0.1:1"), SiteFields))
    events = EventStream(site.process, new_incarnation(), site.domain)
    view = ClusterView(Mock(), Mock(), Mock(), events, 8.0)
    hub = Hub(site, view, events, Mock(), HttpClient())
    hub.record_gateways("loader", [hub.local, *gateways])
    return hub


def end_work(hub: Hub) -> None:
    for thread in list(hub.fetching.values()):
        thread.kill()


def test_a_named_version_is_drawn_before_any_loader_asks() -> None:
    hub = make_hub()
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, now)
    hub.fetch_announced()
    assert list(hub.fetching) == [(model, 2)]
    hub.view.history(model).record_version(WeightsVersion(3), now, now)
    hub.fetch_announced()
    assert list(hub.fetching) == [(model, 2), (model, 3)]
    end_work(hub)


def test_a_gateway_that_knows_no_other_yet_waits_until_it_is_asked() -> None:
    hub = make_hub()
    hub.forget_loader("loader")
    hub.record_gateways("a loader elsewhere", [])
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, now)
    hub.fetch_announced()
    assert not hub.fetching


def test_a_named_version_is_left_to_the_widest_gateways() -> None:
    wide = [
        Peer(TargetName(f"127.0.0.{n}"), DomainName("a"), "x:1", "x:2", 1e12)
        for n in (8, 9)
    ]
    hub = make_hub(*wide)
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, now)
    hub.fetch_announced()
    assert not hub.fetching


def test_a_version_named_long_ago_waits_until_it_is_asked_for() -> None:
    hub = make_hub()
    model, now = ModelName(MODEL), Seconds(monotonic())
    hub.view.history(model).record_version(WeightsVersion(2), now, Seconds(now - 9.0))
    hub.view.history(ModelName("other")).record_version(WeightsVersion(2), now, None)
    hub.fetch_announced()
    assert not hub.fetching


class HubSite(LoaderSite):
    """A loader site with two gateways of the loader's domain."""

    seeds = ("127.0.0.9:1", "127.0.0.2:1", "127.0.0.3:1")

    def __init__(self, directory: Path, **more: bool) -> None:
        super().__init__(directory, **more)
        self.directory = directory
        self.places: dict[str, ManagedProcess] = {}
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
            self.places[host] = ManagedProcess(f"gateway-{number}", command, directory)

    def start(self) -> None:
        self.list_engine()
        for gateway in self.places.values():
            gateway.start()
        super().start()
        self.wait_serving(1)
        for gateway in self.places.values():
            gateway.wait_event("target-listed")
        self.loader.wait_event("gateways-known", detail={"gateways": list(self.places)})

    def restart_gateways(self) -> None:
        """Start the gateways once more; it is not the first start of all."""
        for host, gateway in self.places.items():
            path = self.directory / f"{host}.json"
            path.write_bytes(encode({**decode(path.read_bytes()), "bootstrap": False}))
            gateway.start()
        for gateway in self.places.values():
            gateway.wait_event("target-listed", after=1)

    def ranked(self) -> list[str]:
        """Return the gateways' hosts, the hub of the second version first."""
        peers = [
            Peer(TargetName(host), DomainName("a"), "x", "x") for host in self.places
        ]
        (hub,) = choose_hubs(KEY, peers)
        return sorted(self.places, key=lambda host: host != hub.name)

    def ask(self, host: str, version: int = 2) -> None:
        """Ask a gateway for a version, as a loader does."""
        path = f"/versions/{MODEL}/{version}"
        HttpClient().fetch("GET", f"{host}:{self.ports[0] + 1}", path)

    def wait_whole(self, version: int) -> None:
        """Wait until the loader holds all chunks of a version."""
        digests = [sha256(c).hexdigest() for c in self.origin.versions[version]]
        self.wait_chunks("127.0.0.1", digests, CHUNKS)

    def wait_holding(self, host: str, version: int, chunks: int) -> None:
        """Wait until a gateway holds some chunks of a version."""
        digests = [sha256(c).hexdigest() for c in self.origin.versions[version]]
        self.wait_chunks(host, digests, chunks)

    def lacking(self, host: str, version: int) -> list[str]:
        """Return the digests of a version's chunks that a process does not hold."""
        address, http = f"{host}:{self.ports[0] + 1}", HttpClient()
        digests = [sha256(c).hexdigest() for c in self.origin.versions[version]]
        return [
            digest
            for digest in digests
            if http.fetch("GET", address, f"/chunks/{digest}")[0] == 404
        ]

    def wait_chunks(self, host: str, digests: list[str], chunks: int) -> None:
        """Wait until a process holds some of the chunks with these digests."""
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
        for gateway in self.places.values():
            gateway.close()
        super().close()


@pytest.fixture
def hub_site(tmp_path: Path) -> Iterator[HubSite]:
    site = HubSite(tmp_path)
    yield site
    site.close()


def test_two_gateways_that_are_asked_draw_one_copy(hub_site) -> None:
    hub_site.start()
    drawn = chunk_calls(hub_site)
    hub_site.store.put_version(MODEL, 2)
    for host in hub_site.places:
        hub_site.ask(host)
    for gateway in hub_site.places.values():
        gateway.wait_event("version-complete", version="2")
    hub_site.wait_serving(2)
    assert chunk_calls(hub_site) == drawn + CHUNKS


def test_the_next_in_line_holds_what_a_lost_hub_held(hub_site) -> None:
    hub_site.start()
    hub, successor = hub_site.ranked()
    hub_site.ask(hub)
    hub_site.places[successor].wait_event("version-complete", version="2")
    drawn = chunk_calls(hub_site)
    hub_site.places[hub].kill()
    hub_site.store.put_version(MODEL, 2)
    hub_site.wait_serving(2)
    assert chunk_calls(hub_site) == drawn


def test_a_new_hub_is_asked_for_a_version_that_is_on_its_way(hub_site) -> None:
    hub_site.origin.versions[2] = make_chunks(2)
    hub_site.start()
    hub, successor = hub_site.ranked()
    hub_site.origin.send_limit = 0
    hub_site.store.put_version(MODEL, 2)
    hub_site.loader.wait_event("rollout-phase", version="2")
    hub_site.origin.wait_until(lambda: chunk_calls(hub_site) > CHUNKS)
    hub_site.places[hub].kill()
    hub_site.origin.release()
    hub_site.wait_serving(2)
    hub_site.places[successor].wait_event("version-complete", version="2")


def test_what_is_nearly_here_is_finished_before_a_newer_version(hub_site) -> None:
    hub_site.start()
    hub, _ = hub_site.ranked()
    origin = hub_site.origin
    origin.send_limit = origin.sent + CHUNKS - 4
    hub_site.store.put_version(MODEL, 2)
    for host in hub_site.places:
        hub_site.ask(host)
    origin.wait_until(lambda: origin.sent == origin.send_limit)
    for host in hub_site.places:
        hub_site.wait_holding(host, 2, CHUNKS - 4)
    hub_site.store.put_version(MODEL, 3)
    for host in hub_site.places:
        hub_site.ask(host, 3)
    hub_site.places[hub].wait_event("version-named", version="3")
    origin.release()
    hub_site.wait_serving(3)
    drawn = [call for _, call in origin.calls if "/piece/" in call]
    versions = [call.rpartition("=")[2] for call in drawn]
    assert versions == sorted(versions)


def test_an_origin_that_goes_away_halfway_sends_each_chunk_once(hub_site) -> None:
    hub_site.start()
    origin = hub_site.origin
    sent = origin.sent
    origin.send_limit = sent + CHUNKS - 4
    hub_site.store.put_version(MODEL, 2)
    origin.wait_until(lambda: origin.sent == sent + CHUNKS - 4)
    origin.unreachable = True
    # What was under way when it went away still comes.
    origin.release()
    origin.wait_until(lambda: origin.dropped_connections > 2)
    origin.unreachable = False
    hub_site.wait_serving(2)
    assert origin.sent == sent + CHUNKS


def test_a_gateway_that_stops_leaves_its_part_to_the_next(hub_site) -> None:
    hub_site.start()
    hub, successor = hub_site.ranked()
    hub_site.places[hub].started_process.terminate()
    hub_site.loader.wait_event("gateways-known", detail={"gateways": [successor]})
    hub_site.store.put_version(MODEL, 2)
    hub_site.wait_serving(2)
    hub_site.places[successor].wait_event("version-complete", version="2")
    assert hub_site.places[hub].started_process.wait(10) == 0


def test_the_first_version_is_taken_from_the_engines_of_the_domain(hub_site) -> None:
    chunks = hub_site.origin.versions[1]
    hub_site.engine.staged = dict(enumerate(chunks))
    hub_site.engine.version = 1
    hub_site.engine.staged_at_start[1] = dict(enumerate(chunks))
    hub_site.start()
    for gateway in hub_site.places.values():
        gateway.wait_event("version-complete", version="1")
    assert chunk_calls(hub_site) == 0


def test_weights_are_on_their_way_before_the_engine_is_there(tmp_path) -> None:
    site = HubSite(tmp_path, engine_started=False)
    try:
        site.store.put_config(site.config())
        for gateway in site.places.values():
            gateway.start()
            gateway.wait_event("config-folded")
        site.loader.start()
        transfer = {"phase": "transfer", "error": ""}
        site.loader.wait_event("rollout-phase", 20, version="1", detail=transfer)
        site.wait_whole(1)
        assert site.engine.calls == []
        site.engine.start()
        site.wait_serving(1)
    finally:
        site.close()
