"""Invalid configurations and version decisions that another writer stored.

The last valid decision stays in force. The newest record of its key is then invalid, so
the valid one is pinned elsewhere for processes that start later. The tests guard
against these failures: a configuration without tenants opens all routes to every
client; a route whose weights are all 0 fails each request; version 0 or a version of
another model is accepted as named.
"""

from collections.abc import Iterator
from copy import deepcopy
from random import Random
from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import HOST, KEY, MODEL, GatewaySite, make_config, make_route
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Raw
from msgspec.json import encode
from view_reader import ViewReader, json_values, with_fields, without_field

from ridgecourse.core.ids import ModelName
from ridgecourse.gateway.messages import ClientRequest
from ridgecourse.gateway.terms import find_terms
from ridgecourse.net.record_source import Topic
from ridgecourse.platform.names import CONFIG_KEY, DECISIONS_TOPIC


def element_paths(value: Any, path: tuple = ()) -> Iterator[tuple]:
    """Yield the path of each nested element of a JSON value."""
    items: Any = []
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, inner in items:
        yield (*path, name)
        yield from element_paths(inner, (*path, name))


NEWER = make_config(2)
NEWER["routes"].append(
    make_route("/split/", "safe", "", backends=[{"service": "app", "weight": 9}])
)
PATHS = sorted(element_paths(NEWER), key=str)


def edit(config: dict[str, Any], path: tuple, value: Any = None, remove: bool = False):
    """Return a configuration with one element removed or replaced."""
    edited = deepcopy(config)
    container: Any = edited
    for name in path[:-1]:
        container = container[name]
    if remove:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return edited


def look_up_routes(reader: ViewReader) -> None:
    """Look up the terms of a request for each route of the current configuration."""
    config = reader.view.config
    assert config is not None
    for routes in config.routes.values():
        for route in routes:
            request = Mock(
                spec=ClientRequest, host=route.host, path=route.prefix, key=KEY
            )
            find_terms(request, config, Random(1))
    for service in config.services.values():
        if service.engine is not None:
            assert service.engine.slots > 0
            assert service.engine.prompt_rate > 0


def check_config(edited: Any) -> None:
    reader = ViewReader()
    reader.apply_decision(CONFIG_KEY, make_config(1))
    reader.apply_decision(CONFIG_KEY, edited)
    assert reader.view.config is not None
    if reader.view.config.version == 1:
        assert len(reader.events.bad_input_details()) <= 1
    look_up_routes(reader)
    if reader.view.config.version < 2**53:
        reader.apply_decision(CONFIG_KEY, make_config(2**53))
    assert reader.view.config.find_route(HOST, "/safe/x") is not None


@given(path=st.sampled_from(PATHS))
def test_a_configuration_without_an_element_never_raises(path: tuple) -> None:
    check_config(edit(NEWER, path, remove=True))


@settings(max_examples=300)
@given(path=st.sampled_from(PATHS), value=json_values)
def test_a_configuration_with_an_arbitrary_value_never_raises(
    path: tuple, value: Any
) -> None:
    check_config(edit(NEWER, path, value))


