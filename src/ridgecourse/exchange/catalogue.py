"""Catalogue of version manifests.

Serves known manifests to other processes, and fetches missing manifests from
other processes or, if none of them answers in time, from the origin.
"""

from collections.abc import Callable, Sequence
from math import floor
from re import compile as compile_pattern
from typing import NamedTuple

import eventlet
from returns.result import Success

from ridgecourse.core.fetch_types import PayloadKind
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import ModelName, RootDigest, WeightsVersion
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
"""Path prefix under which manifests are served, followed by MODEL/NUMBER."""
PEER_SECONDS = 0.5
"""Timeout of one request to another process, in seconds."""
POLL_SECONDS = 0.05
"""Pause between two rounds of requests to the peers, in seconds."""
SHARE_HEADER = "Ridgecourse-Share"
"""Response header: share of the version's chunks that the responder holds."""
SHARE_PARAMETER = "share"
"""Query parameter that requests the share header without the manifest."""
SHARE_PATTERN = compile_pattern(r"[01]\.\d{4}")
"""Valid values of the share header."""
RETAINED_VERSIONS = 2
"""Number of versions retained for other processes: the newest version and its
predecessor, which the origin has."""

MAX_MANIFEST_ANSWERS = 4
"""Most answers of the origin that one attempt to get a manifest requests. Of three
answers two agree if one is corrupt."""
SKIPPED_STATUS = 410
"""HTTP status with which a process answers that it has stopped fetching a version."""

VersionKey = tuple[ModelName, WeightsVersion]


class PeerAnswer(NamedTuple):
    """Response of another process to a request about a version.

    Attributes:
        status: HTTP status; 200 if the process participates in the version.
        data: Response body: the manifest, if the request asked for the manifest.
        headers: Response headers.
    """

    status: int
    data: bytes
    headers: dict[str, str]


