"""What every process of the system does alike: start, signals, end."""

import logging
import signal
from abc import ABC, abstractmethod
from typing import Any
from uuid import uuid4

import eventlet
from eventlet.event import Event as Signal

from ridgecourse.core.ids import Incarnation
from ridgecourse.net.exit_code import EXIT_FAILED, EXIT_OK

logger = logging.getLogger(__name__)


class Process(ABC):
    """A long-running process."""

    @abstractmethod
    def start(self) -> None:
        """Open sockets and start working."""

    @abstractmethod
    def drain(self) -> None:
        """Take no new work and return once what was begun is finished."""

    @abstractmethod
    def close(self) -> None:
        """Release everything at once."""

    def reload(self) -> None:
        """Take notice that the settings file may have changed (SIGHUP).

        All settings are read at the start; what changed takes effect at the
        next one, and nothing in progress is touched.
        """
        logger.info("SIGHUP: settings are read at start and take effect then")


def new_incarnation() -> Incarnation:
    """Return the name of a new life of a process."""
    return Incarnation(uuid4().hex)


def run_until_signal(process: Process) -> int:
    """Run a process until SIGTERM or SIGINT, then drain and close it.

    SIGHUP would end a process that does not handle it.
    """
    stop = Signal()

    def on_signal(number: int, frame: Any) -> None:
        if not stop.ready():
            # Not from within the handler: it may interrupt the loop anywhere.
            eventlet.spawn_after(0, send_once)

    def send_once() -> None:
        if not stop.ready():
            stop.send(True)

    def on_hangup(number: int, frame: Any) -> None:
        eventlet.spawn_after(0, process.reload)

    signal.signal(signal.SIGHUP, on_hangup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    try:
        process.start()
    except OSError as error:
        logger.error("cannot start: %s", error)
        return EXIT_FAILED
    stop.wait()
    process.drain()
    process.close()
    return EXIT_OK
