"""Checks that the files of deploy/days fit any site and are named after their day.

A day lists steps of its plan and faults. Steps may refer to classes, services and zones
only by placeholders, so that the file depends on no particular site.
"""

from pathlib import Path
from re import findall
from tomllib import loads

import pytest

DIRECTORY = Path(__file__).parents[1] / "deploy" / "days"
SITE_DAYS = ["deadly.toml"]
"""Files with the day of one site, whose classes have other names elsewhere."""
DAY_FILES = sorted(
    path for path in DIRECTORY.glob("*.toml") if path.name not in SITE_DAYS
)
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


@pytest.mark.parametrize("name", SITE_DAYS)
def test_day_of_one_site_has_a_name_and_faults_with_times(name: str) -> None:
    day = loads((DIRECTORY / name).read_text())
    assert f"{day['name']}.toml" == name
    assert day["faults"]
    for step in day["faults"]:
        assert step["at"] >= 0.0
        assert step["for_s"] > 0.0
