"""Lines on standard output that never hold the process up."""

import atexit
import os
from collections import deque
from contextlib import suppress

import eventlet
from eventlet.hubs import trampoline

MAX_WAITING_BYTES = 256 * 1024
"""Lines kept while the reader of the output does not read; more are dropped. Some
seconds of a busy gateway."""
READER_SECONDS = 1.0
"""Between two looks at a reader that does not read."""


class LineWriter:
    """Writes lines to a descriptor in the background.

    Attributes:
        dropped: Lines that were dropped since the last one that was written.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.dropped = 0
        self.running = False
        os.set_blocking(descriptor, False)
        atexit.register(self.flush)

    def write(self, line: bytes) -> None:
        """Queue a line, or drop it where too much waits."""
        if self.waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self.lines.append(line)
        self.waiting_bytes += len(line)
        if not self.running:
            self.running = True
            eventlet.spawn(self._drain)

    def _drain(self) -> None:
        try:
            while self.lines:
                if not self._write_some():
                    with suppress(eventlet.Timeout):
                        trampoline(self.descriptor, write=True, timeout=READER_SECONDS)
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            self.lines.clear()
            self.waiting_bytes = 0
        finally:
            self.running = False

    def _write_some(self) -> bool:
        """Write what goes at once; tell whether anything went."""
        data = b"".join(self.lines)
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            return False
        self.lines.clear()
        rest = data[written:]
        if rest:
            self.lines.append(rest)
        self.waiting_bytes = len(rest)
        return True

    def flush(self) -> None:
        """Write what goes without waiting, at the end of the process."""
        with suppress(OSError):
            while self.lines and self._write_some():
                pass
