"""A view that reads what tests put into the store's answers."""

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

ENTRY: dict[str, Any] = {
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


class Answers:
    """The store's answers in place of a connection to it."""

    def __init__(self, *bodies: bytes) -> None:
        self.bodies = list(bodies)

    def fetch(self, *_: Any, **__: Any) -> tuple[int, bytes, dict[str, str]]:
        return 200, self.bodies.pop(0), {}


class NotedEvents(EventStream):
    """Events that are kept in place of being written."""

    def __init__(self) -> None:
        super().__init__(ProcessName("p"), Incarnation("i"), DomainName("a"))
        self.noted: list[tuple[EventKind, dict[str, Any]]] = []

    def emit(self, kind: EventKind, *_: Any, **detail: Any) -> None:
        encode(detail)
        self.metrics.count(kind.value)
        self.noted.append((kind, detail))

    def bad(self) -> list[dict[str, Any]]:
        return [detail for kind, detail in self.noted if kind is EventKind.BAD_INPUT]


class Reader:
    """A view that reads what the store answers."""

    def __init__(self) -> None:
        self.events = NotedEvents()
        self.keeper = Mock()
        decoder = PlatformRecordDecoder()
        self.view = ClusterView(Mock(), self.keeper, decoder, self.events, 8.0)
        self.end = 0

    def read(self, topic: Topic, *records: tuple[bytes, bytes]) -> None:
        """Take in an answer with these keys and values."""
        parts = [raw_record(key, value) for key, value in records]
        self.read_raw(topic, parts)

    def read_raw(self, topic: Topic, parts: Sequence[bytes]) -> None:
        start, self.end = self.end, self.end + len(parts)
        answer = pack(">QQ", self.end, 0) + b"".join(parts)
        store = PlatformStore("store:1", Answers(answer))  # type: ignore[arg-type]
        batch = store.read(topic, Offset(start), 0.0)
        assert batch.end == self.end
        self.view.apply(topic, batch, False)

    def list(self, *entries: tuple[str, Any]) -> None:
        self.read(Topic.TARGETS, *((key.encode(), encode(e)) for key, e in entries))

    def decide(self, key: str, decision: Any) -> None:
        self.read(Topic.DECISIONS, (key.encode(), encode(decision)))

    def serving(self) -> set[str]:
        return {
            target.target for target in self.view.serving_targets(ServiceName("llm"))
        }


def raw_record(key: bytes, value: bytes) -> bytes:
    body = bytes([len(key)]) + key + value
    return pack(">I", len(body)) + body


def change(entry: dict[str, Any], **fields: Any) -> dict[str, Any]:
    return {**entry, **fields}


def without(entry: dict[str, Any], field: str) -> dict[str, Any]:
    return {name: value for name, value in entry.items() if name != field}
