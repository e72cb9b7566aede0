"""CBOR codec of typed messages.

Each received message is checked against its type before use. An invalid message is
returned as a DecodeFailure and not raised, so that it cannot end a receiving loop.
"""

from typing import Any

import cbor2
from msgspec import ValidationError, convert, to_builtins
from returns.result import Failure, Result, Success


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
