"""Renders a timeline as text or as a self-contained HTML page."""

from collections.abc import Iterable, Iterator, Sequence
from html import escape
from typing import Any

from rich.console import Console
from rich.text import Text

from ridgecourse.core.ids import ProcessName
from ridgecourse.net.events import Event, EventKind

SUCCESS_KINDS = {
    EventKind.READY,
    EventKind.VERSION_SERVING,
    EventKind.LOG_BACK,
    EventKind.VERSION_COMPLETE,
}
FAILURE_KINDS = {
    EventKind.LOG_LOST,
    EventKind.ROLLOUT_FAILED,
    EventKind.CHUNK_REJECTED,
    EventKind.ORDER_REFUSED,
    EventKind.BAD_INPUT,
    EventKind.TARGET_EJECTED,
}
ID_DISPLAY_LENGTH = 12
"""Number of characters shown of an identifier."""

STYLE = """
:root { color-scheme: light dark; --line: #8886; --good: #1a7f37; --bad: #c62828; }
body { font: 14px/1.45 system-ui, sans-serif; margin: 1.5rem; }
h1 { font-size: 1.2rem; margin: 0 0 .2rem; }
p { margin: 0 0 1rem; opacity: .75; }
input { font: inherit; padding: .3rem .5rem; width: 22rem; margin-bottom: 1rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; min-width: 100%; }
th, td { text-align: left; padding: .2rem .6rem; white-space: nowrap;
  border-bottom: 1px solid var(--line); vertical-align: top; }
th { position: sticky; top: 0; background: Canvas; }
td.time, td.clock { font-variant-numeric: tabular-nums; text-align: right; }
td.about { white-space: normal; }
td.detail { white-space: normal; min-width: 16rem; }
.good { color: var(--good); font-weight: 600; }
.bad { color: var(--bad); font-weight: 600; }
.lane { border-left: 3px solid; padding-left: .5rem; }
"""

SCRIPT = """
const box = document.getElementById("filter");
const rows = [...document.querySelectorAll("tbody tr")];
box.addEventListener("input", () => {
  const words = box.value.toLowerCase().split(/\\s+/);
  for (const row of rows) {
    const text = row.textContent.toLowerCase();
    row.hidden = !words.every((word) => text.includes(word));
  }
});
"""


def format_subject(event: Event) -> str:
    """Return the subject identifiers and offset of an event as text."""
    labelled_ids = (
        ("request", event.request),
        ("change", event.change),
        ("target", event.target),
        ("version", event.version),
    )
    parts = [
        f"{name}={value[:ID_DISPLAY_LENGTH]}" for name, value in labelled_ids if value
    ]
    if event.offset >= 0:
        parts.append(f"offset={event.offset}")
    return " ".join(parts)


def format_details(event: Event) -> str:
    """Return the detail fields of an event as text."""
    return " ".join(
        f"{name}={format_value(value)}" for name, value in event.detail.items()
    )


def format_value(value: Any) -> str:
    """Return a value as text; "-" for an empty or missing value."""
    return "-" if value in ("", None) else str(value)


def outcome_class(kind: EventKind) -> str:
    """Return the CSS class of an event kind: "good", "bad" or an empty string."""
    if kind in SUCCESS_KINDS:
        return "good"
    return "bad" if kind in FAILURE_KINDS else ""


def print_text(events: Iterable[Event], console: Console) -> None:
    """Print events as text, in colour on a terminal.

    Times are in seconds since the first event.
    """
    start: float | None = None
    for event in events:
        start = event.wall if start is None else start
        console.print(text_line(event, start), soft_wrap=True)


def text_line(event: Event, start: float) -> Text:
    """Return an event as a line of text; ``start`` is the time of the first event."""
    style = {"good": "green", "bad": "red", "": "cyan"}[outcome_class(event.kind)]
    line = Text(f"{event.wall - start:+10.3f} {event.clock:7} ")
    line.append(f"{event.process:24} ", style="bold")
    line.append(f"{event.kind.value:20} ", style=style)
    line.append(f"{format_subject(event)} {format_details(event)}".strip())
    return line


def html_page(events: Sequence[Event]) -> str:
    """Return events as an HTML page without external resources."""
    processes = sorted({event.process for event in events})
    process_hues = {
        name: 360 * index // max(1, len(processes))
        for index, name in enumerate(processes)
    }
    start = events[0].wall if events else 0.0
    rows = "\n".join(html_rows(events, process_hues, start))
    summary = f"{len(events)} events of {len(processes)} processes, in causal order"
    return (
        "<!doctype html>\n<html lang=en><meta charset=utf-8>"
        "<meta name=viewport content='width=device-width'>"
        f"<title>ridgecourse timeline</title><style>{STYLE}</style>\n"
        f"<h1>Timeline</h1><p>{summary}</p>\n"
        "<input id=filter placeholder='filter: words that a row must contain' "
        "aria-label=filter>\n<div class=scroll><table><thead><tr><th>seconds"
        "<th>clock<th>process<th>domain<th>event<th>about<th>detail</thead>\n"
        f"<tbody>\n{rows}\n</tbody></table></div><script>{SCRIPT}</script></html>\n"
    )


def html_rows(
    events: Iterable[Event], process_hues: dict[ProcessName, int], start: float
) -> Iterator[str]:
    """Yield an HTML table row for each event."""
    for event in events:
        colour = f"hsl({process_hues[event.process]} 60% 50%)"
        yield (
            f"<tr><td class=time>{event.wall - start:+.3f}"
            f"<td class=clock>{event.clock}"
            f"<td><span class=lane style='border-color:{colour}'>"
            f"{escape(event.process)}</span><td>{escape(event.domain)}"
            f"<td class='{outcome_class(event.kind)}'>{event.kind.value}"
            f"<td class=about>{escape(format_subject(event))}"
            f"<td class=detail>{escape(format_details(event))}"
        )
