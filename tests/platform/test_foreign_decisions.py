"""Configurations and names of versions that another writer left in the store.

What holds stays in force, also for a process that starts: the newest record of the key
tells it nothing, so that the one before is kept elsewhere. Before, a configuration that
lacked its accounts opened all routes to everybody, shares of nothing made each request
of a route fail, and version 0 or a version of another model was taken as named.
"""

from collections.abc import Iterator
from copy import deepcopy
from random import Random
from typing import Any
from unittest.mock import Mock

import pytest
from foreign_reader import Reader, change, json_values, without
from gateway_site import HOST, KEY, MODEL, GatewaySite, make_config, make_route
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Raw
from msgspec.json import encode

from ridgecourse.core.ids import ModelName
from ridgecourse.gateway.messages import ClientRequest
from ridgecourse.gateway.terms import find_terms
from ridgecourse.net.record_source import Topic
from ridgecourse.platform.names import CONFIG_KEY, DECISIONS_TOPIC


def paths_of(value: Any, path: tuple = ()) -> Iterator[tuple]:
    """Yield the place of each part of a JSON value."""
    items: Any = []
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, inner in items:
        yield (*path, name)
        yield from paths_of(inner, (*path, name))


NEWER = make_config(2)
NEWER["routes"].append(
    make_route("/split/", "safe", "", backends=[{"service": "app", "weight": 9}])
)
PATHS = sorted(paths_of(NEWER), key=str)


def edit(config: dict[str, Any], path: tuple, value: Any = None, drop: bool = False):
    """Return a configuration with one place dropped or of another value."""
    edited = deepcopy(config)
    place: Any = edited
    for name in path[:-1]:
        place = place[name]
    if drop:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return edited


def use_config(reader: Reader) -> None:
    """Ask for each route of the configuration in force."""
    config = reader.view.config
    assert config is not None
    for routes in config.routes.values():
        for route in routes:
            call = Mock(spec=ClientRequest, host=route.host, path=route.prefix, key=KEY)
            find_terms(call, config, Random(1))
    for service in config.services.values():
        if service.engine is not None:
            assert service.engine.slots > 0
            assert service.engine.prompt_rate > 0


def check_config(edited: Any) -> None:
    reader = Reader()
    reader.decide(CONFIG_KEY, make_config(1))
    reader.decide(CONFIG_KEY, edited)
    assert reader.view.config is not None
    if reader.view.config.version == 1:
        assert len(reader.events.bad()) <= 1
    use_config(reader)
    if reader.view.config.version < 2**53:
        reader.decide(CONFIG_KEY, make_config(2**53))
    assert reader.view.config.find_route(HOST, "/safe/x") is not None


@given(path=st.sampled_from(PATHS))
def test_a_configuration_that_lacks_something_never_raises(path: tuple) -> None:
    check_config(edit(NEWER, path, drop=True))


@settings(max_examples=300)
@given(path=st.sampled_from(PATHS), value=json_values)
def test_a_configuration_of_other_values_never_raises(path: tuple, value: Any) -> None:
    check_config(edit(NEWER, path, value))


BAD_CONFIGS = {
    "no tenants": without(NEWER, "tenants"),
    "no limits": without(NEWER, "limits"),
    "no routes": without(NEWER, "routes"),
    "no services": without(NEWER, "services"),
    "no version": without(NEWER, "version"),
    "version 0": change(NEWER, version=0),
    "a version of text": change(NEWER, version="3"),
    "a version with a fraction": change(NEWER, version=2.5),
    "a version that is true": change(NEWER, version=True),
    "a route to nobody": change(NEWER, routes=[make_route("/a/", "safe", "")]),
    "shares of nothing": change(
        NEWER,
        routes=[
            make_route(
                "/a/",
                "safe",
                "",
                backends=[
                    {"service": "app", "weight": 0},
                    {"service": "other", "weight": 0},
                ],
            )
        ],
    ),
    "a negative share": change(
        NEWER,
        routes=[
            make_route("/a/", "safe", "", backends=[{"service": "app", "weight": -1}])
        ],
    ),
    "no time": change(NEWER, routes=[make_route("/a/", "safe", "app", timeout_ms=0)]),
    "no attempt": change(
        NEWER, routes=[make_route("/a/", "safe", "app", max_attempts=0)]
    ),
    "no connections": change(
        NEWER, services=[{"name": "app", "health_path": "/h", "max_connections": 0}]
    ),
    "an origin nowhere": change(
        NEWER, services=[{"name": "kafi", "origin": "nowhere", "zone": "a"}]
    ),
    "a list": [],
    "a value that is no JSON": Raw(b"\xff{"),
    "a value without end": Raw(b"[" * 100_000),
    "no value": Raw(b""),
}


