"""Codecs of typed messages: CBOR, and MessagePack for frequent datagrams.

Each received message is checked against its type before use. An invalid message is
returned as a DecodeFailure and not raised, so that it cannot end a receiving loop.
"""

from typing import Any

import cbor2
from msgspec import DecodeError, ValidationError, convert, msgpack, to_builtins
from returns.result import Failure, Result, Success

PACKED_MARK = b"\xc1"
"""First byte of a packed message. It is unused in MessagePack, and no CBOR message of
this system begins with it."""


class DecodeFailure(Exception):
    """The received bytes are not a message of the expected type."""


def encode_message(message: Any) -> bytes:
    """Encode a typed message as CBOR."""
    return cbor2.dumps(to_builtins(message, builtin_types=(bytes,)))


def decode_message(data: bytes, expected: Any) -> Result[Any, DecodeFailure]:
    """Decode CBOR into a typed message.

    Args:
        data: The received bytes.
        expected: A Struct class, or a union of tagged Struct classes.

    Returns:
        The message, or the reason why the bytes do not hold such a message.
    """
    try:
        raw = cbor2.loads(data)
        return Success(convert(raw, type=expected))
    except ValidationError as error:
        return Failure(DecodeFailure(str(error)))
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        return Failure(DecodeFailure(f"invalid CBOR: {error}"))
    except (OverflowError, MemoryError, AttributeError, OSError) as error:
        return Failure(DecodeFailure(f"unsupported CBOR: {error}"))


def encode_packed(message: Any) -> bytes:
    """Encode an array-like message as MessagePack, after ``PACKED_MARK``."""
    return PACKED_MARK + msgpack.encode(message)


def decode_packed(
    data: bytes, decoder: msgpack.Decoder[Any]
) -> Result[Any, DecodeFailure]:
    """Decode a message that begins with ``PACKED_MARK``.

    Args:
        data: The received bytes.
        decoder: Decoder of the expected messages.

    Returns:
        The message, or the reason why the bytes do not hold such a message.
    """
    try:
        return Success(decoder.decode(memoryview(data)[len(PACKED_MARK) :]))
    except (DecodeError, RecursionError) as error:
        return Failure(DecodeFailure(str(error)))
