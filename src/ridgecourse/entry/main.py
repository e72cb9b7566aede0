"""Command ``ridgecourse-entry``."""

import ridgecourse.net.import_pause  # noqa: F401, I001
import ridgecourse.net.patch  # noqa: F401

import sys

from ridgecourse.entry.entry import Entry
from ridgecourse.entry.settings import EntrySettings
from ridgecourse.net.import_pause import end_import_pause
from ridgecourse.net.program import make_parser, run_process

end_import_pause()

DESCRIPTION = "Accepts client requests and operators' configuration changes."


def main(arguments: list[str] | None = None) -> int:
    """Run an entry process and return its exit code."""
    parser = make_parser("ridgecourse-entry", DESCRIPTION)
    return run_process(parser.parse_args(arguments), EntrySettings, Entry)


if __name__ == "__main__":
    sys.exit(main())
