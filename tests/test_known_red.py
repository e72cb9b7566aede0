"""The list of tests that may fail is short, and each line tells why."""

from pathlib import Path

import pytest
from known_red import KnownRed, parse_line, read_known_red


def test_a_line_has_test_cause_and_issue() -> None:
    line = "tests/test_a.py::test_b, one cause, and more of it, issue 3"
    entry = KnownRed("tests/test_a.py::test_b", "one cause, and more of it", "issue 3")
    assert parse_line(line) == entry


@pytest.mark.parametrize("line", ["tests/test_a.py::test_b", "test, cause", ", a, b"])
def test_a_line_without_a_part_is_refused(line: str) -> None:
    with pytest.raises(ValueError):
        parse_line(line)


def test_only_what_fails_now_and_then_may_pass() -> None:
    assert parse_line("test, a cause, issue 3").always_fails
    assert not parse_line("test, now and then: a cause, issue 3").always_fails


def test_at_most_three_are_listed(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# why\n\n" + "a, b, c\n" * 3)
    assert len(read_known_red(path)) == 3
    path.write_text("a, b, c\n" * 4)
    with pytest.raises(ValueError):
        read_known_red(path)


def test_every_listed_test_exists() -> None:
    for entry in read_known_red():
        name, _, test = entry.test.partition("::")
        source = (Path(__file__).parents[1] / name).read_text()
        assert f"def {test.partition('[')[0]}(" in source
