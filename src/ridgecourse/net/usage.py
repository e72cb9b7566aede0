"""Measures the processor time and memory used by this process."""

from resource import RUSAGE_SELF, getrusage

from msgspec import Struct

KIBIBYTE = 1024


class Usage(Struct, frozen=True):
    """Resources used since the process started.

    Attributes:
        cpu_seconds: Processor time, in user and system mode.
        peak_bytes: Largest resident set size.
    """

    cpu_seconds: float
    peak_bytes: int


def process_usage() -> Usage:
    """Return the resource usage of this process."""
    used = getrusage(RUSAGE_SELF)
    return Usage(used.ru_utime + used.ru_stime, used.ru_maxrss * KIBIBYTE)
