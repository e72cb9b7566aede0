"""Framing of the chunk stream from an agent to its engine."""

from ridgecourse.core.ids import ChunkDigest
from ridgecourse.core.manifest import DIGEST_HEX_LENGTH

TICKET_HEADER = "Ridgecourse-Ticket"
"""Request header: the ticket with which an engine fetches the version that it was
ordered to load."""
FRAME_HEADER_BYTES = DIGEST_HEX_LENGTH + 8
"""Size of a frame header: hexadecimal digest and 8 bytes of length."""


def frame_header(digest: ChunkDigest, length: int) -> bytes:
    """Return the header that precedes a chunk's bytes in the stream to an engine."""
    return digest.encode() + length.to_bytes(8, "big")
