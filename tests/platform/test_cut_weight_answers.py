"""Answers of peers and of the origin that the end of their connection cuts at any byte.

A status often says something by itself: nothing is held, nothing is new, a version is
gone. It counts only if the head is whole.
"""

from collections.abc import Callable
from contextlib import closing
from hashlib import sha256
from typing import Any, NamedTuple
from unittest.mock import Mock

import pytest
from cut_answers import (
    FRAMINGS,
    EncodedAnswer,
    Framing,
    ScriptedServer,
    in_chunks,
    length_before_fields,
    server,
    without_length,
)
from msgspec.json import encode
from test_byte_counters import make_context

from ridgecourse.cluster.peer_records import fetch_records
from ridgecourse.cluster.record_server import RecordsResponse
from ridgecourse.core.fetch_types import ORIGIN, Fetch, FetchFailure
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    ModelName,
    Offset,
    RootDigest,
    TargetName,
    WeightsVersion,
)
from ridgecourse.core.manifest import FileEntry, Manifest, encode_manifest
from ridgecourse.exchange.catalogue import SHARE_HEADER, SKIPPED_STATUS, Catalogue
from ridgecourse.exchange.context import sha256_digest
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import OriginUnavailable
from ridgecourse.exchange.transfer import Transfer
from ridgecourse.loader.known_gateways import KnownGateways
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import KeyedRecord, SourceUnavailable, Topic
from ridgecourse.platform.origin import PlatformOrigin
from ridgecourse.wire.codec import encode_message

__all__ = ["server"]

KEY = ModelName("m"), WeightsVersion(2)
NAME = TargetName("10.0.0.9")
CHUNK = b"the bytes of a chunk"
DIGEST = ChunkDigest(sha256(CHUNK).hexdigest())
SMALL_VERSION = Manifest(len(CHUNK), (FileEntry("weights", len(CHUNK), (DIGEST,)),))
"""Smaller than a valid version, so that fewer cuts are possible."""
MANIFEST = Manifest(1024, (FileEntry("weights", 1024, (DIGEST,)),))
PEERS = [Peer(NAME, DomainName("a"), "127.0.0.1:1", "127.0.0.1:2")]
RECORDS = [KeyedRecord("i-1", b"12", Offset(3)), KeyedRecord("i-2", b"34", Offset(4))]

Reader = Callable[[str, HttpClient], Any]
UNANSWERED = "unanswered"


def read_records(address: str, http: HttpClient) -> Any:
    """Return records, end and state of a peer."""
    try:
        answer = fetch_records(http, address, Topic.TARGETS, Offset(3), 5.0)
    except SourceUnavailable:
        return UNANSWERED
    return answer.records, answer.end, answer.lost


def ask_seed(address: str, http: HttpClient) -> Any:
    """Return the gateways that a seed knows; empty also if it did not answer."""
    return KnownGateways([address], http, Mock())._query_seed(address)


def make_catalogue(http: HttpClient) -> Catalogue:
    client: Any = http
    return Catalogue(make_context(client)[0], Mock())


def peer_at(address: str) -> Peer:
    return Peer(NAME, DomainName("hall-a"), address, "")


def fetch_manifest(address: str, http: HttpClient) -> Any:
    """Return the manifest of a peer, None if it gave no valid one."""
    holding = make_catalogue(http).fetch_manifest(peer_at(address), KEY)
    return None if holding is None else holding.manifest


def ask_share(address: str, http: HttpClient) -> Any:
    """Return the share that a peer holds, None if it did not tell."""
    return make_catalogue(http).ask_share(peer_at(address), KEY)


def ask_skipped(address: str, http: HttpClient) -> Any:
    """Return whether a peer has skipped a version."""
    return make_catalogue(http).ask_skipped(peer_at(address), KEY)


def make_transfer(address: str, http: HttpClient) -> Transfer:
    """Return a transfer of one chunk from a peer or the origin at an address."""
    client: Any = http
    context, _ = make_context(client)
    context.digest = sha256_digest
    holding = Holding(RootDigest("root"), SMALL_VERSION, b"")
    origin = PlatformOrigin(http).chunks(address, *KEY)
    return Transfer(context, origin, holding, {NAME: peer_at(address)}, 1)


def fetch_chunk(address: str, http: HttpClient) -> Any:
    """Return a chunk of a peer, or the reason why there is none."""
    return make_transfer(address, http)._get_chunk(Fetch(DIGEST, NAME))


def fetch_origin_chunk(address: str, http: HttpClient) -> Any:
    """Return a chunk of the origin, or the reason why there is none."""
    return make_transfer(address, http)._get_chunk(Fetch(DIGEST, ORIGIN))


def fetch_origin_manifest(address: str, http: HttpClient) -> Any:
    """Return a manifest of the origin, or the class of the error."""
    try:
        return PlatformOrigin(http).manifest(address, *KEY)
    except OriginUnavailable as error:
        return type(error)


