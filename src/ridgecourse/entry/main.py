"""Command ``ridgecourse-entry``."""

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402

from ridgecourse.entry.entry import Entry  # noqa: E402
from ridgecourse.entry.settings import EntrySettings  # noqa: E402
from ridgecourse.net.process import make_parser, run_process  # noqa: E402

DESCRIPTION = "Takes callers' requests and operators' decisions."


def main(arguments: list[str] | None = None) -> int:
    """Run an entry; return the exit code."""
    parser = make_parser("ridgecourse-entry", DESCRIPTION)
    return run_process(parser.parse_args(arguments), EntrySettings, Entry)


if __name__ == "__main__":
    sys.exit(main())
