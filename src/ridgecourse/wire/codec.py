"""CBOR codec of typed messages.

Everything that comes in is checked against its type before use; what does not
fit is reported as a DecodeFailure, never raised out of a loop.
"""

from typing import Any

import cbor2
from msgspec import ValidationError, convert, to_builtins
from returns.result import Failure, Result, Success


class DecodeFailure(Exception):
    """Bytes that are no message of the expected type."""


def encode_message(message: Any) -> bytes:
    """Return a typed message as CBOR."""
    return cbor2.dumps(to_builtins(message, builtin_types=(bytes,)))


def decode_message(data: bytes, expected: Any) -> Result[Any, DecodeFailure]:
    """Decode CBOR into a typed message.

    Args:
        data: The bytes as received.
        expected: A Struct class or a union of tagged ones.

    Returns:
        The message, or why the bytes are none.
    """
    try:
        raw = cbor2.loads(data)
        return Success(convert(raw, type=expected))
    except ValidationError as error:
        return Failure(DecodeFailure(str(error)))
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        return Failure(DecodeFailure(f"no CBOR: {error}"))
    except (OverflowError, MemoryError, AttributeError, OSError) as error:
        return Failure(DecodeFailure(f"no CBOR of ours: {error}"))
