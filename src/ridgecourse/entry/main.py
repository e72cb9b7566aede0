"""Command ``ridgecourse-entry``."""

import ridgecourse.net.patch  # noqa: F401, I001

import sys

from ridgecourse.entry.entry import Entry
from ridgecourse.entry.settings import EntrySettings
from ridgecourse.net.program import make_parser, run_process

DESCRIPTION = "Takes callers' requests and operators' decisions."


def main(arguments: list[str] | None = None) -> int:
    """Run an entry; return the exit code."""
    parser = make_parser("ridgecourse-entry", DESCRIPTION)
    return run_process(parser.parse_args(arguments), EntrySettings, Entry)


if __name__ == "__main__":
    sys.exit(main())
