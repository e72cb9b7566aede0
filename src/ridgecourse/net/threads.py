"""Green threads: loops that restart, notification of waiters, and turns of busy ones.

An exception in a loop is logged, so that a fault in one loop does not stop it for good.

A read of a socket that has data does not wait, so that a client which sends faster than
its bytes are handled would keep the event loop to itself. Such threads take turns.
"""

import logging
from collections.abc import Callable, Iterable
from io import RawIOBase
from typing import Any

import eventlet
from eventlet.event import Event as Signal
from eventlet.greenthread import GreenThread
from eventlet.semaphore import Semaphore

logger = logging.getLogger(__name__)

RESTART_SECONDS = 1.0
"""Pause between an exception and the restart."""
TURN_BYTES = 64 * 1024
"""Bytes read from a connection before other green threads run."""
TURN_STEPS = 256
"""Chunks of a body that are parsed before other green threads run, which takes some
milliseconds."""


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


class FairReader(RawIOBase):
    """Reads a socket, and lets other green threads run after ``TURN_BYTES``.

    Attributes:
        raw: The unbuffered file of the socket.
        left_bytes: Bytes that may be read before others run.
    """

    def __init__(self, raw: Any) -> None:
        self.raw = raw
        self.left_bytes = TURN_BYTES

    def readable(self) -> bool:
        """Return that the file can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read bytes into a buffer; return their number, 0 at the end."""
        if self.left_bytes <= 0:
            eventlet.sleep(0)
            self.left_bytes = TURN_BYTES
        size: int = self.raw.readinto(buffer)
        self.left_bytes -= size
        return size

    def close(self) -> None:
        """Close the file of the socket."""
        self.raw.close()
        super().close()


class ParseTurns:
    """Lets one green thread at a time do a turn of costly work.

    However many clients send bodies in tiny chunks, other green threads run after each
    turn of one of them, instead of after a turn of each.
    """

    def __init__(self) -> None:
        self.semaphore = Semaphore(1)

    def wait(self) -> None:
        """Let all other green threads run, then wait for the next turn."""
        with self.semaphore:
            eventlet.sleep(0)


class StepCounter:
    """Counts the steps of one green thread's turn.

    Attributes:
        turns: The turns that are shared by the process.
        left_steps: Steps that are left of the present turn.
    """

    def __init__(self, turns: ParseTurns) -> None:
        self.turns = turns
        self.left_steps = TURN_STEPS

    def step(self) -> None:
        """Count a step; wait for the next turn if this one is used up."""
        self.left_steps -= 1
        if self.left_steps <= 0:
            self.turns.wait()
            self.left_steps = TURN_STEPS


PARSE_TURNS = ParseTurns()
"""Turns of all servers of the process, which share one event loop."""