class Catalogue:
    """The versions whose manifest is known.

    Attributes:
        holdings: Known versions, by model and version number.
        on_request: Called with a version that another process requested and that
            is not complete in this process.
        skipped: Versions that this process will not complete.
        unconfirmed: Digests of the manifests that the origin has sent once, by version.
    """

    def __init__(
        self,
        context: ExchangeContext,
        origin: WeightsOrigin,
        asked: Callable[[VersionKey], None] | None = None,
    ) -> None:
        self.context = context
        self.origin = origin
        self.on_request = asked
        self.holdings: dict[VersionKey, Holding] = {}
        self.skipped: set[VersionKey] = set()
        self.unconfirmed: dict[VersionKey, set[RootDigest]] = {}

    def add_routes(self, router: HttpRouter) -> None:
        """Register the manifest handler on a router."""
        router.add("GET", VERSIONS_PATH, self.serve)

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer a request with a version's manifest or with the held share alone."""
        model, _, number = request.path.removeprefix(VERSIONS_PATH).partition("/")
        if not number.isdecimal():
            return HttpReply(400)
        key = (ModelName(model), WeightsVersion(int(number)))
        holding = self.holdings.get(key)
        if self.on_request is not None and (holding is None or not holding.complete):
            self.on_request(key)
        if key in self.skipped:
            return HttpReply(SKIPPED_STATUS)
        if holding is None:
            return HttpReply(404)
        # Rounded down, so that only a complete version is reported as 1.
        share = floor(holding.share * 10_000) / 10_000
        headers = [(SHARE_HEADER, f"{share:.4f}")]
        body = b"" if SHARE_PARAMETER in request.query else holding.manifest_bytes
        return HttpReply(200, body, headers)

    def ask_share(self, peer: Peer, key: VersionKey) -> float | None:
        """Request the share of a version that another process holds.

        Returns:
            A share from 0 to 1; None if the process does not participate in the
            version or does not answer.
        """
        answer = self._request_from_peer(peer, key, f"?{SHARE_PARAMETER}=1")
        if answer is None or answer.status != 200:
            return None
        share = answer.headers.get(SHARE_HEADER, "")
        return float(share) if SHARE_PATTERN.fullmatch(share) else None

    def ask_skipped(self, peer: Peer, key: VersionKey) -> bool:
        """Check whether another process skipped a version in favour of a newer one."""
        answer = self._request_from_peer(peer, key, f"?{SHARE_PARAMETER}=1")
        return answer is not None and answer.status == SKIPPED_STATUS

    def find(
        self, key: VersionKey, address: str, peers: Sequence[Peer], peers_timeout: float
    ) -> Holding | None:
        """Return a version's holding; None if its manifest is currently unavailable.

        Args:
            key: The version.
            address: HOST:PORT of the origin.
            peers: Processes to ask, repeatedly until one of them answers.
            peers_timeout: Seconds after which the origin is asked instead of the peers.
        """
        if key in self.holdings:
            return self.holdings[key]
        origin_after = boottime() + peers_timeout
        while peers and boottime() < origin_after:
            for peer in peers:
                if holding := self.fetch_manifest(peer, key):
                    return holding
            eventlet.sleep(POLL_SECONDS)
        return self._fetch_from_origin(key, address)

    def fetch_manifest(self, peer: Peer, key: VersionKey) -> Holding | None:
        """Fetch a manifest from another process.

        The request also makes that process fetch the version if it can.

        Returns:
            The version's holding; None if the process has no valid manifest.
        """
        answer = self._request_from_peer(peer, key)
        if answer is None or answer.status != 200:
            return None
        self.context.count_received(PayloadKind.MANIFEST, len(answer.data), peer.domain)
        parsed = parse_manifest(answer.data)
        return (
            self._add_holding(key, parsed.unwrap())
            if isinstance(parsed, Success)
            else None
        )

    def _request_from_peer(
        self, peer: Peer, key: VersionKey, query: str = ""
    ) -> PeerAnswer | None:
        """Return the answer of another process; None if it does not answer."""
        path = f"{VERSIONS_PATH}{key[0]}/{key[1]}{query}"
        try:
            status, data, headers = self.context.http.fetch(
                "GET", peer.address, path, timeout=PEER_SECONDS
            )
        except (NoConnection, ExchangeFailed):
            # The peer may be starting or gone; the caller asks other peers.
            self.context.events.metrics.count("manifest_unanswered")
            return None
        return PeerAnswer(status, data, headers)

    def _fetch_from_origin(self, key: VersionKey, address: str) -> Holding | None:
        """Fetch a manifest from the origin; return None if it is unavailable.

        Nothing else tells whether a manifest is right. It is used once two answers, of
        this attempt or of earlier ones, agree: chunks never match a corrupt one, and
        other processes would copy it.
        """
        try:
            for _ in range(MAX_MANIFEST_ANSWERS):
                manifest = self.origin.manifest(address, *key)
                data = encode_manifest(manifest)
                self.context.count_received_from_origin(PayloadKind.MANIFEST, len(data))
                if self._is_confirmed(key, root_digest(data)):
                    return self._add_holding(key, manifest)
        except OriginUnavailable as error:
            self._report_unavailable(key, str(error))
        else:
            self._report_unavailable(key, "no two answers of the origin agree")
        return None

    def _is_confirmed(self, key: VersionKey, digest: RootDigest) -> bool:
        """Record an answer of the origin; check whether an earlier one was the same."""
        sent = self.unconfirmed.setdefault(key, set())
        if digest in sent:
            del self.unconfirmed[key]
            return True
        if sent:
            self.context.events.emit(
                EventKind.MANIFEST_DIFFERS, version=str(key[1]), digest=digest
            )
        sent.add(digest)
        return False

    def _report_unavailable(self, key: VersionKey, error: str) -> None:
        self.context.events.emit(
            EventKind.MANIFEST_UNAVAILABLE, version=str(key[1]), error=error
        )

    def _add_holding(self, key: VersionKey, manifest: Manifest) -> Holding:
        """Return the version's holding, created from the manifest if missing."""
        if key not in self.holdings:
            data = encode_manifest(manifest)
            self.holdings[key] = Holding(root_digest(data), manifest, data)
        return self.holdings[key]

    def is_outdated(self, key: VersionKey, newer_count: int) -> bool:
        """Check whether a version is older than the retained versions.

        Args:
            key: The version.
            newer_count: Number of newer versions in the version history. The catalogue
                may know more, because other processes requested them.
        """
        newer = [
            known for known in self.holdings if known[0] == key[0] and known[1] > key[1]
        ]
        return max(newer_count, len(newer)) >= RETAINED_VERSIONS

    def drop_old(self, model: ModelName) -> list[Holding]:
        """Remove the versions that are older than the retained ones; return them."""
        known = sorted(key for key in self.holdings if key[0] == model)
        dropped = known[:-RETAINED_VERSIONS]
        self.skipped.difference_update(dropped)
        for key in list(self.unconfirmed):
            if key[0] == model and known and key < known[-1]:
                del self.unconfirmed[key]
        return [self.holdings.pop(key) for key in dropped]

    def retain_chunks(self) -> None:
        """Drop stored chunks that belong to no known version."""
        places = [
            place for holding in self.holdings.values() for place in holding.places
        ]
        self.context.store.retain([place.digest for place in places])
