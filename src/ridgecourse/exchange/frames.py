"""How an agent hands chunks to its engine in one stream."""

from ridgecourse.core.ids import ChunkDigest
from ridgecourse.core.manifest import DIGEST_HEX_LENGTH

TICKET_HEADER = "Ridgecourse-Ticket"
"""Shown by an engine to fetch the version that it was ordered to load."""
FRAME_HEADER_BYTES = DIGEST_HEX_LENGTH + 8


def frame_header(digest: ChunkDigest, length: int) -> bytes:
    """Return what stands before a chunk's bytes in the stream to an engine."""
    return digest.encode() + length.to_bytes(8, "big")
