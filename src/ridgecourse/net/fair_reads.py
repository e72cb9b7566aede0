"""Lets a busy connection give way to others.

A read of a socket that has data does not wait, so that a client which sends faster than
its bytes are handled would keep the event loop to itself.
"""

from io import RawIOBase
from typing import Any

import eventlet
from eventlet.semaphore import Semaphore

TURN_BYTES = 64 * 1024
"""Bytes read from a connection before other green threads run."""
TURN_STEPS = 256
"""Chunks of a body that are parsed before other green threads run, which takes some
milliseconds."""


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
