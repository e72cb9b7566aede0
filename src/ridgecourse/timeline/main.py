"""Entry point of ``ridgecourse-timeline``.

The command merges event streams, filters the events, and prints them as text or
writes them to an HTML page.
"""

import sys
from argparse import ArgumentParser
from pathlib import Path

from rich.console import Console

from ridgecourse import __version__
from ridgecourse.net.exit_code import EXIT_OK, EXIT_USAGE
from ridgecourse.timeline.merge import EventFilter, filter_events, merge_streams
from ridgecourse.timeline.render import html_page, print_text


def make_parser() -> ArgumentParser:
    """Return the argument parser."""
    parser = ArgumentParser(
        prog="ridgecourse-timeline",
        description="Merge the event streams of several processes into one timeline.",
    )
    parser.add_argument(
        "streams", nargs="+", type=Path, help="event files, one JSON event per line"
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--check",
        action="store_true",
        help="read and check the streams, print no events",
    )
    parser.add_argument(
        "--html", type=Path, help="write an HTML page to this file instead of text"
    )
    parser.add_argument(
        "--request", default="", help="show only events of this request"
    )
    parser.add_argument("--change", default="", help="show only events of this change")
    parser.add_argument("--target", default="", help="show only events of this target")
    parser.add_argument(
        "--root",
        default="",
        help="show only events of the version with this root digest or prefix",
    )
    parser.add_argument("--kind", default="", help="show only events of this kind")
    parser.add_argument(
        "--process", default="", help="show only events of this process"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Print or write a timeline and return the exit code."""
    options = make_parser().parse_args(arguments)
    missing = [path for path in options.streams if not path.is_file()]
    for path in missing:
        print(f"error: {path}: no such file", file=sys.stderr)
    if missing:
        return EXIT_USAGE
    merged = merge_streams(options.streams)
    if merged.skipped:
        print(
            f"skipped {merged.skipped} lines that are not valid events", file=sys.stderr
        )
    if options.check:
        return EXIT_OK
    event_filter = EventFilter(
        options.request,
        options.change,
        options.target,
        options.root,
        options.kind,
        options.process,
    )
    events = list(filter_events(merged.events, event_filter))
    if options.html is not None:
        options.html.write_text(html_page(events), encoding="utf-8")
    else:
        print_text(events, Console(highlight=False))
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
