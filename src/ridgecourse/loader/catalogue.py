"""Manifests of versions: served to other loaders, fetched from them or the origin."""

from collections.abc import Mapping
from time import monotonic

import eventlet
from returns.result import Success

from ridgecourse.core.ids import ModelName, TargetName, WeightsVersion
from ridgecourse.core.manifest import (
    Manifest,
    encode_manifest,
    parse_manifest,
    root_digest,
)
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.exchange.context import ExchangeContext, Peer
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import OriginUnavailable
from ridgecourse.loader.protocol import WeightsOrigin
from ridgecourse.net.http_client import ExchangeFailed, NoConnection
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter

VERSIONS_PATH = "/versions/"
STAGGER_SECONDS = 0.15
"""Each further loader waits this much longer before it asks the origin itself:
some ten round trips between the farthest domains."""
LONGEST_STAGGER_SECONDS = 0.6
PEER_SECONDS = 0.5
RETRY_SECONDS = 0.5
POLL_SECONDS = 0.05

VersionKey = tuple[ModelName, WeightsVersion]


class Catalogue:
    """The versions whose manifest is known.

    Attributes:
        holdings: By model and version.
    """

    def __init__(self, context: ExchangeContext, origin: WeightsOrigin) -> None:
        self.context = context
        self.origin = origin
        self.holdings: dict[VersionKey, Holding] = {}

    def add_routes(self, router: HttpRouter) -> None:
        """Serve known manifests on a router."""
        router.add("GET", VERSIONS_PATH, self.serve)

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer with a version's manifest."""
        model, _, number = request.path.removeprefix(VERSIONS_PATH).partition("/")
        if not number.isdecimal():
            return HttpReply(400)
        key = (ModelName(model), WeightsVersion(int(number)))
        holding = self.holdings.get(key)
        if holding is None:
            return HttpReply(404)
        return HttpReply(200, holding.manifest_bytes)

    def find(
        self, key: VersionKey, address: str, peers: Mapping[TargetName, Peer]
    ) -> Holding | None:
        """Return a version's holding, None where its manifest can't be had now.

        The loaders ask the origin one after another, so that as a rule one does.
        """
        if key in self.holdings:
            return self.holdings[key]
        me = self.context.me.target
        order = rendezvous_rank(f"{key}/manifest", [*peers, me])
        rank = order.index(me)
        ask_origin = monotonic() + min(rank * STAGGER_SECONDS, LONGEST_STAGGER_SECONDS)
        before = [peers[TargetName(name)] for name in order[:rank]]
        while before and monotonic() < ask_origin:
            for peer in before[:2]:
                if holding := self._ask_peer(peer, key):
                    return holding
            eventlet.sleep(POLL_SECONDS)
        return self._ask_origin(key, address)

    def _ask_peer(self, peer: Peer, key: VersionKey) -> Holding | None:
        path = f"{VERSIONS_PATH}{key[0]}/{key[1]}"
        try:
            status, data, _ = self.context.http.fetch(
                "GET", peer.address, path, timeout=PEER_SECONDS
            )
        except (NoConnection, ExchangeFailed):
            return None
        parsed = parse_manifest(data)
        if status != 200 or not isinstance(parsed, Success):
            return None
        return self._keep(key, parsed.unwrap())

    def _ask_origin(self, key: VersionKey, address: str) -> Holding | None:
        try:
            return self._keep(key, self.origin.manifest(address, *key))
        except OriginUnavailable:
            return None

    def _keep(self, key: VersionKey, manifest: Manifest) -> Holding:
        data = encode_manifest(manifest)
        self.holdings[key] = Holding(root_digest(data), manifest, data)
        return self.holdings[key]
