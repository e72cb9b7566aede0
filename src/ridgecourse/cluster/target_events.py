"""Emits events for changes in the list of targets."""

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

from ridgecourse.core.ids import TargetId, index_of
from ridgecourse.core.relisted_targets import HeldTarget
from ridgecourse.core.target_list import ListedTarget, TargetList, TargetRecord
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import RecordBatch


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
