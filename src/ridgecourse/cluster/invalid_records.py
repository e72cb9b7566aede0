"""Counts records that cannot be used, and logs each key once."""

from collections.abc import Iterable, Iterator

from ridgecourse.core.problem import Problem
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.target_list import TargetRecord
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import Topic

MAX_LOGGED_KEYS = 64
"""Most keys of a topic that are logged and remembered. Other writers may put any number
of records into the store and rewrite them each second; all of them are counted."""
MAX_LOGGED_CHARACTERS = 300
"""Longest text of a key or problem in the log, in characters."""


class InvalidRecords:
    """Counts and logs records that cannot be used.

    Attributes:
        logged_keys: Keys that have been logged, by topic.
    """

    def __init__(self, events: EventStream) -> None:
        self.events = events
        self.logged_keys: dict[Topic, set[str]] = {topic: set() for topic in Topic}

    def record(self, topic: Topic, problem: Problem) -> None:
        """Count an invalid record, and log it if its key has not been logged.

        Args:
            topic: The topic of the record.
            problem: The record's key as the place, and why the record is invalid.
        """
        self.events.metrics.count(f"records_rejected_{topic.value}")
        logged_keys = self.logged_keys[topic]
        if problem.place in logged_keys or len(logged_keys) >= MAX_LOGGED_KEYS:
            return
        logged_keys.add(problem.place)
        self.events.emit(
            EventKind.BAD_INPUT,
            topic=topic.value,
            key=problem.place[:MAX_LOGGED_CHARACTERS],
            error=problem.message[:MAX_LOGGED_CHARACTERS],
        )


def find_unknown_services(
    records: Iterable[TargetRecord], config: RoutingConfig | None
) -> Iterator[Problem]:
    """Yield a problem for each entry whose service the configuration does not name.

    These entries stay listed, because the next configuration may name the service.

    Args:
        records: Changes of the list of targets.
        config: The configuration in force; None before the first is known.
    """
    for entry in [record.entry for record in records]:
        if config and entry is not None and entry.service not in config.services:
            yield Problem(entry.target, f"unknown service {entry.service}")
