"""Reads the tests that may fail, with cause and issue, from KNOWN-RED.txt.

Listed tests still run. If a listed test passes, the run fails, so that a test whose
fault has been fixed is removed from the list. A test whose cause marks it as flaky may
also pass.
"""

from pathlib import Path
from typing import NamedTuple

LIST_PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_ENTRIES = 8
"""Most entries, apart from those of crowds of clients."""
CROWD_TESTS = "tests/platform/test_client_crowds.py"
FLAKY_PREFIX = "now and then: "
"""Prefix of the cause of a flaky test, which sometimes passes."""


class KnownFailure(NamedTuple):
    """A line of the list: ``test, cause, issue``.

    Attributes:
        test: Node id of the test.
        cause: Cause of the failure.
        issue: Issue that tracks the failure.
    """

    test: str
    cause: str
    issue: str

    @property
    def always_fails(self) -> bool:
        """Whether a pass of the test shows that its fault has been fixed."""
        return not self.cause.startswith(FLAKY_PREFIX)


def read_known_failures(path: Path = LIST_PATH) -> list[KnownFailure]:
    """Return the listed tests; none if the file does not exist.

    Raises:
        ValueError: A line has a wrong format, or the list has too many entries.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [parse_line(line) for line in lines if line and line[0] != "#"]
    counted = [entry for entry in entries if not entry.test.startswith(CROWD_TESTS)]
    if len(counted) > MAX_ENTRIES:
        raise ValueError(
            f"{path.name} lists {len(counted)} tests, at most {MAX_ENTRIES}"
        )
    return entries


def parse_line(line: str) -> KnownFailure:
    """Parse a line of the list.

    Raises:
        ValueError: A part of the line is missing.
    """
    test, _, rest = line.partition(", ")
    cause, _, issue = rest.rpartition(", ")
    if not (test and cause and issue):
        raise ValueError(f"expected 'test, cause, issue', found: {line}")
    return KnownFailure(test, cause, issue)
