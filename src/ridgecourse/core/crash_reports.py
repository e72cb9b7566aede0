"""Records of suspects, kept and exchanged by gateways.

A suspect is what may crash engines: a whole request, or a part of a prompt, which many
requests may share. An engine that ended while it ran the request, or a request with the
part, is a strike against the suspect, until the suspect is cleared by an answer.
"""

from collections.abc import Iterable, Iterator, Mapping
from enum import Enum

from msgspec import Struct, field
from msgspec.structs import replace

from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import (
    PartSignature,
    ProcessName,
    RequestId,
    RequestSignature,
    Seconds,
    Signature,
)

STRIKE_SECONDS = 600.0
"""Time for which a strike counts. A blocked suspect is tried about once in this time,
so that a suspect that was blocked by mistake, or whose engines were repaired, is served
again."""
MAX_REPORTED_ENDS = 8
"""Number of engines reported for one suspect, so that several suspects fit into a
datagram."""
MAX_CARRIERS = 2
"""Number of requests recorded with a suspected part: whether there is more than one
tells a part from a request that is repeated."""
SIMULTANEOUS_SECONDS = 0.3
"""Engines that end within this time may have a common cause, such as a power failure.
Their ends count as one against a part, since one in common use ran on all of them."""


class SuspectKind(Enum):
    """What is suspected of crashing engines.

    REQUEST: A whole request.
    PART: A part of a prompt.
    """

    REQUEST = "request"
    PART = "part"


class EngineEnd(Struct, frozen=True, array_like=True):
    """An engine that ended.

    Attributes:
        incarnation: Incarnation of the engine.
        age: Seconds since the end.
    """

    incarnation: EngineIncarnation
    age: float


class CrashReport(Struct, frozen=True, array_like=True):
    """The crash report of one gateway on one suspect.

    Attributes:
        signature: Signature of the suspect.
        ends: Engines that ended while they ran the suspect.
        cleared: Engines whose end has been cleared by an answer since.
        trial: Engine on which the sender runs the suspect; None for none.
        kind: What is suspected; earlier releases send and store requests only.
        was_answered: Whether an answer to the suspect is known, at any time.
        carriers: For a part, requests with it that ran at engines that ended, at most
            ``MAX_CARRIERS``.
    """

    signature: Signature
    ends: tuple[EngineEnd, ...]
    cleared: tuple[EngineEnd, ...] = ()
    trial: EngineIncarnation | None = None
    kind: SuspectKind = SuspectKind.REQUEST
    was_answered: bool = False
    carriers: tuple[RequestSignature, ...] = ()

    def uncleared(self) -> set[EngineIncarnation]:
        """Return the engines whose ends are strikes according to this report."""
        return {end.incarnation for end in self.ends} - {
            end.incarnation for end in self.cleared
        }

    def has_expired(self) -> bool:
        """Check whether no end counts any more."""
        return all(end.age > STRIKE_SECONDS for end in self.ends)

    def with_added_age(self, seconds: float) -> "CrashReport":
        """Return the same report with higher ages.

        Args:
            seconds: Seconds to add to each age.
        """
        return replace(
            self,
            ends=tuple(
                EngineEnd(end.incarnation, end.age + seconds) for end in self.ends
            ),
            cleared=tuple(
                EngineEnd(end.incarnation, end.age + seconds) for end in self.cleared
            ),
        )


class Flight(Struct):
    """A request of this gateway that is in flight at an engine.

    Attributes:
        request_id: Identity that the client gave to this attempt.
        signature: Signature of the request.
        incarnation: Incarnation of the engine.
        address: HOST:PORT of the engine.
        parts: Signatures of the parts of its prompt that other requests may share.
        has_settled: Whether the engine went on for some time after it began to answer,
            so that no part of the prompt crashes engines.
    """

    request_id: RequestId
    signature: RequestSignature
    incarnation: EngineIncarnation
    address: str
    parts: tuple[PartSignature, ...] = ()
    has_settled: bool = False

    @property
    def signatures(self) -> tuple[Signature, ...]:
        """Signatures of the request and of the parts of its prompt."""
        return (self.signature, *self.parts)

    def kind_of(self, signature: Signature) -> SuspectKind:
        """Return which kind of suspect one of the signatures is."""
        is_request = signature == self.signature
        return SuspectKind.REQUEST if is_request else SuspectKind.PART


