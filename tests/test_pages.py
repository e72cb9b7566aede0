"""Pages name only files, tests and test parts that exist."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md"), ROOT / "KNOWN-RED.txt"])
SOURCES = sorted(
    path.relative_to(ROOT)
    for folder in ("src", "tests")
    for path in ROOT.glob(f"{folder}/**/*.py")
)
PYTHON_FILE = re.compile(r"[\w/]*\w\.py\b")
TEST_NAME = re.compile(r"(?<![\w/])(?:test_\w+|Test[A-Z]\w+)\b")
TEST_PART = re.compile(r"`(test_\w+)(?:\.py)?` \(`(\w+)`")
"""A test file, and a part of the name of one of its tests in parentheses."""


def find_tests(path: Path) -> Iterator[str]:
    """Yield the names of tests, test classes and state machines in a file."""
    for node in ast.walk(ast.parse((ROOT / path).read_text(encoding="utf-8"))):
        if isinstance(node, (ast.FunctionDef, ast.ClassDef)):
            yield node.name
        elif isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
            yield node.targets[0].id


TESTS = {
    path.stem: set(find_tests(path)) for path in SOURCES if path.parts[0] == "tests"
}
NAMES = set(TESTS) | {name for names in TESTS.values() for name in names}


def find_missing(text: str) -> Iterator[str]:
    """Yield what a page names although it does not exist."""
    files = {f"/{path.as_posix()}" for path in SOURCES}
    for name in PYTHON_FILE.findall(text):
        if not any(file.endswith(f"/{name.lstrip('/')}") for file in files):
            yield f"file {name}"
    for name in TEST_NAME.findall(text):
        if name not in NAMES:
            yield f"test {name}"
    for module, part in TEST_PART.findall(text):
        if not any(part in name for name in TESTS.get(module, ())):
            yield f"{module}: no test with {part} in its name"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_page_names_only_existing_files_and_tests(page: Path) -> None:
    assert sorted(set(find_missing(page.read_text(encoding="utf-8")))) == []


@pytest.mark.parametrize(
    "text",
    [
        "`core/no_such_module.py`",
        "`test_no_such_thing`",
        "TestNoSuchMachine",
        "`test_pages.py` (`no_such_part`)",
    ],
)
def test_missing_name_is_found(text: str) -> None:
    assert list(find_missing(text))
