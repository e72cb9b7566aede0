"""Life cycle of all processes of the system: start, signals, drain and close."""

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
        """Open sockets and start serving."""

    @abstractmethod
    def drain(self) -> None:
        """Accept no new work and return when the work in progress is finished."""

    @abstractmethod
    def close(self) -> None:
        """Release all resources without waiting for work in progress."""

    def reload(self) -> None:
        """Handle a possible change of the settings file (SIGHUP).

        This implementation only logs: a process reads its settings when it starts, so
        that changes take effect at the next start. Work in progress is not affected.
        """
        logger.info("SIGHUP ignored: changed settings take effect at the next start")


def new_incarnation() -> Incarnation:
    """Return a unique id for a new incarnation of a process."""
    return Incarnation(uuid4().hex)


def run_until_signal(process: Process) -> int:
    """Run a process until SIGTERM or SIGINT, then drain and close it.

    SIGHUP is handled because it would otherwise end the process.

    Returns:
        The exit code: 0 after a signal, 1 if the process could not start or drain.
    """
    stop = Signal()

    def on_signal(signal_number: int, frame: Any) -> None:
        if not stop.ready():
            # The signal handler may interrupt the event loop anywhere, so that the
            # event is sent from a green thread.
            eventlet.spawn_after(0, request_stop)

    def request_stop() -> None:
        if not stop.ready():
            stop.send(True)

    def on_hangup(signal_number: int, frame: Any) -> None:
        eventlet.spawn_after(0, process.reload)

    signal.signal(signal.SIGHUP, on_hangup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    try:
        process.start()
    except OSError as error:
        logger.error("process cannot start: %s", error)
        return EXIT_FAILED
    stop.wait()
    return stop_process(process)


def stop_process(process: Process) -> int:
    """Drain and close a process; a failed drain does not prevent the close.

    Returns:
        The exit code.
    """
    exit_code = EXIT_OK
    try:
        process.drain()
    except Exception:
        logger.exception("drain failed; requests in progress are cut off")
        exit_code = EXIT_FAILED
    process.close()
    return exit_code
