"""Streams in progress, by the target that they come from."""

from collections.abc import Sequence

from msgspec import Struct

from ridgecourse.core.ids import TargetId
from ridgecourse.gateway.sender import Order, Stream
from ridgecourse.gateway.terms import Terms


class OpenStream(Struct, frozen=True, eq=False):
    """A stream that a target is sending.

    Attributes:
        order: The request that it answers.
        terms: Terms of its route.
        stream: The stream.
        tried: Targets that have had the request.
    """

    order: Order
    terms: Terms
    stream: Stream
    tried: set[TargetId]

    @property
    def may_move(self) -> bool:
        """Whether another target may go on with it."""
        route = self.terms.route
        return route.resumable and len(self.tried) < route.max_attempts


class OpenStreams:
    """The streams of one gateway.

    Attributes:
        by_target: Those of each target.
    """

    def __init__(self) -> None:
        self.by_target: dict[TargetId, set[OpenStream]] = {}

    def add(self, target: TargetId, stream: OpenStream) -> None:
        """Note a stream that begins."""
        self.by_target.setdefault(target, set()).add(stream)

    def discard(self, target: TargetId, stream: OpenStream) -> None:
        """Note a stream that ended."""
        streams = self.by_target.get(target, set())
        streams.discard(stream)
        if not streams:
            self.by_target.pop(target, None)

    def is_open(self, target: TargetId, stream: OpenStream) -> bool:
        """Tell whether a stream still comes from a target."""
        return stream in self.by_target.get(target, set())

    def movable(self, target: TargetId) -> Sequence[OpenStream]:
        """Return a target's streams with which another one may go on."""
        return [s for s in self.by_target.get(target, set()) if s.may_move]
