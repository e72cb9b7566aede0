"""What every process of the system does alike: arguments, start, signals, end."""

import logging
import signal
import sys
from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from pathlib import Path
from typing import Any
from uuid import uuid4

import eventlet
from eventlet.event import Event as Signal
from returns.result import Failure

from ridgecourse import __version__
from ridgecourse.core.finding import render_findings
from ridgecourse.core.ids import Incarnation
from ridgecourse.net.exit_code import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from ridgecourse.net.logs import set_up_logging
from ridgecourse.net.settings import Settings, load_settings

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


def new_incarnation() -> Incarnation:
    """Return the name of a new life of a process."""
    return Incarnation(uuid4().hex)


def make_parser(program: str, description: str) -> ArgumentParser:
    """Return the parser of a long-running process's arguments."""
    parser = ArgumentParser(prog=program, description=description)
    parser.add_argument("settings", type=Path, help="settings file, JSON with comments")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--log-level", default="info", help="default: info")
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def run_process(
    arguments: Namespace, kind: type[Settings], make: Callable[[Any], Process]
) -> int:
    """Check the settings, run a process until it is told to stop.

    Args:
        arguments: From ``make_parser``.
        kind: The settings class.
        make: Makes the process from its settings.

    Returns:
        The exit code: 0 after a planned stop, 1 if it could not start, 2 for
        settings that do not fit.
    """
    loaded = load_settings(arguments.settings, kind)
    if isinstance(loaded, Failure):
        print(render_findings(loaded.failure()), file=sys.stderr)
        return EXIT_USAGE
    settings: Any = loaded.unwrap()
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return EXIT_OK
    set_up_logging(settings.process, settings.domain, arguments.log_level)
    return run_until_signal(make(settings))


def run_until_signal(process: Process) -> int:
    """Run a process until SIGTERM or SIGINT, then drain and close it."""
    stop = Signal()

    def on_signal(number: int, frame: Any) -> None:
        if not stop.ready():
            # Not from within the handler: it may interrupt the loop anywhere.
            eventlet.spawn_after(0, send_once)

    def send_once() -> None:
        if not stop.ready():
            stop.send(True)

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
