"""Common start-up of the platform's programs: options, settings, logging, signals."""

import os
import sys
from collections.abc import Callable, Sequence

from msgspec import Struct
from returns.result import Failure

from ridgecourse import __version__
from ridgecourse.core.problem import render_problems
from ridgecourse.core.site import Site
from ridgecourse.net.exit_code import EXIT_OK, EXIT_USAGE
from ridgecourse.net.logs import set_up_logging
from ridgecourse.net.process import run_until_signal
from ridgecourse.net.site_process import SiteProcess
from ridgecourse.platform.names import SETTINGS_VARIABLE
from ridgecourse.platform.settings import SettingsFile


class Options(Struct):
    """Command-line options of a program.

    Attributes:
        settings: Path of the settings file.
        check: Whether to check the settings and exit.
        log_level: Lowest level of the log's messages.
    """

    settings: str = ""
    check: bool = False
    log_level: str = "info"


def parse_options(program: str, arguments: Sequence[str]) -> Options:
    """Return the options of a program.

    The platform starts its programs without arguments. The parser, with the modules
    that it needs, is imported only if there are any.

    Args:
        program: Name of the program for the usage message.
        arguments: Command-line arguments.
    """
    defaults = Options(os.environ.get(SETTINGS_VARIABLE, ""))
    if not arguments:
        return defaults
    from argparse import ArgumentParser

    parser = ArgumentParser(prog=program)
    parser.add_argument(
        "settings",
        nargs="?",
        default=defaults.settings,
        help=f"settings file; default: the path in {SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--log-level",
        default=defaults.log_level,
        help=f"default: {defaults.log_level}",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parsed = parser.parse_args(arguments)
    return Options(parsed.settings, parsed.check, parsed.log_level)


def run_on_platform(
    program: str,
    make_process: Callable[[Site], SiteProcess],
    arguments: list[str] | None = None,
) -> int:
    """Check the settings and run a process until a signal stops it.

    Args:
        program: Name of the program for the usage message.
        make_process: Creates the process from its settings.
        arguments: Command-line arguments; None for those of ``sys.argv``.

    Returns:
        The exit code: 0 after a planned stop, 1 if the process could not start, 2 if
        the settings are invalid.
    """
    options = parse_options(program, sys.argv[1:] if arguments is None else arguments)
    settings = SettingsFile(options.settings)
    loaded = settings.read()
    if isinstance(loaded, Failure):
        print(render_problems(loaded.failure()), file=sys.stderr)
        return EXIT_USAGE
    site = loaded.unwrap()
    if options.check:
        print(f"{options.settings}: ok")
        return EXIT_OK
    set_up_logging(site.process, site.domain, options.log_level)
    process = make_process(site)
    process.watch_settings(settings)
    return run_until_signal(process)