class Trial(Struct, frozen=True):
    """A suspect that another gateway runs on an engine.

    Attributes:
        incarnation: Incarnation of the engine.
        until: Time at which the suspect is assumed to have ended.
    """

    incarnation: EngineIncarnation
    until: Seconds


class Suspect(Struct):
    """The state of one suspect.

    Attributes:
        kind: What is suspected.
        ends: Engines that ended while they ran the suspect, and when.
        cleared: Engines whose end has been cleared by an answer, and when they ended.
        trials: Other gateways that run the suspect.
        changed_at: Time of the last change.
        is_sent_to_all: Whether the reports on the suspect go to all gateways.
        was_answered: Whether an answer to the suspect is known, at any time.
        carriers: For a part, requests with it that ran at engines that ended, at most
            ``MAX_CARRIERS``.
    """

    kind: SuspectKind = SuspectKind.REQUEST
    ends: dict[EngineIncarnation, Seconds] = field(default_factory=dict)
    cleared: dict[EngineIncarnation, Seconds] = field(default_factory=dict)
    trials: dict[ProcessName, Trial] = field(default_factory=dict)
    changed_at: Seconds = Seconds(0.0)
    is_sent_to_all: bool = False
    was_answered: bool = False
    carriers: set[RequestSignature] = field(default_factory=set)

    @property
    def is_shared(self) -> bool:
        """Whether several requests had the suspect as a part when engines ended."""
        return len(self.carriers) >= MAX_CARRIERS

    def add_carriers(self, requests: Iterable[RequestSignature]) -> None:
        """Record requests that had the suspect as a part when engines ended."""
        for request in requests:
            if not self.is_shared:
                self.carriers.add(request)

    def strikes(self, now: Seconds) -> frozenset[EngineIncarnation]:
        """Return the engines whose ends are strikes against the suspect."""
        incarnations = {
            incarnation
            for incarnation, ended_at in self.ends.items()
            if incarnation not in self.cleared and now - ended_at <= STRIKE_SECONDS
        }
        # An incarnation without a start may be any incarnation of its target, so it is
        # no strike next to one with a start.
        targets_with_start = {
            incarnation.target
            for incarnation in incarnations
            if incarnation.started is not None
        }
        return frozenset(
            incarnation
            for incarnation in incarnations
            if incarnation.started is not None
            or incarnation.target not in targets_with_start
        )

    def trial_incarnations(self, now: Seconds) -> Iterator[EngineIncarnation]:
        """Yield the engines on which other gateways run the suspect."""
        return (
            trial.incarnation for trial in self.trials.values() if trial.until > now
        )

    def is_tried_before(self, process: ProcessName, now: Seconds) -> bool:
        """Check whether a gateway whose name is before this one's runs the suspect.

        Args:
            process: Name of this gateway.
            now: Current time.
        """
        return any(
            other < process and trial.until > now
            for other, trial in self.trials.items()
        )


def report_ends(
    ends: Mapping[EngineIncarnation, Seconds], now: Seconds
) -> tuple[EngineEnd, ...]:
    """Return the ends with their ages, as they are sent to other gateways.

    Of more than ``MAX_REPORTED_ENDS`` these are the newest that are not simultaneous,
    then the newest others, the oldest first.
    """
    ordered = sorted(ends.items(), key=lambda item: item[1])
    if len(ordered) > MAX_REPORTED_ENDS:
        separate = set(find_separate(ends.values()))
        ordered.sort(key=lambda item: (item[1] in separate, item[1]))
        ordered = sorted(ordered[-MAX_REPORTED_ENDS:], key=lambda item: item[1])
    return tuple(
        EngineEnd(incarnation, round(now - ended_at, 3))
        for incarnation, ended_at in ordered
    )


def find_separate(ended_at: Iterable[Seconds]) -> Iterator[Seconds]:
    """Yield the time of the first of each group of simultaneous ends."""
    first: Seconds | None = None
    for at in sorted(ended_at):
        if first is None or at - first > SIMULTANEOUS_SECONDS:
            first = at
            yield at
