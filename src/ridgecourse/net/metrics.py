"""Sends metrics over ``statsd``; without a configured address nothing is sent.

``Metric`` contains the names of all metrics, and docs/OPERATIONS.md lists them.
"""

from enum import Enum
from typing import TYPE_CHECKING

from ridgecourse.core.ids import ProcessName
from ridgecourse.net.address import parse_address

if TYPE_CHECKING:
    from statsd import StatsClient


class Metric(Enum):
    """The names of all metrics, with the prefix "ridgecourse.PROCESS"."""

    REQUESTS = "requests"
    COMPLETED = "requests.completed"
    NOT_RUN = "requests.not_run"
    UNKNOWN = "requests.unknown"
    RETRIES = "requests.retries"
    REQUEST_TIME = "requests.time"
    IN_FLIGHT = "requests.in_flight"
    QUEUE_LENGTH = "queue.length"
    CONFIG_OFFSET = "config.offset"
    LOG_FAILURES = "log.failures"
    CHUNKS_FETCHED = "chunks.fetched"
    CHUNKS_REJECTED = "chunks.rejected"
    BYTES_FROM_ORIGIN = "bytes.from_origin"
    BYTES_ACROSS_DOMAINS = "bytes.across_domains"
    BAD_INPUT = "bad_input"


def open_client(process: ProcessName, address: str) -> "StatsClient":
    """Return a statsd client.

    The function imports the library itself, because most processes send no metrics.

    Args:
        process: Name of the process; part of the prefix of all metrics.
        address: HOST:PORT of the statsd server.
    """
    from statsd import StatsClient

    host, port = parse_address(address)
    return StatsClient(host, port, prefix=f"ridgecourse.{process}")


class Metrics:
    """Sends metrics over UDP.

    Attributes:
        client: The statsd client; None without a configured address.
    """

    def __init__(self, process: ProcessName, address: str | None) -> None:
        self.client: StatsClient | None = None
        if address is not None:
            self.client = open_client(process, address)

    def count(self, metric: Metric, value: int = 1) -> None:
        """Add a value to a counter."""
        if self.client is not None:
            self.client.incr(metric.value, value)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        if self.client is not None:
            self.client.gauge(metric.value, value)

    def time(self, metric: Metric, seconds: float) -> None:
        """Record a duration."""
        if self.client is not None:
            self.client.timing(metric.value, seconds * 1000.0)

    def close(self) -> None:
        """Close the socket."""
        if self.client is not None:
            self.client.close()