INVALID_CONFIGS = {
    "no tenants": without_field(NEWER, "tenants"),
    "no limits": without_field(NEWER, "limits"),
    "no routes": without_field(NEWER, "routes"),
    "no services": without_field(NEWER, "services"),
    "no version": without_field(NEWER, "version"),
    "version 0": with_fields(NEWER, version=0),
    "a version that is text": with_fields(NEWER, version="3"),
    "a version with a fraction": with_fields(NEWER, version=2.5),
    "a version that is true": with_fields(NEWER, version=True),
    "a route without a service": with_fields(
        NEWER, routes=[make_route("/a/", "safe", "")]
    ),
    "weights that are all 0": with_fields(
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
    "a negative weight": with_fields(
        NEWER,
        routes=[
            make_route("/a/", "safe", "", backends=[{"service": "app", "weight": -1}])
        ],
    ),
    "a timeout of 0": with_fields(
        NEWER, routes=[make_route("/a/", "safe", "app", timeout_ms=0)]
    ),
    "no attempts": with_fields(
        NEWER, routes=[make_route("/a/", "safe", "app", max_attempts=0)]
    ),
    "no connections": with_fields(
        NEWER, services=[{"name": "app", "health_path": "/h", "max_connections": 0}]
    ),
    "an origin with an invalid address": with_fields(
        NEWER, services=[{"name": "kafi", "origin": "nowhere", "zone": "a"}]
    ),
    "a list": [],
    "a value that is no JSON": Raw(b"\xff{"),
    "unterminated lists": Raw(b"[" * 100_000),
    "no value": Raw(b""),
}


@pytest.mark.parametrize("bad", INVALID_CONFIGS.values(), ids=INVALID_CONFIGS)
def test_an_invalid_configuration_does_not_replace_the_current_one(bad: Any) -> None:
    reader = ViewReader()
    reader.apply_decision(CONFIG_KEY, make_config(1))
    known = reader.view.config
    reader.apply_decision(CONFIG_KEY, bad)
    assert reader.view.config is known
    (line,) = reader.events.bad_input_details()
    assert line["key"] == CONFIG_KEY
    # A process that starts reads the invalid one; the valid one is pinned for it.
    (pinned,) = reader.pinned_decisions.pin.call_args.args
    assert pinned.value == encode(make_config(1))
    reader.apply_decision(CONFIG_KEY, make_config(2))
    assert reader.view.config.version == 2


INVALID_VERSION_DECISIONS = [
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


def format_parameter_id(value: Any) -> str:
    """Return a parameter id that is the same in every process."""
    return str(bytes(value) if isinstance(value, Raw) else value)


@pytest.mark.parametrize("bad", INVALID_VERSION_DECISIONS, ids=format_parameter_id)
def test_an_invalid_version_decision_does_not_replace_the_current_one(bad: Any) -> None:
    reader = ViewReader()
    key = f"version/{MODEL}"
    reader.apply_decision(key, {"model": MODEL, "version": 2})
    reader.apply_decision(key, bad)
    assert reader.view.wanted_version(ModelName(MODEL)) == 2
    (line,) = reader.events.bad_input_details()
    assert line["key"] == key
    reader.apply_decision(key, {"model": MODEL, "version": 3})
    assert reader.view.wanted_version(ModelName(MODEL)) == 3


@given(value=st.binary() | json_values.map(encode))
def test_arbitrary_decision_values_do_not_replace_the_current_ones(
    value: bytes,
) -> None:
    reader = ViewReader()
    reader.apply_decision(CONFIG_KEY, make_config(1))
    reader.apply_decision(f"version/{MODEL}", {"model": MODEL, "version": 2})
    for key in (CONFIG_KEY, f"version/{MODEL}", "version/", "other"):
        reader.apply_answer(Topic.DECISIONS, (key.encode(), value))
    assert reader.view.config is not None
    assert reader.view.config.version == 1
    assert reader.view.wanted_version(ModelName(MODEL)) == 2


def invalid_keys(front: GatewaySite) -> set[str]:
    events = front.gateway.events()
    bad = [event["detail"] for event in events if event["kind"] == "bad-input"]
    return {detail["key"] for detail in bad}


def test_a_gateway_serves_despite_invalid_records(front) -> None:
    front.add_engine("app")
    front.start()
    front.store.put(DECISIONS_TOPIC, CONFIG_KEY, Raw(b"\xff\xfe"))
    front.store.put_target("i-9", {"service": ["app"]})
    front.wait_until(lambda: {CONFIG_KEY, "i-9"} <= invalid_keys(front))
    assert front.ask("/safe/x")[0] == 200


def test_a_gateway_that_starts_with_an_invalid_configuration_serves(front) -> None:
    """The newest record of the key is invalid; the one before it was pinned."""
    front.add_engine("app")
    front.start()
    front.store.put(DECISIONS_TOPIC, CONFIG_KEY, Raw(b"\xff\xfe"))
    front.store.wait_for_appends(1)
    front.gateway.kill()
    front.gateway.start()
    front.wait_until(lambda: front.ready() == 200)
    assert front.ask("/safe/x")[0] == 200
