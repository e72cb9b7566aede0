"""Names of the users' platform stand in its adapter alone."""

from pathlib import Path
from re import escape, search

from ridgecourse.platform import names

SOURCES = Path(__file__).parents[1] / "src" / "ridgecourse"

GENERAL = {"Key", "Model", "config"}
"""Names that are words of other protocols too."""


def wire_names() -> set[str]:
    """Return the names that the adapter lists, and some of its bodies' fields."""
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
    return (listed | fields) - GENERAL


def test_no_wire_name_stands_outside_the_adapter() -> None:
    found = []
    for path in sorted(SOURCES.rglob("*.py")):
        if path.is_relative_to(SOURCES / "platform"):
            continue
        text = path.read_text()
        for name in wire_names():
            standing_alone = rf"(?<![\w-]){escape(name)}(?![\w-])"
            if search(standing_alone, text) and not is_own_word(name):
                found.append(f"{path.relative_to(SOURCES)}: {name}")
    assert found == []


def is_own_word(name: str) -> bool:
    """Tell whether a name is a word of the project as well."""
    return name in {"version/", "Tenant", "Retry-After"}


def test_the_adapter_is_imported_by_none_but_itself() -> None:
    importers = [
        path.relative_to(SOURCES)
        for path in SOURCES.rglob("*.py")
        if not path.is_relative_to(SOURCES / "platform")
        and "ridgecourse.platform" in path.read_text()
    ]
    assert importers == []


def test_no_age_is_reckoned_by_a_clock_that_stands_still_in_a_suspension() -> None:
    found = [
        str(path.relative_to(SOURCES))
        for path in sorted(SOURCES.rglob("*.py"))
        if search(r"\bmonotonic\(|\bperf_counter\(", path.read_text())
    ]
    assert found == []
