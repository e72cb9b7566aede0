"""Problems: errors in an input and their locations."""

from collections.abc import Iterable
from typing import NamedTuple


class Problem(NamedTuple):
    """An error at one location of an input.

    Attributes:
        place: Location, as specific as the input allows (file:line, key, index).
        message: The value found and the value expected.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


Problems = tuple[Problem, ...]


def render_problems(findings: Iterable[Problem]) -> str:
    """Return the problems as text, one per line."""
    return "\n".join(str(finding) for finding in findings)
