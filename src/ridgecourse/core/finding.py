"""Findings: what is wrong with an input, and where."""

from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """One thing wrong at one place.

    Attributes:
        place: Where, as specific as the input allows (file:line, key, index).
        message: What was found and what was expected.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


Findings = tuple[Finding, ...]


def render_findings(findings: Iterable[Finding]) -> str:
    """Return the findings as text, one a line."""
    return "\n".join(str(finding) for finding in findings)
