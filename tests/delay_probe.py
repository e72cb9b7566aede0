"""Records which delays a test met: of its own process, of its children, of the machine.

A time bound that is exceeded beside load has three possible causes: the processes under
test, the process of the test, in which stand-ins run, and the machine. The report of a
failed test lists all three on the clock of the time line.
"""

import gc
from collections.abc import Iterator
from os import getpid
from pathlib import Path
from threading import Event, Thread
from time import perf_counter, time
from typing import Any, NamedTuple

INTERVAL_SECONDS = 0.25
KEPT_SAMPLES = 4000
REPORTED_DELAY_MS = 50


class Sample(NamedTuple):
    """Delays within one interval.

    Attributes:
        wall: Time of day at the end of the interval, in seconds since 1970.
        late_ms: How late the thread of the probe woke.
        collecting_ms: Time of garbage collections in the process of the test.
        waited_ms: Time for which the threads of the process of the test waited for a
            processor, in sum.
        children_ms: The same, for each child process.
    """

    wall: float
    late_ms: int
    collecting_ms: int
    waited_ms: int
    children_ms: dict[int, int]

    def line(self, start: float) -> str:
        """Return the sample as a line; times are relative to a start."""
        children = ", ".join(
            f"{pid}: {waited}"
            for pid, waited in sorted(
                self.children_ms.items(), key=lambda item: -item[1]
            )
            if waited >= REPORTED_DELAY_MS
        )
        return (
            f"{self.wall - start:+9.3f} woke {self.late_ms} ms late, collected garbage"
            f" for {self.collecting_ms} ms, waited {self.waited_ms} ms for a processor;"
            f" children waited (ms): {children or 'less than 50 each'}"
        )

    @property
    def is_notable(self) -> bool:
        """Whether a delay of the sample may explain a late event."""
        own = max(self.late_ms, self.collecting_ms, self.waited_ms)
        return max([own, *self.children_ms.values()]) >= REPORTED_DELAY_MS


def read_wait_ms(pid: int) -> float:
    """Return how long the threads of a process have waited for a processor."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        try:
            total += int(path.read_text().split()[1])
        except OSError:
            continue
    return total / 1e6


def child_pids() -> Iterator[int]:
    """Yield the processes that this process has started."""
    for path in Path("/proc/self/task").glob("*/children"):
        try:
            yield from map(int, path.read_text().split())
        except OSError:
            continue


class DelayProbe:
    """Samples delays in a thread until it is closed.

    Attributes:
        samples: The latest samples.
        collecting: Seconds of garbage collections since the last sample.
        collection_start: When the present collection began.
        waits: Last known waiting time of each process, in milliseconds.
    """

    def __init__(self) -> None:
        self.samples: list[Sample] = []
        self.collecting = 0.0
        self.collection_start = 0.0
        self.waits: dict[int, float] = {}
        self.closed = Event()
        self.thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        gc.callbacks.append(self._on_collection)
        self.thread.start()

    def close(self) -> None:
        """Stop sampling."""
        self.closed.set()
        self.thread.join()
        gc.callbacks.remove(self._on_collection)

    def _on_collection(self, phase: str, info: dict[str, Any]) -> None:
        if phase == "start":
            self.collection_start = perf_counter()
        else:
            self.collecting += perf_counter() - self.collection_start

    def _run(self) -> None:
        due = perf_counter() + INTERVAL_SECONDS
        while not self.closed.wait(max(0.0, due - perf_counter())):
            late = perf_counter() - due
            due = perf_counter() + INTERVAL_SECONDS
            self.samples.append(self._take_sample(late))
            del self.samples[:-KEPT_SAMPLES]

    def _take_sample(self, late: float) -> Sample:
        collecting, self.collecting = self.collecting, 0.0
        pids = [getpid(), *child_pids()]
        waits = {pid: read_wait_ms(pid) for pid in pids}
        # The waits of a thread that has ended are gone from the sum.
        grown = {
            pid: max(0, int(wait - self.waits.get(pid, wait)))
            for pid, wait in waits.items()
        }
        self.waits = waits
        own = grown.pop(getpid())
        return Sample(time(), int(late * 1000), int(collecting * 1000), own, grown)

    def lines(self, since: float, start: float) -> list[str]:
        """Return the notable samples after a time, relative to a start."""
        return [
            sample.line(start)
            for sample in self.samples
            if sample.wall >= since and sample.is_notable
        ]