@pytest.mark.parametrize("bad", BAD_CONFIGS.values(), ids=BAD_CONFIGS)
def test_a_bad_configuration_leaves_the_one_in_force(bad: Any) -> None:
    reader = Reader()
    reader.decide(CONFIG_KEY, make_config(1))
    known = reader.view.config
    reader.decide(CONFIG_KEY, bad)
    assert reader.view.config is known
    (line,) = reader.events.bad()
    assert line["key"] == CONFIG_KEY
    # Who starts reads the bad one; what holds is kept for it elsewhere.
    (kept,) = reader.keeper.pin.call_args.args
    assert kept.value == encode(make_config(1))
    reader.decide(CONFIG_KEY, make_config(2))
    assert reader.view.config.version == 2


BAD_NAMES = [
    {"model": MODEL},
    {"version": 3},
    {"model": MODEL, "version": 0},
    {"model": MODEL, "version": -3},
    {"model": MODEL, "version": 3.5},
    {"model": MODEL, "version": True},
    {"model": MODEL, "version": "3"},
    {"model": MODEL, "version": 2**64},
    {"model": "another", "version": 3},
    {"model": 7, "version": 3},
    [],
    Raw(b"\xff"),
    Raw(b""),
]


def name_value(value: Any) -> str:
    """Return a name that is the same in every process."""
    return str(bytes(value) if isinstance(value, Raw) else value)


@pytest.mark.parametrize("bad", BAD_NAMES, ids=name_value)
def test_a_bad_name_of_a_version_leaves_the_one_in_force(bad: Any) -> None:
    reader = Reader()
    key = f"version/{MODEL}"
    reader.decide(key, {"model": MODEL, "version": 2})
    reader.decide(key, bad)
    assert reader.view.wanted_version(ModelName(MODEL)) == 2
    (line,) = reader.events.bad()
    assert line["key"] == key
    reader.decide(key, {"model": MODEL, "version": 3})
    assert reader.view.wanted_version(ModelName(MODEL)) == 3


@given(value=st.binary() | json_values.map(encode))
def test_any_value_of_a_decision_leaves_what_is_in_force(value: bytes) -> None:
    reader = Reader()
    reader.decide(CONFIG_KEY, make_config(1))
    reader.decide(f"version/{MODEL}", {"model": MODEL, "version": 2})
    for key in (CONFIG_KEY, f"version/{MODEL}", "version/", "other"):
        reader.read(Topic.DECISIONS, (key.encode(), value))
    assert reader.view.config is not None
    assert reader.view.config.version == 1
    assert reader.view.wanted_version(ModelName(MODEL)) == 2


def bad_keys(front: GatewaySite) -> set[str]:
    events = front.gateway.events()
    bad = [event["detail"] for event in events if event["kind"] == "bad-input"]
    return {detail["key"] for detail in bad}


def test_a_gateway_serves_on_with_records_of_another_writer(front) -> None:
    front.add_engine("app")
    front.start()
    front.store.put(DECISIONS_TOPIC, CONFIG_KEY, Raw(b"\xff\xfe"))
    front.store.put_target("i-9", {"service": ["app"]})
    front.wait_until(lambda: {CONFIG_KEY, "i-9"} <= bad_keys(front))
    assert front.ask("/safe/x")[0] == 200


def test_a_gateway_that_starts_on_a_bad_configuration_serves(front) -> None:
    """The newest record of the key is of no use; the one before it was kept."""
    front.add_engine("app")
    front.start()
    front.store.put(DECISIONS_TOPIC, CONFIG_KEY, Raw(b"\xff\xfe"))
    front.store.wait_for_appends(1)
    front.gateway.kill()
    front.gateway.start()
    front.wait_until(lambda: front.ready() == 200)
    assert front.ask("/safe/x")[0] == 200
