"""Merges the event streams of several processes into causal order.

Also filters events by the identifiers that they carry.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

from ridgecourse.net.events import Event


class EventFilter(NamedTuple):
    """Criteria that an event must meet; an empty criterion matches every event.

    Attributes:
        request: Identifier of the request.
        change: Identifier of the change.
        target: Name of the target.
        version: Prefix of the version's root digest.
        kind: Kind of the event.
        process: Name of the process that emitted the event.
    """

    request: str = ""
    change: str = ""
    target: str = ""
    version: str = ""
    kind: str = ""
    process: str = ""

    def matches(self, event: Event) -> bool:
        """Check whether an event meets all criteria."""
        return (
            self.request in ("", event.request)
            and self.change in ("", event.change)
            and self.target in ("", event.target)
            and event.version.startswith(self.version)
            and self.kind in ("", event.kind.value)
            and self.process in ("", event.process)
        )


class MergedEvents(NamedTuple):
    """Result of merging event streams.

    Attributes:
        events: Events in causal order: each event follows all events that caused it.
        skipped: Number of lines that are not valid events.
    """

    events: list[Event]
    skipped: int


def merge_streams(paths: Iterable[Path]) -> MergedEvents:
    """Read event streams and return their events in causal order.

    Lamport clocks order causally related events. Events with equal clocks are
    ordered by wall-clock time, then by process, incarnation and sequence number.
    """
    events: list[Event] = []
    skipped = 0
    for path in paths:
        for line in path.read_bytes().splitlines():
            event = parse_event(line)
            if event is None:
                skipped += 1
            else:
                events.append(event)
    events.sort(
        key=lambda event: (
            event.clock,
            event.wall,
            event.process,
            event.incarnation,
            event.seq,
        )
    )
    return MergedEvents(events, skipped)


def parse_event(line: bytes) -> Event | None:
    """Return the event encoded in a line, or None if the line is invalid."""
    try:
        return decode(line, type=Event)
    except DecodeError:
        return None


def filter_events(
    events: Iterable[Event], event_filter: EventFilter
) -> Iterator[Event]:
    """Return an iterator over the events that a filter matches."""
    return (event for event in events if event_filter.matches(event))
