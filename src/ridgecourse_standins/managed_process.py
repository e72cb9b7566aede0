"""Processes that tests, the demo and benchmarks start, observe and end."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep
from typing import Any

from msgspec import DecodeError
from msgspec.json import decode

POLL_SECONDS = 0.02
START_SECONDS = 60.0


class ProcessFailed(Exception):
    """A process ended, or an awaited event or condition did not occur in time."""


class ManagedProcess:
    """A Python process whose output goes to files.

    Attributes:
        name: Name of the process in error messages and file names.
        command: Arguments of the Python interpreter.
        events_path: File of the standard output, one JSON object per line.
        log_path: File of the standard error.
        process: The process; None before the first start.
    """

    def __init__(self, name: str, command: list[str], directory: Path) -> None:
        self.name = name
        self.command = command
        self.events_path = directory / f"{name}.events"
        self.log_path = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; output is appended to the files of earlier starts."""
        with self.events_path.open("ab") as output, self.log_path.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-W", "ignore::DeprecationWarning", *self.command],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def started_process(self) -> subprocess.Popen[bytes]:
        """The started process.

        Raises:
            ProcessFailed: The process was not started.
        """
        if self.process is None:
            raise ProcessFailed(f"{self.name} was not started")
        return self.process

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.started_process.kill()
        self.started_process.wait()

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.started_process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.started_process.send_signal(signal.SIGCONT)

    def stop(self, seconds: float = 30.0) -> int:
        """Terminate the process with SIGTERM; return its exit code.

        Args:
            seconds: Maximum wait.
        """
        self.started_process.terminate()
        return self.started_process.wait(seconds)

    def close(self) -> None:
        """Kill the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self) -> Iterator[dict[str, Any]]:
        """Yield the events written so far; skip lines that are not valid JSON."""
        if not self.events_path.exists():
            return
        for line in self.events_path.read_bytes().splitlines():
            try:
                yield decode(line)
            except DecodeError:
                continue

    def wait_event(
        self, kind: str, seconds: float = START_SECONDS, after: int = 0, **fields: Any
    ) -> dict[str, Any]:
        """Wait for an event and return the event.

        Args:
            kind: Kind of the event.
            seconds: Maximum wait.
            after: Number of matching events to skip.
            fields: Values that the fields of the event must have.

        Raises:
            ProcessFailed: The process ended or wrote no such event in time.
        """
        deadline = monotonic() + seconds
        while monotonic() < deadline:
            matching = [
                event
                for event in self.events()
                if event.get("kind") == kind
                and all(event.get(name) == value for name, value in fields.items())
            ]
            if len(matching) > after:
                return matching[after]
            if self.started_process.poll() is not None:
                raise ProcessFailed(f"{self.name} ended: {self.log_tail()}")
            sleep(POLL_SECONDS)
        raise ProcessFailed(
            f"{self.name} wrote no {kind} event in time: {self.log_tail()}"
        )

    def wait_listening(self) -> str:
        """Wait until a stand-in listens; return its address.

        Raises:
            ProcessFailed: The process ended or did not listen in time.
        """
        deadline = monotonic() + START_SECONDS
        while monotonic() < deadline:
            for event in self.events():
                if "listening" in event:
                    return event["listening"]
            if self.started_process.poll() is not None:
                raise ProcessFailed(f"{self.name} ended: {self.log_tail()}")
            sleep(POLL_SECONDS)
        raise ProcessFailed(f"{self.name} did not listen in time: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the last 2000 characters of the standard error."""
        return self.log_path.read_text(errors="replace")[-2000:]
