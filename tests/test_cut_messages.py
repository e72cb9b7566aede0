"""A message that is cut off is never decoded as a shorter one."""

from typing import Any

import pytest
from returns.result import Failure

from ridgecourse.cluster.record_server import RecordsResponse
from ridgecourse.core.config_objects import ConfigSnapshot
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import ChunkDigest, DomainName, Offset, TargetName
from ridgecourse.core.manifest import (
    FileEntry,
    Manifest,
    encode_manifest,
    parse_manifest,
)
from ridgecourse.net.record_source import KeyedRecord
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.entry_control import ConfigFull, ConfigRecords

RECORDS = [KeyedRecord(f"i-{number}", b"12345", Offset(number)) for number in range(3)]
PEERS = [
    Peer(TargetName(f"p-{number}"), DomainName("a"), "127.0.0.1:1", "127.0.0.1:2", 9)
    for number in range(3)
]
MESSAGES: dict[str, tuple[Any, Any]] = {
    "records": (RecordsResponse(RECORDS, Offset(3), 0.5), RecordsResponse),
    "peers": (PEERS, list[Peer]),
    "configuration records": (
        ConfigRecords(1, [b"one", b"two"], 7),
        ConfigRecords | ConfigFull,
    ),
    "whole configuration": (
        ConfigFull(ConfigSnapshot(3, [], [], [], [], [], {}), 7),
        ConfigRecords | ConfigFull,
    ),
}


@pytest.mark.parametrize(("message", "expected"), MESSAGES.values(), ids=MESSAGES)
def test_cut_message_of_another_process_is_invalid(message: Any, expected: Any) -> None:
    # Guards against a shorter list of records, peers or changes that looks complete.
    data = encode_message(message)
    assert not isinstance(decode_message(data, expected), Failure)
    for length in range(len(data)):
        assert isinstance(decode_message(data[:length], expected), Failure)


def test_cut_manifest_is_invalid() -> None:
    # Guards against a manifest with fewer chunks than its version has.
    digests = tuple(ChunkDigest(f"{number:064x}") for number in range(3))
    data = encode_manifest(Manifest(1024, (FileEntry("weights", 3072, digests),)))
    assert not isinstance(parse_manifest(data), Failure)
    for length in range(len(data)):
        assert isinstance(parse_manifest(data[:length]), Failure)
