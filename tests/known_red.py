"""Tests that may fail: those that KNOWN-RED.txt lists, with cause and issue.

A listed test is run all the same. If it passes, the run fails, so that what has been
mended is taken off the list; but for a test whose cause says that it fails only now and
then.
"""

from pathlib import Path
from typing import NamedTuple

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST = 3
NOW_AND_THEN = "now and then: "
"""Begins the cause of a test that also passes."""


class KnownRed(NamedTuple):
    """One line of the list: ``test, cause, issue``."""

    test: str
    cause: str
    issue: str

    @property
    def always_fails(self) -> bool:
        """Whether a pass shows that it has been mended."""
        return not self.cause.startswith(NOW_AND_THEN)


def read_known_red(path: Path = LIST) -> list[KnownRed]:
    """Return the listed tests.

    Raises:
        ValueError: A line is not of the form, or there are too many.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [parse_line(line) for line in lines if line and line[0] != "#"]
    if len(entries) > MOST:
        raise ValueError(f"{path.name} lists {len(entries)} tests, at most {MOST}")
    return entries


def parse_line(line: str) -> KnownRed:
    test, _, rest = line.partition(", ")
    cause, _, issue = rest.rpartition(", ")
    if not (test and cause and issue):
        raise ValueError(f"not of the form 'test, cause, issue': {line}")
    return KnownRed(test, cause, issue)
