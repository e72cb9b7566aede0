"""Whether a peer's protocol version can be talked to."""

from returns.result import Failure, Result, Success

from ridgecourse.wire.codec import DecodeFailure
from ridgecourse.wire.control import PROTOCOL_VERSION


def check_protocol(version: int) -> Result[int, DecodeFailure]:
    """Return the version, or why it cannot be talked to."""
    if version != PROTOCOL_VERSION:
        message = f"protocol version {version}, expected {PROTOCOL_VERSION}"
        return Failure(DecodeFailure(message))
    return Success(version)
