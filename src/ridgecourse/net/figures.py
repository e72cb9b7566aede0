"""Counters and latency histograms, served as text."""

import logging
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator

from ridgecourse.net.address import Address
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter, HttpServer

logger = logging.getLogger(__name__)

FIGURES_PORT = 9464
"""Port of the figures, on each instance; deploy/system.toml names it too."""
FIGURES_PATH = "/metrics"

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
"""Upper bounds in seconds; the objectives of today's routes are 0.15 to 0.5 s."""


class Histogram:
    """How many spans lay in each bucket.

    Attributes:
        counts: One for each bucket, and one for what lies beyond.
        total: Sum of all spans, in seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Take in a span."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Figures:
    """The figures of one process.

    Attributes:
        counters: By name.
        histograms: By name.
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value

    def observe(self, name: str, seconds: float) -> None:
        """Take a span into a histogram."""
        if name not in self.histograms:
            self.histograms[name] = Histogram()
        self.histograms[name].observe(seconds)

    def lines(self) -> Iterator[str]:
        """Yield the figures, one a line, in the Prometheus text format."""
        for name, value in sorted(self.counters.items()):
            yield f"ridgecourse_{name}_total {value}"
        for name, histogram in sorted(self.histograms.items()):
            below = 0
            for bound, count in zip(BUCKETS, histogram.counts, strict=False):
                below += count
                yield f'ridgecourse_{name}_seconds_bucket{{le="{bound}"}} {below}'
            number = sum(histogram.counts)
            yield f'ridgecourse_{name}_seconds_bucket{{le="+Inf"}} {number}'
            yield f"ridgecourse_{name}_seconds_sum {histogram.total:.6f}"
            yield f"ridgecourse_{name}_seconds_count {number}"

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer with all figures."""
        body = "\n".join([*self.lines(), ""]).encode()
        return HttpReply(200, body, [("Content-Type", "text/plain; version=0.0.4")])


class FiguresServer:
    """Serves a process's figures; the process goes on where it cannot."""

    def __init__(self, host: str, figures: Figures) -> None:
        router = HttpRouter()
        router.add("GET", FIGURES_PATH, figures.serve)
        self.server = HttpServer(Address(host, FIGURES_PORT), router)

    def start(self) -> None:
        """Begin to serve, if the port is free."""
        try:
            self.server.start()
        except OSError as error:
            logger.warning("no figures at port %d: %s", FIGURES_PORT, error)

    def close(self) -> None:
        """Stop."""
        self.server.close()
