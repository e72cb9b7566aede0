"""What ``ridgecourse-ctl`` prints, for people or as JSON."""

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

DIGEST_SHOWN = 12


class Output:
    """Prints results to standard output and errors to standard error.

    Attributes:
        as_json: Print one JSON object a result, and nothing else.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self.console = Console(file=sys.stdout, soft_wrap=True, highlight=False)
        self.errors = Console(file=sys.stderr, soft_wrap=True, highlight=False)

    def _json(self, message: Message[Any]) -> None:
        sys.stdout.write(message.to_json() + "\n")
        sys.stdout.flush()

    def error(self, message: str, hint: str) -> None:
        """Print an error and what to do next."""
        self.errors.print(f"error: {message}", style="red", markup=False)
        self.errors.print(f"  {hint}", markup=False)

    def change(self, reply: pb.ChangeReply) -> None:
        """Print the fate of a change."""
        if self.as_json:
            self._json(reply)
            return
        text = f"{reply.status.name.lower()}: change {reply.change_id}"
        if reply.status is pb.ChangeStatus.ACCEPTED:
            text += f", revision {reply.revision}, offset {reply.offset}"
        if reply.reason:
            text += f" ({reply.reason})"
        self.console.print(text, markup=False)
        if reply.status is pb.ChangeStatus.UNKNOWN:
            hint = f"  ask later with: change show {reply.change_id}"
            self.console.print(hint, markup=False)

    def configuration(self, reply: pb.ShowReply) -> None:
        """Print a fleet's configuration."""
        if self.as_json:
            self._json(reply)
            return
        digest = reply.digest[:DIGEST_SHOWN]
        table = Table("kind", "name", "revision", "fields")
        table.title = f"offset {reply.offset}, digest {digest}"
        for found in reply.objects:
            fields = loads(found.fields_json)
            text = ", ".join(f"{name}={value}" for name, value in fields.items())
            table.add_row(found.kind, found.name, str(found.revision), text)
        self.console.print(table)

    def rollout(self, reply: pb.ShowRolloutReply) -> None:
        """Print the progress of each target."""
        if self.as_json:
            self._json(reply)
            return
        self.console.print(rollout_table(reply))

    @contextmanager
    def progress(self, text: str, total: int) -> Iterator[Callable[[int], None]]:
        """Show a bar; yields what is to be told of each step."""
        columns = (TextColumn("{task.description}"), BarColumn(), DownloadColumn())
        with Progress(*columns, console=self.errors, disable=self.as_json) as bar:
            task = bar.add_task(text, total=total)
            yield lambda size: bar.advance(task, size)

    @contextmanager
    def watch(self) -> Iterator[Callable[[pb.ShowRolloutReply], None]]:
        """Show progress again and again; yields what shows it."""
        if self.as_json:
            yield self._json
            return
        with Live(console=self.console) as live:
            yield lambda reply: live.update(rollout_table(reply))


def rollout_table(reply: pb.ShowRolloutReply) -> Table:
    """Return the progress of each target as a table."""
    table = Table("target", "domain", "phase", "held", "ready", "in flight", "error")
    table.title = f"{reply.model} {reply.version} {reply.root_digest[:DIGEST_SHOWN]}"
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
