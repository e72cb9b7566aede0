"""What a platform's adapter provides to the loader."""

from abc import ABC, abstractmethod
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import EngineStart, ModelName, WeightsVersion
from ridgecourse.core.targets import HeldLayers


class EngineUnavailable(Exception):
    """The engine gave no usable answer."""


class InvalidReport(EngineUnavailable):
    """The engine's report cannot be read."""


class StagingUnanswered(EngineUnavailable):
    """The engine may still carry out a call that put a chunk into its staging area."""


class EngineReport(Struct, frozen=True):
    """What an engine tells of itself.

    Attributes:
        layers: Layers that it serves; None for none.
        orders: Orders taken so far in this life.
        busy: Whether it carries out an order.
        queued: Requests that wait.
        active: Requests in progress.
        cache_used: Tokens of context in memory that cannot give way.
        cache_total: Tokens of context that fit.
        pace: How much slower than usual it is; 1 for usual.
        started: When it started; None if it does not tell.
    """

    layers: HeldLayers | None
    orders: int
    busy: bool
    queued: int
    active: int
    cache_used: int
    cache_total: int
    pace: float = 1.0
    started: EngineStart | None = None

    def serves(self, version: WeightsVersion, layers: int) -> bool:
        """Tell whether it serves a whole model of a version."""
        held = self.layers
        if held is None or held.version != version:
            return False
        return held.first == 0 and held.end >= layers


class OrderOutcome(Enum):
    """What became of an order.

    BEGUN: The engine carries it out.
    HELD: It is done, or was already.
    REFUSED: It does not fit the engine's state.
    UNKNOWN: It may have been taken.
    """

    BEGUN = "begun"
    HELD = "held"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class StartOrder(Struct, frozen=True):
    """An order to start that one life of the engine took.

    Attributes:
        version: What is to be served.
        started: When that life started; None if it does not tell.
    """

    version: WeightsVersion
    started: EngineStart | None


class Phase(Enum):
    """What a loader is doing."""

    WAITING = "waiting"
    MANIFEST = "manifest"
    TRANSFER = "transfer"
    STAGING = "staging"
    STARTING = "starting"
    SERVING = "serving"


class EngineControl(ABC):
    """Orders to the engine on the own instance, and its staging area."""

    @abstractmethod
    def report(self) -> EngineReport:
        """Return what it tells of itself.

        Raises:
            InvalidReport: The answer cannot be read.
            EngineUnavailable: It gave no usable answer.
        """

    @abstractmethod
    def start(self, model: ModelName, version: WeightsVersion) -> OrderOutcome:
        """Order it to serve what lies staged, after what it has begun."""

    @abstractmethod
    def stage(self, model: ModelName, index: int, data: bytes) -> None:
        """Put a chunk into the staging area, over what lies there.

        Raises:
            EngineUnavailable: It gave no usable answer.
        """

    @abstractmethod
    def staged(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged chunk, None where there is none.

        Raises:
            EngineUnavailable: It gave no usable answer.
        """
