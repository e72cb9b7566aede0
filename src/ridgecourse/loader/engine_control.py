"""Interface between the loader and a platform's adapter for the model engine."""

from abc import ABC, abstractmethod
from enum import Enum

from msgspec import Struct

from ridgecourse.core.ids import EngineStart, ModelName, Seconds, WeightsVersion
from ridgecourse.core.target_list import HeldLayers


class EngineUnavailable(Exception):
    """The engine gave no usable answer."""


class InvalidReport(EngineUnavailable):
    """The engine's report cannot be decoded."""


class StagingUnanswered(EngineUnavailable):
    """A call that writes a chunk to the staging area got no answer.

    The engine may still carry out the call.
    """


class EngineReport(Struct, frozen=True):
    """State that an engine reports.

    Attributes:
        layers: Layers that the engine serves; None for none.
        orders: Number of orders accepted in this incarnation.
        busy: Whether the engine is carrying out an order.
        queued: Number of waiting requests.
        active: Number of requests in progress.
        cache_used: Tokens of context in memory that cannot be evicted.
        cache_total: Tokens of context that fit into memory.
        pace: Slowdown of the engine relative to its usual speed; 1 for the usual speed.
        started: Start time of the engine; None if the engine does not report it.
        leaving: Whether the engine announces that it leaves.
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
    leaving: bool = False

    def serves(self, version: WeightsVersion, layers: int) -> bool:
        """Check whether the engine serves all layers of a version.

        Args:
            version: The version.
            layers: Number of layers of the model.
        """
        held = self.layers
        if held is None or held.version != version:
            return False
        return held.first == 0 and held.end >= layers


class OrderOutcome(Enum):
    """Result of an order to the engine.

    BEGUN: The engine is carrying out the order.
    HELD: The order is complete, or the engine was already in the ordered state.
    REFUSED: The engine's state does not allow the order.
    UNKNOWN: The engine may have accepted the order.
    EXPIRED: The order was not sent, since the time to send it had passed.
    """

    BEGUN = "begun"
    HELD = "held"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    EXPIRED = "expired"


class StartOrder(Struct, frozen=True):
    """A start order that one incarnation of the engine accepted.

    Attributes:
        version: Version that the engine was ordered to serve.
        started: Start time of that incarnation; None if the engine does not report it.
    """

    version: WeightsVersion
    started: EngineStart | None


class Phase(Enum):
    """Phase of a rollout in one loader."""

    WAITING = "waiting"
    MANIFEST = "manifest"
    TRANSFER = "transfer"
    STAGING = "staging"
    STARTING = "starting"
    SERVING = "serving"


class EngineControl(ABC):
    """Control of the engine on the local instance, and of its staging area."""

    @abstractmethod
    def report(self) -> EngineReport:
        """Return the engine's current report.

        Raises:
            InvalidReport: The answer cannot be decoded.
            EngineUnavailable: The engine gave no usable answer.
        """

    @abstractmethod
    def cold_remaining(self, health_path: str) -> float | None:
        """Ask the engine's health; return the seconds for which it stays cold.

        Args:
            health_path: Path of the health check.

        Returns:
            The seconds, 0 if it is not cold; None if it does not say.

        Raises:
            InvalidReport: The answer cannot be decoded.
            EngineUnavailable: The engine gave no usable answer.
        """

    @abstractmethod
    def start(
        self, model: ModelName, version: WeightsVersion, send_until: Seconds
    ) -> OrderOutcome:
        """Order the engine to serve the staged version after the order in progress.

        Args:
            model: The model.
            version: The version.
            send_until: Time until which the order may be sent.
        """

    @abstractmethod
    def stage(self, model: ModelName, index: int, data: bytes) -> None:
        """Write a chunk to the staging area, replacing the data at its index.

        Raises:
            EngineUnavailable: The engine gave no usable answer.
        """

    @abstractmethod
    def staged(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged chunk; None if nothing is staged at its index.

        Raises:
            EngineUnavailable: The engine gave no usable answer.
        """
