"""Emits events for changes in the list of targets, and for records without effect."""

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, NamedTuple

from ridgecourse.core.ids import Offset, TargetId, index_of
from ridgecourse.core.problem import Problem
from ridgecourse.core.relisted_targets import HeldTarget
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.target_list import ListedTarget, TargetList, TargetRecord
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import RecordBatch, Topic

MAX_LOGGED_KEYS = 64
"""Most keys of a topic that are logged and remembered. Other writers may put any number
of records into the store and rewrite them each second; all of them are counted."""
MAX_LOGGED_CHARACTERS = 300
"""Longest text of a key or problem in the log, in characters."""


class EntryReading(NamedTuple):
    """What a choice of a target was based on.

    Attributes:
        offset: Offset of the target's newest entry; None if it is not listed.
        age: Seconds since the store confirmed the list.
    """

    offset: Offset | None
    age: float


@contextmanager
def reported_changes(
    events: EventStream, targets: TargetList, batch: RecordBatch
) -> Iterator[None]:
    """Emit events for what changes in a list of targets meanwhile.

    Args:
        events: The event stream.
        targets: The list.
        batch: The records that change it.
    """
    listed, held = dict(targets.targets), dict(targets.relisted.held)
    yield
    origin = {
        "lag": round(boottime() - batch.read_at, 3),
        "level": batch.relay_hops,
        "end": index_of(batch.end),
    }
    emit_target_events(events, listed, targets.targets, origin)
    emit_hold_events(events, held, targets.relisted.held)


def emit_target_events(
    events: EventStream,
    before: Mapping[TargetId, ListedTarget],
    after: Mapping[TargetId, ListedTarget],
    origin: Mapping[str, Any],
) -> None:
    """Emit an event for each target that was added, changed or removed.

    Args:
        events: The event stream.
        before: The previous list, by target.
        after: The current list, by target.
        origin: Event fields that tell where the change was read.
    """
    for target in after.values():
        known = before.get(target.target)
        state = target.incarnation, target.leaving
        if known is None or (known.incarnation, known.leaving) != state:
            events.emit(
                EventKind.TARGET_LISTED,
                target=target.target,
                service=target.service,
                address=target.address,
                leaving=target.leaving,
                started=target.started,
                models=dict(target.models),
                **origin,
            )
        elif known.models != target.models or known.layers != target.layers:
            events.emit(
                EventKind.TARGET_WEIGHTS,
                target=target.target,
                models=dict(target.models),
            )
    for name in [name for name in before if name not in after]:
        events.emit(EventKind.TARGET_GONE, target=name, why="not listed", **origin)


def emit_overtaken_events(
    events: EventStream, overtaken: Iterable[TargetRecord]
) -> None:
    """Emit an event for each entry that its target had replaced before it was read."""
    for record in overtaken:
        events.emit(
            EventKind.ENTRY_OVERTAKEN,
            target=record.target,
            offset=index_of(record.offset),
            sequence=record.sequence,
        )


def emit_hold_events(
    events: EventStream,
    before: Mapping[TargetId, HeldTarget],
    after: Mapping[TargetId, HeldTarget],
) -> None:
    """Emit an event for each target that is held from now on, or no longer held.

    Args:
        events: The event stream.
        before: The targets that were held, with what was known of them.
        after: The targets that are held.
    """
    now = boottime()
    for target in after.keys() - before.keys():
        held = after[target]
        events.emit(
            EventKind.TARGET_HELD,
            target=target,
            timing=held.timing.value,
            removed=round(now - held.removed_at, 2),
        )
    for target in before.keys() - after.keys():
        held = before[target]
        events.emit(
            EventKind.TARGET_RELEASED,
            target=target,
            held=round(now - held.listed_at, 2),
            answer=held.answer.value if held.answer else "",
        )


def emit_missed_records(
    events: EventStream, topic: Topic, end: Offset, batch: RecordBatch
) -> None:
    """Emit an event for the records of all keys that fill a gap.

    Args:
        events: The event stream.
        topic: The topic.
        end: Offset up to which this process had read.
        batch: The records of another process.
    """
    events.emit(
        EventKind.RECORDS_MISSED,
        offset=index_of(end),
        topic=topic.value,
        whole_from=index_of(batch.whole_from or 0),
        end=index_of(batch.end),
    )


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
