"""Merges the event streams of all processes into causal order."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

from ridgecourse.net.events import Event


class Filter(NamedTuple):
    """Which events are wanted; empty values match all."""

    request: str = ""
    change: str = ""
    target: str = ""
    version: str = ""
    kind: str = ""
    process: str = ""

    def matches(self, event: Event) -> bool:
        """Tell whether an event is wanted."""
        return (
            self.request in ("", event.request)
            and self.change in ("", event.change)
            and self.target in ("", event.target)
            and event.version.startswith(self.version)
            and self.kind in ("", event.kind.value)
            and self.process in ("", event.process)
        )


class Merged(NamedTuple):
    """Events in causal order, and lines that are none.

    Attributes:
        events: In an order in which no event stands before one it follows from.
        skipped: Lines that could not be read.
    """

    events: list[Event]
    skipped: int


def merge_streams(paths: Iterable[Path]) -> Merged:
    """Read event streams and return their events in causal order.

    The Lamport clock orders what is causally related; of what is not, the time
    of day decides, then process and position.
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
    events.sort(key=lambda e: (e.clock, e.wall, e.process, e.incarnation, e.seq))
    return Merged(events, skipped)


def parse_event(line: bytes) -> Event | None:
    """Return the event of a line, None if it is none."""
    try:
        return decode(line, type=Event)
    except DecodeError:
        return None


def select(events: Iterable[Event], wanted: Filter) -> Iterator[Event]:
    """Yield the events that a filter matches."""
    return (event for event in events if wanted.matches(event))
