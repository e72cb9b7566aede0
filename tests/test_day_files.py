"""Checks that the files of deploy/days fit any site and are named after their day.

A day lists steps of its plan and faults. Steps may refer to classes, services and zones
only by placeholders, so that the file depends on no particular site.
"""

from pathlib import Path
from re import findall
from tomllib import loads

import pytest

DAY_FILES = sorted((Path(__file__).parents[1] / "deploy" / "days").glob("*.toml"))
PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0"}


@pytest.mark.parametrize("path", DAY_FILES, ids=lambda path: path.stem)
def test_day_file_fits_any_site(path: Path) -> None:
    (day,) = loads(path.read_text())["day"]
    assert day["name"] == path.stem
    steps = [*day["plan"], *day["faults"]]
    for step in steps:
        assert 0.0 <= step["at"] < day["length_s"]
        for field, placeholder in PLACEHOLDERS.items():
            assert step.get(field, placeholder) == placeholder
    assert set(findall("@[a-z0-9]+", path.read_text())) <= set(PLACEHOLDERS.values())


def test_day_files_have_distinct_seeds() -> None:
    seeds = [loads(path.read_text())["day"][0]["seed"] for path in DAY_FILES]
    assert len(set(seeds)) == len(seeds) > 0
