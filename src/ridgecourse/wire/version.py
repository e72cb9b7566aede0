"""Checks whether a peer's protocol version is supported."""

from returns.result import Failure, Result, Success

from ridgecourse.wire.codec import DecodeFailure
from ridgecourse.wire.control import PROTOCOL_VERSION


def check_protocol(version: int) -> Result[int, DecodeFailure]:
    """Return the version, or the reason why it is not supported."""
    if version != PROTOCOL_VERSION:
        message = f"protocol version {version}, expected {PROTOCOL_VERSION}"
        return Failure(DecodeFailure(message))
    return Success(version)
