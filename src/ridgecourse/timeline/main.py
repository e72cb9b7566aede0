"""Command ``ridgecourse-timeline``."""

import sys
from argparse import ArgumentParser
from pathlib import Path

from rich.console import Console

from ridgecourse import __version__
from ridgecourse.net.exit_code import EXIT_OK, EXIT_USAGE
from ridgecourse.timeline.merge import Filter, merge_streams, select
from ridgecourse.timeline.render import html_page, print_text


def make_parser() -> ArgumentParser:
    """Return the parser of the arguments."""
    parser = ArgumentParser(
        prog="ridgecourse-timeline",
        description="Merge the event streams of processes into one time line.",
    )
    parser.add_argument("streams", nargs="+", type=Path, help="files of events")
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("--check", action="store_true", help="only read the streams")
    parser.add_argument("--html", type=Path, help="write one HTML page there")
    parser.add_argument("--request", default="", help="only this request")
    parser.add_argument("--change", default="", help="only this change")
    parser.add_argument("--target", default="", help="only this target")
    parser.add_argument("--root", default="", help="only this version's digest")
    parser.add_argument("--kind", default="", help="only events of this kind")
    parser.add_argument("--process", default="", help="only this process")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Draw a time line; return the exit code."""
    parsed = make_parser().parse_args(arguments)
    missing = [path for path in parsed.streams if not path.is_file()]
    for path in missing:
        print(f"error: {path}: no such file", file=sys.stderr)
    if missing:
        return EXIT_USAGE
    merged = merge_streams(parsed.streams)
    if merged.skipped:
        print(f"{merged.skipped} lines are no events", file=sys.stderr)
    if parsed.check:
        return EXIT_OK
    wanted = Filter(
        parsed.request,
        parsed.change,
        parsed.target,
        parsed.root,
        parsed.kind,
        parsed.process,
    )
    events = list(select(merged.events, wanted))
    if parsed.html is not None:
        parsed.html.write_text(html_page(events), encoding="utf-8")
    else:
        print_text(events, Console(highlight=False))
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
