"""By how much the process's one thread is late for its timers."""

import eventlet

from ridgecourse.core.recent_peak import RecentPeak
from ridgecourse.net.clock import boottime
from ridgecourse.net.figures import Figures
from ridgecourse.net.threads import spawn_loop

LOOK_SECONDS = 0.25
"""Between two looks: four wake-ups a second, and a busy second does not go unseen."""
LONGEST_LAG_SECONDS = 0.5
"""What is reckoned with at most: a process that was later was frozen, and is late no
more once it has woken."""


class LoopLag:
    """Measures the lag of the event loop.

    Attributes:
        figures: Takes the lags, as ``loop_lag``.
        peak: The largest one lately.
    """

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.peak = RecentPeak()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to look."""
        self.thread = spawn_loop(self._look)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def _look(self) -> None:
        while True:
            due = boottime() + LOOK_SECONDS
            eventlet.sleep(LOOK_SECONDS)
            now = boottime()
            lag = max(0.0, now - due)
            self.figures.observe("loop_lag", lag)
            self.peak.observe(min(lag, LONGEST_LAG_SECONDS), now)
