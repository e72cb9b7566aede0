"""Measures a process, and serves counters and histograms in the Prometheus format."""

import logging
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator

import eventlet

from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import (
    PROBE_CONNECTIONS,
    HttpReply,
    HttpRequest,
    HttpRouter,
    HttpServer,
)
from ridgecourse.net.threads import spawn_loop

logger = logging.getLogger(__name__)

METRICS_PORT = 9464
"""Port of the metrics on each instance; deploy/system.toml names it too."""
METRICS_PATH = "/metrics"

BUCKET_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
"""Upper bounds of the buckets, in seconds; the latency objectives of the routes are
0.15 to 0.5 s."""

SAMPLE_SECONDS = 0.25
"""Interval between two samples: 4 wake-ups a second, enough to see a busy second."""
MAX_LAG_SECONDS = 0.5
"""Largest lag passed on to ``peak``. A larger lag means that the process was frozen;
after a freeze the timers are on time again."""


class Histogram:
    """Counts durations by bucket.

    Attributes:
        counts: Number of durations in each bucket; the last entry counts those
            above the highest bound.
        total_seconds: Sum of all durations, in seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Record a duration."""
        self.counts[bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self.total_seconds += seconds


class ProcessMetrics:
    """The counters, gauges and histograms of one process.

    Attributes:
        counters: Values of the counters, by name.
        gauges: Values of the gauges, by name.
        histograms: Histograms of durations, by name.
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add a value to a counter."""
        self.counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        if name not in self.histograms:
            self.histograms[name] = Histogram()
        self.histograms[name].observe(seconds)

    def lines(self) -> Iterator[str]:
        """Yield the lines of the Prometheus text format, one metric a line."""
        for name, value in sorted(self.counters.items()):
            yield f"ridgecourse_{name}_total {value}"
        for name, gauge in sorted(self.gauges.items()):
            yield f"ridgecourse_{name} {gauge}"
        for name, histogram in sorted(self.histograms.items()):
            cumulative = 0
            for bound, count in zip(BUCKET_BOUNDS, histogram.counts, strict=False):
                cumulative += count
                yield f'ridgecourse_{name}_seconds_bucket{{le="{bound}"}} {cumulative}'
            total_count = sum(histogram.counts)
            yield f'ridgecourse_{name}_seconds_bucket{{le="+Inf"}} {total_count}'
            yield f"ridgecourse_{name}_seconds_sum {histogram.total_seconds:.6f}"
            yield f"ridgecourse_{name}_seconds_count {total_count}"

    def serve(self, request: HttpRequest) -> HttpReply:
        """Return all metrics as an HTTP reply."""
        body = "\n".join([*self.lines(), ""]).encode()
        return HttpReply(200, body, [("Content-Type", "text/plain; version=0.0.4")])


class MetricsServer:
    """Serves the metrics of a process.

    Without a free port the process runs without serving its metrics.
    """

    def __init__(self, host: str, metrics: ProcessMetrics) -> None:
        router = HttpRouter()
        router.add("GET", METRICS_PATH, metrics.serve)
        address = Address(host, METRICS_PORT)
        self.server = HttpServer(address, router, PROBE_CONNECTIONS)

    def start(self) -> None:
        """Start the server; log a warning if the port is in use."""
        try:
            self.server.start()
        except OSError as error:
            logger.warning("cannot serve metrics on port %d: %s", METRICS_PORT, error)

    def close(self) -> None:
        """Stop the server."""
        self.server.close()


class LoopLag:
    """Measures the lag of the event loop.

    Attributes:
        metrics: Metrics that record the lags, as histogram "loop_lag".
        peak: Recent peak of the lag.
    """

    def __init__(self, metrics: ProcessMetrics) -> None:
        self.metrics = metrics
        self.peak = RecentPeak()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start sampling."""
        self.thread = spawn_loop(self._sample)

    def close(self) -> None:
        """Stop sampling."""
        if self.thread is not None:
            self.thread.kill()

    def _sample(self) -> None:
        while True:
            due = boottime() + SAMPLE_SECONDS
            eventlet.sleep(SAMPLE_SECONDS)
            now = boottime()
            lag = max(0.0, now - due)
            self.metrics.observe("loop_lag", lag)
            self.peak.observe(min(lag, MAX_LAG_SECONDS), now)
