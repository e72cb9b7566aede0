"""Command line of a long-running process with settings of our own."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from pathlib import Path
from typing import Any

from returns.result import Failure

from ridgecourse import __version__
from ridgecourse.core.finding import render_findings
from ridgecourse.net.exit_code import EXIT_OK, EXIT_USAGE
from ridgecourse.net.logs import set_up_logging
from ridgecourse.net.process import Process, run_until_signal
from ridgecourse.net.settings import Settings, load_settings


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
