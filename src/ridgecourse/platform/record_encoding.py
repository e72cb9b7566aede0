"""Encoding of the store's records, and of its answers that contain records.

A record that cannot be decoded is returned as broken, not dropped, so that it still
replaces older records of its key.
"""

from base64 import b64decode
from collections.abc import Iterator, Sequence
from struct import pack, unpack_from
from typing import Annotated

from msgspec import DecodeError, Meta, Raw, Struct, field
from msgspec.json import decode

from ridgecourse.core.ids import MAX_INDEX, Offset, era_of, index_of, make_offset
from ridgecourse.net.record_source import KeyedRecord, SourceUnavailable

NO_KEY = ""
"""Key of records whose own key cannot be decoded. No valid record has this key."""
HEADER_BYTES = 16
"""Size of the header of an answer, before its first record."""
LENGTH_PREFIX_BYTES = 4
"""Size of the length that precedes each record."""


class ItemKey(Struct):
    """The key of a record. Other fields are ignored, so they may be invalid."""

    key: str = field(name="key_file")


class NewestItem(Struct):
    """The newest record of a key.

    Attributes:
        key: Key of the record. Despite the platform's name for this field it is not a
            file.
        value: Value of the record in base64.
        offset: Position of the record in the topic.
    """

    key: str = field(name="key_file")
    value: str
    offset: Annotated[int, Meta(ge=0, le=MAX_INDEX)]


class NewestPage(Struct):
    """A page of newest records.

    Attributes:
        items: The records, each decoded separately, so that an invalid record does not
            affect the others.
        end_offset: Offset after the last record of the topic.
        truncated: Whether there are further pages.
    """

    items: list[Raw]
    end_offset: Annotated[int, Meta(ge=0, le=MAX_INDEX)]
    truncated: bool = False


class GoneAnswer(Struct):
    """The answer to a read of records that the store has dropped.

    Attributes:
        first: Offset of the first record that it still has.
    """

    first: Annotated[int, Meta(ge=0, le=MAX_INDEX)]


def encode_record(key: str, value: bytes) -> bytes:
    """Return the encoding of a record of a keyed topic; see ``decode_records``."""
    key_bytes = key.encode()
    record = bytes([len(key_bytes)]) + key_bytes + value
    return pack(">I", len(record)) + record


def find_next_key(page: NewestPage, after_key: str) -> str:
    """Return the key after which the next page begins.

    Args:
        page: The last page that was read.
        after_key: The key after which ``page`` begins; empty for the first page.

    Raises:
        SourceUnavailable: The page has no key other than ``after_key``, so that reading
            cannot continue.
    """
    for item in reversed(page.items):
        key = decode_key(item)
        if key not in (NO_KEY, after_key):
            return key
    raise SourceUnavailable(
        "the page of newest records has no key from which the next page could continue"
    )


def decode_item(item: Raw, era: int, end: int) -> KeyedRecord:
    """Decode a record of a page of newest records.

    Args:
        item: The encoded record.
        era: Era of the store.
        end: End of the topic according to the page. A record that cannot be decoded
            gets the last offset before this end. It then replaces the known record of
            its key, and the next record written for the key replaces it.

    Returns:
        The record, marked as broken if it cannot be decoded.
    """
    try:
        fields = decode(item, type=NewestItem)
        value = b64decode(fields.value, validate=True)
    except (ValueError, RecursionError) as error:
        offset = make_offset(era, max(0, end - 1))
        return KeyedRecord(decode_key(item), b"", offset, str(error))
    return KeyedRecord(fields.key, value, make_offset(era, fields.offset))


def decode_key(item: Raw) -> str:
    """Return the key of a record of a page, or ``NO_KEY`` if it has no valid key."""
    try:
        return decode(item, type=ItemKey).key
    except (DecodeError, RecursionError):
        return NO_KEY


def decode_records(data: bytes, start: Offset) -> tuple[Sequence[KeyedRecord], Offset]:
    """Decode an answer with records of a keyed topic.

    The answer starts with the end offset of the topic and the first retained offset, 8
    bytes each. Each record has 4 bytes with its length, 1 byte with the length of the
    key, the key and the value. If the answer is cut off within a record, the complete
    records before it are returned.

    Args:
        data: Body of the answer.
        start: Offset of the first record.

    Returns:
        The records and the end offset of the topic.

    Raises:
        struct.error: The answer ends within its header.
        ValueError: The answer has no complete record although its header names an end
            after ``start``, or an end beyond the largest offset.
    """
    end, _first_retained = unpack_from(">QQ", data)
    if end > MAX_INDEX:
        raise ValueError(f"end offset {end}, expected at most {MAX_INDEX}")
    bodies = list(split_records(data[HEADER_BYTES:]))
    if not bodies and (len(data) > HEADER_BYTES or end > index_of(start)):
        raise ValueError("the answer ends before the end of its first record")
    records = [
        decode_record(body, Offset(start + index)) for index, body in enumerate(bodies)
    ]
    return records, make_offset(era_of(start), end)


def split_records(data: bytes) -> Iterator[bytes]:
    """Yield the complete records of an answer, without their length prefixes."""
    position = 0
    while position + LENGTH_PREFIX_BYTES <= len(data):
        (length,) = unpack_from(">I", data, position)
        position += LENGTH_PREFIX_BYTES + length
        if position > len(data):
            return
        yield data[position - length : position]


def decode_record(body: bytes, offset: Offset) -> KeyedRecord:
    """Decode a record of a keyed topic; without a valid key it is marked as broken."""
    key_end = 1 + body[0] if body else 1
    key_bytes = body[1:key_end]
    if len(body) < key_end:
        return KeyedRecord(NO_KEY, b"", offset, "the record ends within its key")
    try:
        return KeyedRecord(key_bytes.decode(), body[key_end:], offset)
    except UnicodeDecodeError as error:
        key = key_bytes.decode(errors="backslashreplace")
        return KeyedRecord(key, b"", offset, str(error))
