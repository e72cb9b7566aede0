"""Records that cannot be used: counted, and logged once for each key."""

from ridgecourse.core.finding import Finding
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import Topic

KEYS_LOGGED = 64
"""Keys of one topic that are logged and remembered. The store may hold any number of
records of other writers, rewritten each second; all are counted."""
TEXT_LOGGED = 300
"""Longest text of a key or fault in the log, in characters."""


class BadRecords:
    """Notes records that cannot be used.

    Attributes:
        logged: Keys that have been logged, by topic.
    """

    def __init__(self, events: EventStream) -> None:
        self.events = events
        self.logged: dict[Topic, set[str]] = {topic: set() for topic in Topic}

    def note(self, topic: Topic, finding: Finding) -> None:
        """Count a record, and log it if its key is new.

        Args:
            topic: Where it stands.
            finding: Its key as the place, and what is wrong with it.
        """
        self.events.figures.count(f"records_rejected_{topic.value}")
        logged = self.logged[topic]
        if finding.place in logged or len(logged) >= KEYS_LOGGED:
            return
        logged.add(finding.place)
        self.events.emit(
            EventKind.BAD_INPUT,
            topic=topic.value,
            key=finding.place[:TEXT_LOGGED],
            error=finding.message[:TEXT_LOGGED],
        )
