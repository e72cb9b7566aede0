"""Checks boundaries in the source: the platform's names, imports and clocks.

Only the adapter may use names of the users' platform.
"""

from pathlib import Path
from re import escape, search

from ridgecourse.platform import names

SOURCES = Path(__file__).parents[1] / "src" / "ridgecourse"

SHARED_WORDS = {"Key", "Model", "config"}
"""Names of the platform that also occur in other protocols."""


def wire_names() -> set[str]:
    """Return the names that the adapter lists, and some fields of its messages."""
    listed = {
        value
        for name, value in vars(names).items()
        if name.isupper() and isinstance(value, str)
    }
    fields = {
        "hostname",
        "path_prefix",
        "target_latency_ms",
        "target_gap_ms",
        "session_affinity",
        "api_keys",
        "kv_used",
        "kv_total",
        "pairs_per_m",
        "context_per_k",
        "key_file",
        "after_revision",
        "internal_port_range",
        "seed_nodes",
    }
    return (listed | fields) - SHARED_WORDS


def test_wire_names_occur_only_in_adapter() -> None:
    violations = []
    for path in sorted(SOURCES.rglob("*.py")):
        if path.is_relative_to(SOURCES / "platform"):
            continue
        text = path.read_text()
        for name in wire_names():
            whole_word = rf"(?<![\w-]){escape(name)}(?![\w-])"
            if search(whole_word, text) and not is_project_word(name):
                violations.append(f"{path.relative_to(SOURCES)}: {name}")
    assert violations == []


def is_project_word(name: str) -> bool:
    """Return whether a name is also a word of the project."""
    return name in {"version/", "Tenant", "Retry-After"}


def test_adapter_is_not_imported_by_other_packages() -> None:
    importers = [
        path.relative_to(SOURCES)
        for path in SOURCES.rglob("*.py")
        if not path.is_relative_to(SOURCES / "platform")
        and "ridgecourse.platform" in path.read_text()
    ]
    assert importers == []


def test_no_clock_is_used_that_stops_during_suspension() -> None:
    violations = [
        str(path.relative_to(SOURCES))
        for path in sorted(SOURCES.rglob("*.py"))
        if search(r"\bmonotonic\(|\bperf_counter\(", path.read_text())
    ]
    assert violations == []


def test_test_clients_use_connections_that_check_answers() -> None:
    # Guards against stand-ins and benchmarks that take a cut answer for a whole one.
    makes_client = r"\b(HTTPConnection|HTTPConnectionPool|HTTPResponse|PoolManager)\("
    violations = [
        path.name
        for package in ("ridgecourse_standins", "bench")
        for path in sorted((SOURCES.parent / package).rglob("*.py"))
        if search(makes_client, path.read_text())
    ]
    assert violations == []


def test_http_clients_use_connections_that_check_answers() -> None:
    # Guards against a client that takes a cut answer for a whole one.
    makes_connection = r"\b(HTTPConnection|HTTPConnectionPool|PoolManager)\("
    other_client = r"\burllib3\.request\b|\burllib\.request import|import requests\b"
    violations = [
        str(path.relative_to(SOURCES))
        for path in sorted(SOURCES.rglob("*.py"))
        if path.name != "answer_connection.py"
        and search(f"{makes_connection}|{other_client}", path.read_text())
    ]
    assert violations == []
