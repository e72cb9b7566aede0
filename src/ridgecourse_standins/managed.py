"""Processes that a test, demo or benchmark starts, watches and ends."""

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
    """A process ended, or did not do in time what was waited for."""


class Managed:
    """One started process with its output in files.

    Attributes:
        name: For messages.
        events_path: Its standard output, one JSON object a line.
        log_path: Its standard error.
    """

    def __init__(self, name: str, command: list[str], directory: Path) -> None:
        self.name = name
        self.command = command
        self.events_path = directory / f"{name}.events"
        self.log_path = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is added to that of earlier lives."""
        with self.events_path.open("ab") as output, self.log_path.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-W", "ignore::DeprecationWarning", *self.command],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def running(self) -> subprocess.Popen[bytes]:
        """Return the started process."""
        if self.process is None:
            raise ProcessFailed(f"{self.name} was not started")
        return self.process

    def kill(self) -> None:
        """End the process at once."""
        self.running.kill()
        self.running.wait()

    def freeze(self) -> None:
        """Pause the process."""
        self.running.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a paused process go on."""
        self.running.send_signal(signal.SIGCONT)

    def stop(self, seconds: float = 30.0) -> int:
        """Ask the process to end in order; return its exit code."""
        self.running.terminate()
        return self.running.wait(seconds)

    def close(self) -> None:
        """End the process whatever its state."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self) -> Iterator[dict[str, Any]]:
        """Yield what the process has written so far."""
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
        """Wait for an event and return it.

        Args:
            kind: The event's kind.
            seconds: Longest wait.
            after: Number of matching events to pass over.
            fields: Values that it must have.
        """
        deadline = monotonic() + seconds
        while monotonic() < deadline:
            found = [
                event
                for event in self.events()
                if event.get("kind") == kind
                and all(event.get(name) == value for name, value in fields.items())
            ]
            if len(found) > after:
                return found[after]
            if self.running.poll() is not None:
                raise ProcessFailed(f"{self.name} ended: {self.log_tail()}")
            sleep(POLL_SECONDS)
        raise ProcessFailed(f"{self.name} had no {kind} in time: {self.log_tail()}")

    def wait_listening(self) -> str:
        """Wait for a stand-in to listen; return its address."""
        deadline = monotonic() + START_SECONDS
        while monotonic() < deadline:
            for event in self.events():
                if "listening" in event:
                    return event["listening"]
            if self.running.poll() is not None:
                raise ProcessFailed(f"{self.name} ended: {self.log_tail()}")
            sleep(POLL_SECONDS)
        raise ProcessFailed(f"{self.name} does not listen: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the end of its standard error."""
        return self.log_path.read_text(errors="replace")[-2000:]