class PeerCall(NamedTuple):
    """A call of a peer or of the origin, and the whole answer.

    Attributes:
        read: Makes the call.
        status: Status line of the answer, without the version.
        body: Whole body of the answer.
        expected: What the whole answer leads to.
        failed: What a call without an answer leads to.
        torn: What a body leads to that is cut and has no length; None for ``failed``.
        fields: Fields of the answer beside those of its framing.
    """

    read: Reader
    status: str
    body: bytes
    expected: Any
    failed: Any
    torn: Any = None
    fields: tuple[str, ...] = ()

    def allowed(self, answer: EncodedAnswer, cut: int) -> list[Any]:
        """Return what a call may lead to whose answer is cut."""
        if cut < len(answer.head):
            return [self.failed]
        if not self.status.startswith("200") or self.fields:
            # The head tells all that the outcome depends on.
            return [self.failed, self.expected]
        if answer.ends_by_close:
            return [self.failed if self.torn is None else self.torn]
        return [self.failed]


ORIGIN_MANIFEST = encode({"chunk_bytes": 1024, "digests": [DIGEST]})
SENT_RECORDS = encode_message(RecordsResponse(RECORDS, Offset(5), 0.5))
STALLED, MISSING = FetchFailure.STALLED, FetchFailure.MISSING
CORRUPT, BUSY = FetchFailure.CORRUPT, FetchFailure.BUSY
CALLS = {
    "records of a peer": PeerCall(
        read_records, "200 OK", SENT_RECORDS, (RECORDS, 5, False), UNANSWERED
    ),
    "peer without records": PeerCall(
        read_records, "204 No Content", b"", ([], 0, True), UNANSWERED
    ),
    "gateways of a seed": PeerCall(
        ask_seed, "200 OK", encode_message(PEERS), PEERS, []
    ),
    "manifest of a peer": PeerCall(
        fetch_manifest, "200 OK", encode_manifest(MANIFEST), MANIFEST, None
    ),
    "share of a peer": PeerCall(
        ask_share, "200 OK", b"", 0.75, None, fields=(f"{SHARE_HEADER}: 0.7500",)
    ),
    "version that a peer skipped": PeerCall(
        ask_skipped, f"{SKIPPED_STATUS} Gone", b"", True, False
    ),
    "chunk of a peer": PeerCall(
        fetch_chunk, "200 OK", CHUNK, CHUNK, STALLED, torn=CORRUPT
    ),
    "chunk that a peer lacks": PeerCall(
        fetch_chunk, "404 Not Found", b"{}", MISSING, STALLED
    ),
    "referral of a peer": PeerCall(
        fetch_chunk, "429 Too Many Requests", b"", FetchFailure.REFERRED, STALLED
    ),
    "busy peer": PeerCall(fetch_chunk, "503 Service Unavailable", b"", BUSY, STALLED),
    "chunk of the origin": PeerCall(
        fetch_origin_chunk, "200 OK", CHUNK, CHUNK, STALLED
    ),
    "chunk not found": PeerCall(
        fetch_origin_chunk, "404 Not Found", b"{}", MISSING, STALLED
    ),
    "version gone": PeerCall(fetch_origin_chunk, "410 Gone", b"{}", MISSING, STALLED),
    "busy origin": PeerCall(
        fetch_origin_chunk, "429 Too Many Requests", b"", BUSY, STALLED
    ),
    "manifest of the origin": PeerCall(
        fetch_origin_manifest, "200 OK", ORIGIN_MANIFEST, MANIFEST, OriginUnavailable
    ),
}

CASES = [
    (name, framing)
    for name, case in CALLS.items()
    for framing in FRAMINGS
    # A 204 has no body, so that chunks would contradict it.
    if framing is not in_chunks or not case.status.startswith("204")
]


def make_call(case: PeerCall, server: ScriptedServer, answer: bytes) -> Any:
    """Return what a call leads to."""
    server.answers = [answer]
    with closing(HttpClient()) as http:
        return case.read(server.address, http)


@pytest.mark.parametrize(("name", "framing"), CASES)
def test_cut_answer_of_a_peer_or_origin_is_not_taken_for_whole(
    name: str, framing: Framing, server: ScriptedServer
) -> None:
    # Guards against a version that counts as gone or skipped, a chunk that counts as
    # not held, a peer that counts as cut off from the store and a shorter list.
    case = CALLS[name]
    answer = framing(case.status, list(case.fields), case.body)
    assert make_call(case, server, answer.whole) == case.expected
    for cut in answer.cuts():
        outcome = make_call(case, server, answer.first_bytes(cut))
        assert outcome in case.allowed(answer, cut), answer.first_bytes(cut)


@pytest.mark.parametrize(
    ("framing", "failure"),
    [
        (length_before_fields, CORRUPT),
        (in_chunks, CORRUPT),
        (without_length, STALLED),
    ],
)
def test_cut_chunk_without_a_length_does_not_count_as_changed(
    framing: Framing, failure: FetchFailure, server: ScriptedServer
) -> None:
    # Guards against a transfer that gives a version up, as one that has changed at the
    # origin, because its answers were cut. A whole chunk that is short is corrupt.
    server.answers = [framing("200 OK", [], CHUNK[:-1]).whole]
    with closing(HttpClient()) as http:
        transfer = make_transfer(server.address, http)
        assert transfer._get_chunk(Fetch(DIGEST, ORIGIN)) is failure
    assert bool(transfer.corrupt_counts) == (failure is CORRUPT)
