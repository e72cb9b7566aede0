"""Output of ``ridgecourse-ctl``, as text and tables or as JSON."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from json import loads
from typing import Any

from protobuf import Message
from rich.console import Console
from rich.live import Live
from rich.progress import BarColumn, DownloadColumn, Progress, TextColumn
from rich.progress_bar import ProgressBar
from rich.table import Table

from ridgecourse.wire import admin_pb as pb

DIGEST_DISPLAY_LENGTH = 12
"""Number of hexadecimal digits shown of a digest."""


class Output:
    """Prints results to standard output and errors to standard error.

    Attributes:
        as_json: Whether to print one JSON object per result and nothing else.
        console: Console for results.
        error_console: Console for errors and progress.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self.console = Console(file=sys.stdout, soft_wrap=True, highlight=False)
        self.error_console = Console(file=sys.stderr, soft_wrap=True, highlight=False)

    def _print_json(self, message: Message[Any]) -> None:
        sys.stdout.write(message.to_json() + "\n")
        sys.stdout.flush()

    def error(self, message: str, hint: str) -> None:
        """Print an error and a hint on what to do next."""
        self.error_console.print(f"error: {message}", style="red", markup=False)
        self.error_console.print(f"  {hint}", markup=False)

    def change(self, reply: pb.ChangeReply) -> None:
        """Print the outcome of a change."""
        if self.as_json:
            self._print_json(reply)
            return
        text = f"{reply.status.name.lower()}: change {reply.change_id}"
        if reply.status is pb.ChangeStatus.ACCEPTED:
            text += f", revision {reply.revision}, offset {reply.offset}"
        if reply.reason:
            text += f" ({reply.reason})"
        self.console.print(text, markup=False)
        if reply.status is pb.ChangeStatus.UNKNOWN:
            hint = f"  query the outcome later with: change show {reply.change_id}"
            self.console.print(hint, markup=False)

    def configuration(self, reply: pb.ShowReply) -> None:
        """Print a fleet's configuration."""
        if self.as_json:
            self._print_json(reply)
            return
        digest = reply.digest[:DIGEST_DISPLAY_LENGTH]
        table = Table("kind", "name", "revision", "fields")
        table.title = f"offset {reply.offset}, digest {digest}"
        for item in reply.objects:
            fields = loads(item.fields_json)
            text = ", ".join(f"{name}={value}" for name, value in fields.items())
            table.add_row(item.kind, item.name, str(item.revision), text)
        self.console.print(table)

    def rollout(self, reply: pb.ShowRolloutReply) -> None:
        """Print a table of the progress of each target."""
        if self.as_json:
            self._print_json(reply)
            return
        self.console.print(rollout_table(reply))

    @contextmanager
    def progress(self, text: str, total: int) -> Iterator[Callable[[int], None]]:
        """Show a progress bar and yield a function that advances it by a byte count."""
        columns = (TextColumn("{task.description}"), BarColumn(), DownloadColumn())
        with Progress(
            *columns, console=self.error_console, disable=self.as_json
        ) as bar:
            task = bar.add_task(text, total=total)
            yield lambda size: bar.advance(task, size)

    @contextmanager
    def watch(self) -> Iterator[Callable[[pb.ShowRolloutReply], None]]:
        """Yield a function that displays a rollout's progress in place."""
        if self.as_json:
            yield self._print_json
            return
        with Live(console=self.console) as live:
            yield lambda reply: live.update(rollout_table(reply))


def rollout_table(reply: pb.ShowRolloutReply) -> Table:
    """Return the progress of each target as a table."""
    table = Table("target", "domain", "phase", "held", "ready", "in flight", "error")
    table.title = (
        f"{reply.model} {reply.version} {reply.root_digest[:DIGEST_DISPLAY_LENGTH]}"
    )
    for target in reply.targets:
        state = "leaving" if target.leaving else ("yes" if target.ready else "no")
        table.add_row(
            target.target,
            target.domain,
            target.phase or "no report",
            ProgressBar(max(1, target.bytes_total), target.bytes_held, width=20),
            state,
            str(target.in_flight),
            target.error,
        )
    return table
