"""Emits events for changes in the list of targets."""

from collections.abc import Mapping

from ridgecourse.core.ids import TargetId
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.net.events import EventKind, EventStream


def emit_target_events(
    events: EventStream,
    before: Mapping[TargetId, ListedTarget],
    after: Mapping[TargetId, ListedTarget],
) -> None:
    """Emit an event for each target that was added, changed or removed.

    Args:
        events: The event stream.
        before: The previous list, by target.
        after: The current list, by target.
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
            )
        elif known.models != target.models or known.layers != target.layers:
            events.emit(
                EventKind.TARGET_WEIGHTS,
                target=target.target,
                models=dict(target.models),
            )
    for name in [name for name in before if name not in after]:
        events.emit(EventKind.TARGET_GONE, target=name, why="not listed")
