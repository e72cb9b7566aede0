"""Manifests of versions: served to others, fetched from them or the origin."""

from collections.abc import Callable, Sequence
from math import floor
from re import compile as compile_pattern
from typing import NamedTuple

import eventlet
from returns.result import Success

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import ModelName, WeightsVersion
from ridgecourse.core.links import Cargo
from ridgecourse.core.manifest import (
    Manifest,
    encode_manifest,
    parse_manifest,
    root_digest,
)
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import OriginUnavailable, WeightsOrigin
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_client import ExchangeFailed, NoConnection
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter

VERSIONS_PATH = "/versions/"
PEER_SECONDS = 0.5
POLL_SECONDS = 0.05
SHARE_HEADER = "Ridgecourse-Share"
"""Share of the version's chunks that the answering process holds."""
SHARE_PARAMETER = "share"
"""Asks for that header alone."""
SHARE = compile_pattern(r"[01]\.\d{4}")
KEPT_VERSIONS = 2
"""Versions kept for others: the newest and the one before, which the origin has."""

LEFT_STATUS = 410
"""Answer of a process that draws no more of a version."""

VersionKey = tuple[ModelName, WeightsVersion]


class PeerAnswer(NamedTuple):
    """What another process tells of a version.

    Attributes:
        status: 200 where it takes part in it.
        data: The manifest, if that was asked for.
        headers: Of the answer.
    """

    status: int
    data: bytes
    headers: dict[str, str]


class Catalogue:
    """The versions whose manifest is known.

    Attributes:
        holdings: By model and version.
        asked: Called with a version that somebody asked for and that is not
            whole here.
        left: Versions that this process will not have whole.
    """

    def __init__(
        self,
        context: ExchangeContext,
        origin: WeightsOrigin,
        asked: Callable[[VersionKey], None] | None = None,
    ) -> None:
        self.context = context
        self.origin = origin
        self.asked = asked
        self.holdings: dict[VersionKey, Holding] = {}
        self.left: set[VersionKey] = set()

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
        if self.asked is not None and (holding is None or not holding.complete):
            self.asked(key)
        if key in self.left:
            return HttpReply(LEFT_STATUS)
        if holding is None:
            return HttpReply(404)
        # Rounded down: only what is whole is told as 1.
        share = floor(holding.share * 10_000) / 10_000
        headers = [(SHARE_HEADER, f"{share:.4f}")]
        body = b"" if SHARE_PARAMETER in request.query else holding.manifest_bytes
        return HttpReply(200, body, headers)

    def ask_share(self, peer: Peer, key: VersionKey) -> float | None:
        """Ask how much of a version another process holds.

        Returns:
            A share from 0 to 1; None where it takes no part in the version, or does
            not answer.
        """
        answer = self._ask_peer(peer, key, f"?{SHARE_PARAMETER}=1")
        if answer is None or answer.status != 200:
            return None
        share = answer.headers.get(SHARE_HEADER, "")
        return float(share) if SHARE.fullmatch(share) else None

    def ask_left(self, peer: Peer, key: VersionKey) -> bool:
        """Ask whether another process has left a version for a newer one."""
        answer = self._ask_peer(peer, key, f"?{SHARE_PARAMETER}=1")
        return answer is not None and answer.status == LEFT_STATUS

    def find(
        self, key: VersionKey, address: str, peers: Sequence[Peer], patience: float
    ) -> Holding | None:
        """Return a version's holding, None where its manifest can't be had now.

        Args:
            key: The version.
            address: HOST:PORT of the origin.
            peers: Whom to ask, over and over.
            patience: Seconds after which the origin is asked instead.
        """
        if key in self.holdings:
            return self.holdings[key]
        ask_origin = boottime() + patience
        while peers and boottime() < ask_origin:
            for peer in peers:
                if holding := self.ask(peer, key):
                    return holding
            eventlet.sleep(POLL_SECONDS)
        return self._ask_origin(key, address)

    def ask(self, peer: Peer, key: VersionKey) -> Holding | None:
        """Ask another process for a manifest; it brings the version in if it can."""
        answer = self._ask_peer(peer, key)
        if answer is None or answer.status != 200:
            return None
        self.context.count_received(Cargo.MANIFEST, len(answer.data), peer.domain)
        parsed = parse_manifest(answer.data)
        return self._keep(key, parsed.unwrap()) if isinstance(parsed, Success) else None

    def _ask_peer(
        self, peer: Peer, key: VersionKey, query: str = ""
    ) -> PeerAnswer | None:
        """Return what another process answers; None where it does not."""
        path = f"{VERSIONS_PATH}{key[0]}/{key[1]}{query}"
        try:
            status, data, headers = self.context.http.fetch(
                "GET", peer.address, path, timeout=PEER_SECONDS
            )
        except (NoConnection, ExchangeFailed):
            # It may be starting, or gone; who asks goes on to others.
            self.context.events.figures.count("manifest_unanswered")
            return None
        return PeerAnswer(status, data, headers)

    def _ask_origin(self, key: VersionKey, address: str) -> Holding | None:
        try:
            holding = self._keep(key, self.origin.manifest(address, *key))
        except OriginUnavailable as error:
            self.context.events.emit(
                EventKind.MANIFEST_UNAVAILABLE, version=str(key[1]), error=str(error)
            )
            return None
        self.context.count_drawn(Cargo.MANIFEST, len(holding.manifest_bytes))
        return holding

    def _keep(self, key: VersionKey, manifest: Manifest) -> Holding:
        if key not in self.holdings:
            data = encode_manifest(manifest)
            self.holdings[key] = Holding(root_digest(data), manifest, data)
        return self.holdings[key]

    def is_outdated(self, key: VersionKey, newer_named: int) -> bool:
        """Tell whether a version is older than those that are kept.

        Args:
            key: The version.
            newer_named: Newer ones that are named. Another may have asked for more.
        """
        newer = [k for k in self.holdings if k[0] == key[0] and k[1] > key[1]]
        return max(newer_named, len(newer)) >= KEPT_VERSIONS

    def drop_old(self, model: ModelName) -> list[Holding]:
        """Forget the versions before the kept ones; return them."""
        known = sorted(key for key in self.holdings if key[0] == model)
        dropped = known[:-KEPT_VERSIONS]
        self.left.difference_update(dropped)
        return [self.holdings.pop(key) for key in dropped]

    def retain_chunks(self) -> None:
        """Drop the stored chunks of versions that are no longer known."""
        places = [place for held in self.holdings.values() for place in held.places]
        self.context.store.retain([place.digest for place in places])
