"""What is known, and told among gateways, of a request under which engines ended."""

from collections.abc import Iterator, Mapping

from msgspec import Struct, field
from msgspec.structs import replace

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.ids import ProcessName, RequestId, RequestSignature, Seconds

MARK_SECONDS = 600.0
"""How long a mark counts. A blocked request is tried once in about that time, so that
one that was blocked wrongly, or whose engines were mended, is served again."""
MOST_TOLD = 8
"""Engines told of one request: several requests fit into a datagram."""


class EngineEnd(Struct, frozen=True, array_like=True):
    """An engine that ended, with how many seconds ago."""

    life: EngineLife
    age: float


class SuspectNews(Struct, frozen=True, array_like=True):
    """What one gateway tells of one request.

    Attributes:
        signature: The request.
        ends: Engines that ended under it.
        cleared: Those of which it has been cleared since.
        trial: Engine where the sender has it running; None for nowhere.
    """

    signature: RequestSignature
    ends: tuple[EngineEnd, ...]
    cleared: tuple[EngineEnd, ...] = ()
    trial: EngineLife | None = None

    def uncleared(self) -> set[EngineLife]:
        """Return the engines whose end counts by this news."""
        return {end.life for end in self.ends} - {end.life for end in self.cleared}

    def older(self, seconds: float) -> "SuspectNews":
        """Return the same news, told so many seconds later."""
        return replace(
            self,
            ends=tuple(EngineEnd(end.life, end.age + seconds) for end in self.ends),
            cleared=tuple(
                EngineEnd(end.life, end.age + seconds) for end in self.cleared
            ),
        )


class Flight(Struct, frozen=True):
    """An own request that is at an engine.

    Attributes:
        request_id: The caller's identity of this attempt.
        signature: What it asks.
        life: The engine.
        address: HOST:PORT of the engine.
    """

    request_id: RequestId
    signature: RequestSignature
    life: EngineLife
    address: str


class Trial(Struct, frozen=True):
    """A suspect that another gateway has running.

    Attributes:
        life: Where.
        until: When it is taken to have ended.
    """

    life: EngineLife
    until: Seconds


class Suspect(Struct):
    """What is known of one request.

    Attributes:
        ends: Engines that ended under it, and when.
        cleared: Engines whose end it has been cleared of, and when they ended.
        trials: Other gateways that have it running.
        changed_at: When anything new was learned of it.
        known_to_all: Whether all gateways are told of it.
    """

    ends: dict[EngineLife, Seconds] = field(default_factory=dict)
    cleared: dict[EngineLife, Seconds] = field(default_factory=dict)
    trials: dict[ProcessName, Trial] = field(default_factory=dict)
    changed_at: Seconds = Seconds(0.0)
    known_to_all: bool = False

    def marks(self, now: Seconds) -> frozenset[EngineLife]:
        """Return the engines whose end counts against it."""
        lives = {
            life
            for life, ended in self.ends.items()
            if life not in self.cleared and now - ended <= MARK_SECONDS
        }
        # A life without a start may be any of the target's.
        told = {life.target for life in lives if life.started is not None}
        return frozenset(
            life
            for life in lives
            if life.started is not None or life.target not in told
        )

    def trial_lives(self, now: Seconds) -> Iterator[EngineLife]:
        """Yield the engines where other gateways have it running."""
        return (trial.life for trial in self.trials.values() if trial.until > now)


def tell_ends(
    ends: Mapping[EngineLife, Seconds], now: Seconds
) -> tuple[EngineEnd, ...]:
    """Return the newest ends with their ages."""
    newest = sorted(ends.items(), key=lambda item: item[1])[-MOST_TOLD:]
    return tuple(EngineEnd(life, round(now - ended, 3)) for life, ended in newest)
