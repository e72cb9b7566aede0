"""Draws a time line as text or as one HTML page."""

from collections.abc import Iterable, Iterator, Sequence
from html import escape
from typing import Any

from rich.console import Console
from rich.text import Text

from ridgecourse.core.ids import ProcessName
from ridgecourse.net.events import Event, EventKind

GOOD = {
    EventKind.READY,
    EventKind.VERSION_SERVING,
    EventKind.LOG_BACK,
    EventKind.VERSION_COMPLETE,
}
BAD = {
    EventKind.LOG_LOST,
    EventKind.ROLLOUT_FAILED,
    EventKind.CHUNK_REJECTED,
    EventKind.ORDER_REFUSED,
    EventKind.BAD_INPUT,
    EventKind.TARGET_EJECTED,
}
ID_SHOWN = 12

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


def subject(event: Event) -> str:
    """Return what an event is about."""
    named = (
        ("request", event.request),
        ("change", event.change),
        ("target", event.target),
        ("version", event.version),
    )
    parts = [f"{name}={value[:ID_SHOWN]}" for name, value in named if value]
    if event.offset >= 0:
        parts.append(f"offset={event.offset}")
    return " ".join(parts)


def details(event: Event) -> str:
    """Return an event's further values."""
    return " ".join(f"{name}={show(value)}" for name, value in event.detail.items())


def show(value: Any) -> str:
    """Return a value as text."""
    return "-" if value in ("", None) else str(value)


def mood(kind: EventKind) -> str:
    """Return the class of a kind: good, bad or neither."""
    if kind in GOOD:
        return "good"
    return "bad" if kind in BAD else ""


def print_text(events: Iterable[Event], console: Console) -> None:
    """Print events as text, coloured on a terminal."""
    start: float | None = None
    for event in events:
        start = event.wall if start is None else start
        console.print(text_line(event, start), soft_wrap=True)


def text_line(event: Event, start: float) -> Text:
    """Return one event as a line."""
    style = {"good": "green", "bad": "red", "": "cyan"}[mood(event.kind)]
    line = Text(f"{event.wall - start:+10.3f} {event.clock:7} ")
    line.append(f"{event.process:24} ", style="bold")
    line.append(f"{event.kind.value:20} ", style=style)
    line.append(f"{subject(event)} {details(event)}".strip())
    return line


def html_page(events: Sequence[Event]) -> str:
    """Return events as one page that needs no other file."""
    processes = sorted({event.process for event in events})
    hues = {name: 360 * i // max(1, len(processes)) for i, name in enumerate(processes)}
    start = events[0].wall if events else 0.0
    rows = "\n".join(html_rows(events, hues, start))
    summary = f"{len(events)} events of {len(processes)} processes, in causal order"
    return (
        "<!doctype html>\n<html lang=en><meta charset=utf-8>"
        "<meta name=viewport content='width=device-width'>"
        f"<title>ridgecourse time line</title><style>{STYLE}</style>\n"
        f"<h1>Time line</h1><p>{summary}</p>\n"
        "<input id=filter placeholder='filter: words that a row must have' "
        "aria-label=filter>\n<div class=scroll><table><thead><tr><th>seconds"
        "<th>clock<th>process<th>domain<th>event<th>about<th>detail</thead>\n"
        f"<tbody>\n{rows}\n</tbody></table></div><script>{SCRIPT}</script></html>\n"
    )


def html_rows(
    events: Iterable[Event], hues: dict[ProcessName, int], start: float
) -> Iterator[str]:
    """Yield a table row for each event."""
    for event in events:
        colour = f"hsl({hues[event.process]} 60% 50%)"
        yield (
            f"<tr><td class=time>{event.wall - start:+.3f}"
            f"<td class=clock>{event.clock}"
            f"<td><span class=lane style='border-color:{colour}'>"
            f"{escape(event.process)}</span><td>{escape(event.domain)}"
            f"<td class='{mood(event.kind)}'>{event.kind.value}"
            f"<td class=about>{escape(subject(event))}"
            f"<td class=detail>{escape(details(event))}"
        )
