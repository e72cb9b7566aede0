"""Green threads: loops that restart after an exception, and notification of waiters.

An exception in a loop is logged, so that a fault in one loop does not stop it for good.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet.event import Event as Signal
from eventlet.greenthread import GreenThread

logger = logging.getLogger(__name__)

RESTART_SECONDS = 1.0
"""Pause between an exception and the restart."""


def spawn_loop(function: Callable[..., Any], *arguments: Any) -> GreenThread:
    """Run an endless function in a green thread and restart it after an exception.

    Args:
        function: The function to run. It is not restarted after it has returned.
        arguments: Arguments of the function.

    Returns:
        The green thread. The caller must kill the thread when it closes.
    """
    return eventlet.spawn(_run_with_restarts, function, arguments)


def _run_with_restarts(
    function: Callable[..., Any], arguments: tuple[Any, ...]
) -> None:
    while True:
        try:
            function(*arguments)
            return
        except Exception:
            logger.exception("%s failed and is restarted", function.__qualname__)
            eventlet.sleep(RESTART_SECONDS)


def kill_threads(threads: Iterable[GreenThread]) -> None:
    """Kill green threads, whose ends may change the collection that they are in."""
    for thread in list(threads):
        thread.kill()


class Broadcast:
    """Wakes any number of green threads at the next change."""

    def __init__(self) -> None:
        self.signal = Signal()

    def notify(self) -> None:
        """Wake all green threads that are waiting."""
        signal, self.signal = self.signal, Signal()
        signal.send(True)

    def wait(self, seconds: float | None = None) -> bool:
        """Wait for the next call of ``notify``.

        Args:
            seconds: Longest wait; None for no limit.

        Returns:
            Whether ``notify`` was called before the time ran out.
        """
        return bool(self.signal.wait(seconds))
