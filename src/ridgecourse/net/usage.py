"""What this process has used of processor and memory."""

from resource import RUSAGE_SELF, getrusage

from msgspec import Struct

KIBIBYTE = 1024


class Usage(Struct, frozen=True):
    """Resources used since the process started.

    Attributes:
        cpu_seconds: Processor time.
        peak_bytes: Largest resident size.
    """

    cpu_seconds: float
    peak_bytes: int


def process_usage() -> Usage:
    """Return the usage of this process."""
    used = getrusage(RUSAGE_SELF)
    return Usage(used.ru_utime + used.ru_stime, used.ru_maxrss * KIBIBYTE)
