"""The files of deploy/days fit any site, and are found under their own names."""

from pathlib import Path
from re import findall
from tomllib import loads

import pytest

DAYS = sorted((Path(__file__).parents[1] / "deploy" / "days").glob("*.toml"))
PLACES = {"class": "@c0", "service": "@s0", "zone": "@z0"}


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_fits_any_site(path: Path) -> None:
    (day,) = loads(path.read_text())["day"]
    assert day["name"] == path.stem
    steps = [*day["plan"], *day["faults"]]
    for step in steps:
        assert 0.0 <= step["at"] < day["length_s"]
        for field, name in PLACES.items():
            assert step.get(field, name) == name
    assert set(findall("@[a-z0-9]+", path.read_text())) <= set(PLACES.values())


def test_no_two_days_have_the_same_seed() -> None:
    seeds = [loads(path.read_text())["day"][0]["seed"] for path in DAYS]
    assert len(set(seeds)) == len(seeds) > 0
