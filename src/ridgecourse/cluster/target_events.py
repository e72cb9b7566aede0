"""Tells by events what changed in the list of targets."""

from collections.abc import Mapping

from ridgecourse.core.ids import TargetId
from ridgecourse.core.targets import ListedTarget
from ridgecourse.net.events import EventKind, EventStream


def note_targets(
    events: EventStream,
    before: Mapping[TargetId, ListedTarget],
    after: Mapping[TargetId, ListedTarget],
) -> None:
    """Emit an event for each target that came, changed or went.

    Args:
        events: Where to.
        before: The list as it was, by name.
        after: The list as it is.
    """
    for target in after.values():
        known = before.get(target.target)
        place = target.life, target.leaving
        if known is None or (known.life, known.leaving) != place:
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
