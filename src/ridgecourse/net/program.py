"""Command line of a long-running process with settings in our own format."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from pathlib import Path
from typing import Any

from returns.result import Failure

from ridgecourse import __version__
from ridgecourse.core.problem import render_problems
from ridgecourse.net.exit_code import EXIT_OK, EXIT_USAGE
from ridgecourse.net.logs import set_up_logging
from ridgecourse.net.process import Process, run_until_signal
from ridgecourse.net.settings import Settings, load_settings


def make_parser(program: str, description: str) -> ArgumentParser:
    """Return the command-line parser of a long-running process.

    Args:
        program: Name of the program.
        description: Description of the program for the help text.
    """
    parser = ArgumentParser(prog=program, description=description)
    parser.add_argument("settings", type=Path, help="settings file, JSON with comments")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--log-level", default="info", help="default: info")
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def run_process(
    arguments: Namespace,
    settings_type: type[Settings],
    make_process: Callable[[Any], Process],
) -> int:
    """Check the settings and run a process until it gets a signal to stop.

    Args:
        arguments: Parsed arguments of the parser from ``make_parser``.
        settings_type: Class of the settings.
        make_process: Creates the process from its settings.

    Returns:
        The exit code: 0 after a planned stop, 1 if the process could not start, 2 if
        the settings are invalid.
    """
    loaded = load_settings(arguments.settings, settings_type)
    if isinstance(loaded, Failure):
        print(render_problems(loaded.failure()), file=sys.stderr)
        return EXIT_USAGE
    settings: Any = loaded.unwrap()
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return EXIT_OK
    set_up_logging(settings.process, settings.domain, arguments.log_level)
    return run_until_signal(make_process(settings))
