"""Measures by how much the event loop of the process is late for its timers."""

import eventlet

from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.net.clock import boottime
from ridgecourse.net.figures import ProcessMetrics
from ridgecourse.net.threads import spawn_loop

SAMPLE_SECONDS = 0.25
"""Interval between two samples: 4 wake-ups a second, enough to see a busy second."""
MAX_LAG_SECONDS = 0.5
"""Largest lag passed on to ``peak``. A larger lag means that the process was frozen;
after a freeze the timers are on time again."""


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
