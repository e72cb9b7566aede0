"""Which regions a request may be served in, by route, account and configurations.

Guards against a restriction that is read as none, that a later configuration widens, or
that matches a failure domain of another region with the same name.
"""

from typing import Any

import pytest
from gateway_site import HOST, KEY, make_config
from hypothesis import given
from hypothesis import strategies as st
from msgspec import ValidationError, convert

from ridgecourse.core.allowed_regions import (
    RegionRestriction,
    RequestOrigin,
    intersect_regions,
    is_in_regions,
)
from ridgecourse.core.first_event_delay import FirstEventDelays
from ridgecourse.core.ids import AccountName, DomainName, RegionName, Seconds
from ridgecourse.core.ids import ServiceName as Service
from ridgecourse.core.routes import AllowedRegions, RoutingConfig
from ridgecourse.platform import config_records

NORTH, SOUTH = ["north"], ["south"]
NAMES = st.sampled_from(["north", "south", "west", "a", "b", "c"])
RESTRICTIONS = st.none() | st.frozensets(NAMES.map(RegionName))


def decode_config(config: dict[str, Any]) -> RoutingConfig:
    return config_records.make_config(convert(config, config_records.ConfigFields))


def make_restricted_config(
    version: int = 1,
    route: Any = None,
    account: Any = None,
    prefix: str = "/safe/",
    **route_fields: Any,
) -> dict[str, Any]:
    """Return a configuration in which a route and the account name their regions."""
    config = make_config(version)
    for listed in config["routes"]:
        if listed["path_prefix"] == prefix:
            listed["allowed_regions"] = route
            listed.update(route_fields)
    config["tenants"][0]["allowed_regions"] = account
    return config


def find_regions(config: dict[str, Any], key: str = KEY) -> AllowedRegions:
    origin = RequestOrigin(HOST, "/safe/x", key, AccountName("shop"))
    restriction = RegionRestriction(origin)
    restriction.apply(decode_config(config))
    return restriction.regions


@pytest.mark.parametrize(
    ("route", "account", "regions"),
    [
        (None, None, None),
        ([], [], None),
        (NORTH, None, {"north"}),
        ([], SOUTH, {"south"}),
        (NORTH + SOUTH, SOUTH, {"south"}),
        (NORTH, SOUTH, set()),
        (["nowhere"], None, {"nowhere"}),
    ],
)
def test_route_and_account_restrict_by_their_intersection(
    route: Any, account: Any, regions: set[str] | None
) -> None:
    assert find_regions(make_restricted_config(1, route, account)) == regions


def test_configuration_without_the_fields_restricts_nothing() -> None:
    assert find_regions(make_config()) is None


@pytest.mark.parametrize("value", ["north", [1], {"north": True}])
def test_restriction_of_another_type_is_no_valid_configuration(value: Any) -> None:
    """Read as no restriction, it would send requests to every region."""
    with pytest.raises(ValidationError):
        decode_config(make_restricted_config(1, value))
    with pytest.raises(ValidationError):
        decode_config(make_restricted_config(1, None, value))


def test_account_restricts_after_its_key_has_changed() -> None:
    config = make_restricted_config(1, account=NORTH)
    config["tenants"][0]["api_keys"] = ["another"]
    assert find_regions(config) == {"north"}
    other = {"name": "other", "api_keys": [KEY], "allowed_regions": SOUTH}
    config["tenants"].append(other)
    assert find_regions(config) == {"north"}


def test_account_of_a_key_restricts_on_a_public_route() -> None:
    restriction = RegionRestriction(RequestOrigin(HOST, "/open/x", KEY, None))
    restriction.apply(decode_config(make_restricted_config(1, account=NORTH)))
    assert restriction.regions == {"north"}


@given(st.lists(st.tuples(RESTRICTIONS, RESTRICTIONS), max_size=4))
def test_each_configuration_since_the_arrival_applies(
    restrictions: list[tuple[AllowedRegions, AllowedRegions]],
) -> None:
    """A later configuration may narrow the restriction, and never widens it.

    An empty list in a configuration is no restriction, unlike an empty intersection.
    """
    origin = RequestOrigin(HOST, "/safe/x", KEY, AccountName("shop"))
    restriction = RegionRestriction(origin)
    universe = {"north", "south", "west", "a", "b", "c"}
    expected = set(universe)
    for version, pair in enumerate(restrictions, 1):
        lists = [None if names is None else sorted(names) for names in pair]
        config = decode_config(make_restricted_config(version, *lists))
        for _ in range(2):
            restriction.apply(config)
        for names in pair:
            expected &= set(names or universe)
    regions = restriction.regions
    assert (universe if regions is None else set(regions)) == expected


def test_removed_route_and_account_leave_the_earlier_restriction() -> None:
    origin = RequestOrigin(HOST, "/safe/x", KEY, AccountName("shop"))
    restriction = RegionRestriction(origin)
    restriction.apply(decode_config(make_restricted_config(1, NORTH + SOUTH, NORTH)))
    restriction.apply(decode_config(make_config(2, routes=[], tenants=[])))
    assert restriction.regions == {"north"}


def test_none_is_no_restriction_and_an_empty_set_allows_nothing() -> None:
    north, south = (frozenset({RegionName(name)}) for name in ("north", "south"))
    assert intersect_regions(None, None) is None
    assert intersect_regions(None, north) == intersect_regions(north, None) == north
    assert intersect_regions(north, south) == frozenset()
    assert intersect_regions(frozenset(), None) == frozenset()


@pytest.mark.parametrize(
    ("domain", "allowed", "expected"),
    [
        ("a", {"north"}, True),
        ("b", {"north"}, False),
        ("a", {"a"}, False),
        ("a", set(), False),
        ("c", {"north", "south"}, False),
        ("c", {"c"}, True),
        # Unlike the domains of the region "south", this one is not in the settings.
        ("south", {"south"}, False),
    ],
)
def test_domain_missing_from_the_settings_is_a_region_of_its_own(
    domain: str, allowed: set[str], expected: bool
) -> None:
    regions = {
        DomainName("a"): RegionName("north"),
        DomainName("b"): RegionName("south"),
    }
    names = frozenset(map(RegionName, allowed))
    assert is_in_regions(DomainName(domain), names, regions) is expected


def test_delays_elsewhere_do_not_count_for_restricted_requests() -> None:
    """Otherwise an overload in one region sheds the requests of another one."""
    delays = FirstEventDelays()
    service, now = Service("llm"), Seconds(100.0)
    north = frozenset({RegionName("north")})
    for _ in range(5):
        delays.observe(service, None, 2.0, now)
    assert delays.expected_delay(service, None, now) > 1.0
    assert delays.expected_delay(service, north, now) == 0.0
    delays.observe(service, north, 1.0, now)
    assert delays.expected_delay(service, north, now) >= 1.0
