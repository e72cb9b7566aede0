"""Writes lines to standard output without blocking the process."""

import atexit
import os
from collections import deque
from contextlib import suppress

import eventlet
from eventlet.hubs import trampoline

MAX_BUFFERED_BYTES = 256 * 1024
"""Most bytes buffered while the reader of the output does not read; further lines are
dropped. The buffer holds the output of a busy gateway for some seconds."""
BLOCKED_POLL_SECONDS = 1.0
"""Interval between two attempts to write while the reader does not read."""


class LineWriter:
    """Writes lines to a file descriptor in the background.

    Attributes:
        descriptor: The file descriptor.
        lines: Buffered lines.
        buffered_bytes: Size of the buffered lines.
        dropped: Lines dropped since the counter was last reset.
        is_draining: Whether a green thread is writing the buffered lines.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.is_draining = False
        os.set_blocking(descriptor, False)
        atexit.register(self.flush)

    def write(self, line: bytes) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.lines.append(line)
        self.buffered_bytes += len(line)
        if not self.is_draining:
            self.is_draining = True
            eventlet.spawn(self._write_buffered)

    def _write_buffered(self) -> None:
        try:
            while self.lines:
                if not self._write_available():
                    with suppress(eventlet.Timeout):
                        trampoline(
                            self.descriptor, write=True, timeout=BLOCKED_POLL_SECONDS
                        )
        except OSError:
            # The reader has closed the output, so that there is no place to report the
            # error.
            self.lines.clear()
            self.buffered_bytes = 0
        finally:
            self.is_draining = False

    def _write_available(self) -> bool:
        """Write as many bytes as the descriptor accepts at once.

        Returns:
            Whether any bytes were written.
        """
        data = b"".join(self.lines)
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            return False
        self.lines.clear()
        rest = data[written:]
        if rest:
            self.lines.append(rest)
        self.buffered_bytes = len(rest)
        return True

    def flush(self) -> None:
        """Write what the descriptor accepts without blocking, when the process ends."""
        with suppress(OSError):
            while self.lines and self._write_available():
                pass
