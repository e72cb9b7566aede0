"""Feed records that a test composes to a ``ClusterView``, as answers of the store.

Tests of invalid records use this module to check which state the view keeps.
"""

from collections.abc import Sequence
from struct import pack
from typing import Any
from unittest.mock import Mock

from gateway_site import LAYERS, MODEL
from hypothesis import strategies as st
from msgspec.json import encode

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import (
    DomainName,
    Incarnation,
    Offset,
    ProcessName,
    ServiceName,
)
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import Topic
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse.platform.store import PlatformStore

TARGET_ENTRY: dict[str, Any] = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_remaining_ms": 0,
    "phase": "both",
    "models": [{"name": MODEL, "version": 1, "adapters": []}],
    "layers": {"from": 0, "target_version": LAYERS, "version": 1},
    "sequence": 4,
    "born": 1_796_000_000_000,
}
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


class PreparedAnswers:
    """HTTP client of the store that returns prepared answers.

    Attributes:
        bodies: Bodies of the answers that are left, in order.
    """

    def __init__(self, *bodies: bytes) -> None:
        self.bodies = list(bodies)

    def fetch(self, *_: Any, **__: Any) -> tuple[int, bytes, dict[str, str]]:
        return 200, self.bodies.pop(0), {}


class RecordingEventStream(EventStream):
    """Event stream that records events instead of writing them.

    Attributes:
        recorded: Kind and fields of each event, in order.
    """

    def __init__(self) -> None:
        super().__init__(ProcessName("p"), Incarnation("i"), DomainName("a"))
        self.recorded: list[tuple[EventKind, dict[str, Any]]] = []

    def emit(self, kind: EventKind, *_: Any, **detail: Any) -> None:
        encode(detail)
        self.metrics.count(kind.value)
        self.recorded.append((kind, detail))

    def bad_input_details(self) -> list[dict[str, Any]]:
        """Return the fields of each bad-input event."""
        return [detail for kind, detail in self.recorded if kind is EventKind.BAD_INPUT]


class ViewReader:
    """A ``ClusterView`` that reads records from prepared answers of the store.

    Attributes:
        events: Events of the view.
        pinned_decisions: Mock of the source of pinned decisions.
        view: The view under test.
        end: Offset after the last record that was read.
    """

    def __init__(self) -> None:
        self.events = RecordingEventStream()
        self.pinned_decisions = Mock()
        decoder = PlatformRecordDecoder()
        self.view = ClusterView(
            Mock(), self.pinned_decisions, decoder, self.events, 8.0
        )
        self.end = 0

    def apply_answer(self, topic: Topic, *records: tuple[bytes, bytes]) -> None:
        """Apply an answer of the store that contains the given keys and values."""
        parts = [raw_record(key, value) for key, value in records]
        self.apply_encoded_answer(topic, parts)

    def apply_encoded_answer(self, topic: Topic, parts: Sequence[bytes]) -> None:
        """Apply an answer of the store that contains the given encoded records."""
        start, self.end = self.end, self.end + len(parts)
        answer = pack(">QQ", self.end, 0) + b"".join(parts)
        store = PlatformStore("store:1", PreparedAnswers(answer))  # type: ignore[arg-type]
        batch = store.read(topic, Offset(start), 0.0)
        assert batch.end == self.end
        self.view.apply(topic, batch, False)

    def list_targets(self, *entries: tuple[str, Any]) -> None:
        """Apply records that list targets, given as pairs of target and entry."""
        self.apply_answer(
            Topic.TARGETS, *((key.encode(), encode(entry)) for key, entry in entries)
        )

    def apply_decision(self, key: str, decision: Any) -> None:
        """Apply the record of an operator's decision."""
        self.apply_answer(Topic.DECISIONS, (key.encode(), encode(decision)))

    def serving_targets(self) -> set[str]:
        """Return the targets that serve the service ``llm``."""
        return {
            target.target for target in self.view.serving_targets(ServiceName("llm"))
        }


def raw_record(key: bytes, value: bytes) -> bytes:
    """Return a record as the store encodes it: lengths, key and value."""
    body = bytes([len(key)]) + key + value
    return pack(">I", len(body)) + body


def with_fields(entry: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return a copy of an entry with other values for the given fields."""
    return {**entry, **fields}


def without_field(entry: dict[str, Any], field: str) -> dict[str, Any]:
    """Return a copy of an entry that lacks a field."""
    return {name: value for name, value in entry.items() if name != field}
