"""Decisions that were replaced must not come back.

What happened: some seconds after all processes had been killed and started again,
engines that served version 3 of a model were brought back to version 2, and requests
began on it 32 s after version 3 had been acknowledged.

Sequence: version 2 was named (offset 13 of the decisions), version 3 (offset 14),
then version 2 once more (offset 15): a write without an answer had been done again,
and the first one was carried out late. Processes that ran kept version 3. Those that
started read the newest record of each key, and that is version 2.

What settled it: before the restart `version-named` 2 and 3 with offsets 13 and 14;
after it `version-named` 2 with offset 15, at every process, and none with 3.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import MODEL, GatewaySite, make_config, make_route
from msgspec.json import encode
from test_loader import LoaderSite


def use_bounds(front: GatewaySite, **bounds: int) -> None:
    front.settings["bounds"].update(bounds)
    front.path.write_bytes(encode(front.settings))


def restart(front: GatewaySite) -> None:
    front.gateway.kill()
    front.gateway.start()
    front.wait_until(lambda: front.ready() == 200)


def test_a_configuration_written_late_does_not_come_back_with_a_restart(front) -> None:
    front.add_engine("app")
    newer = make_config(6)
    newer["routes"].append(make_route("/new/", "safe", "app"))
    front.start(make_config(5))
    front.store.put_config(newer)
    front.gateway.wait_event("config-folded", version="6")
    front.store.put_config(make_config(5))
    front.gateway.wait_event("decision-outdated", version="5")
    front.store.wait_for_appends(1)
    restart(front)
    assert front.ask("/new/x")[0] == 200


def test_what_is_kept_is_not_replaced_by_a_late_write_either(front) -> None:
    """The system's own writes are lost and done late as well.

    Version 3 was kept, then version 5; the write of version 3 was done late, and the
    next start believed that. Nothing could be brought in: the origin had it no more.
    """
    front.add_engine("app")
    front.start(make_config(5))
    front.store.delay_writes()
    for version in (6, 5):
        front.store.put_config(make_config(version))
    assert front.store.wait_for_delayed_write()
    front.store.resume_writes()
    newest = make_config(7)
    newest["routes"].append(make_route("/new/", "safe", "app"))
    for config in (newest, make_config(6)):
        front.store.put_config(config)
    front.gateway.wait_event("decision-outdated", version="6")
    front.gateway.wait_event("decision-kept", offset=3)
    front.store.apply_late_writes()
    restart(front)
    assert front.ask("/new/x")[0] == 200


def test_who_starts_before_a_decision_is_kept_learns_of_it(front) -> None:
    """Found by reading: a start between a late write and the keeping found nothing."""
    front.add_engine("app")
    newer = make_config(6)
    newer["routes"].append(make_route("/new/", "safe", "app"))
    front.start(newer)
    front.store.delay_writes()
    front.store.put_config(make_config(5))
    assert front.store.wait_for_delayed_write()
    restart(front)
    assert front.ask("/new/x")[0] == 404
    front.store.resume_writes()
    front.store.apply_late_writes()
    front.wait_until(lambda: front.ask("/new/x")[0] == 200, 10.0)


def test_who_is_behind_does_not_miss_what_a_late_write_follows(front) -> None:
    """Found by reading: what was passed over may be higher than the newest record."""
    front.add_engine("app")
    front.start()
    front.gateway.pause()
    idle = [make_route(f"/idle-{n}/", "safe", "app") for n in range(200)]
    for version in (*range(2, 20), 18):
        config = make_config(version)
        config["routes"].extend(idle)
        if version == 19:
            config["routes"].append(make_route("/new/", "safe", "app"))
        front.store.put_config(config)
    front.gateway.resume()
    front.gateway.wait_event("config-folded", version="18")
    front.wait_until(lambda: front.ask("/new/x")[0] == 200, 10.0)


def test_a_version_named_late_does_not_come_back_with_a_restart(front) -> None:
    old = front.add_engine("llm", version=2)
    new = front.add_engine("llm", version=3)
    # So short that nothing may begin on older weights once newer ones are named.
    use_bounds(front, version_ms=300)
    front.start()
    for version in (2, 3, 2):
        front.store.put_version(MODEL, version)
    front.gateway.wait_event("decision-outdated", version="2")
    front.store.wait_for_appends(1)
    restart(front)
    for _ in range(8):
        front.ask("/once-stream/x", extra=(f"Model: {MODEL}",))
    assert len(new.requests) > 0
    versions = {request.header("Expected-Version") for request in old.requests}
    assert versions <= {"3"}


def test_a_restart_does_not_put_a_versions_bound_off(front) -> None:
    """A gateway that starts does not know since when a version is named.

    It counted the time in which requests may still begin on older weights from its own
    start, so that each restart added all of that time once more.
    """
    old = front.add_engine("llm", version=1)
    front.start()
    front.store.put_version(MODEL, 2)
    front.gateway.wait_event("version-named", version="2")
    restart(front)
    front.ask("/once-stream/x", extra=(f"Model: {MODEL}",))
    versions = {request.header("Expected-Version") for request in old.requests}
    assert versions == {"2"}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[LoaderSite]:
    loader_site = LoaderSite(tmp_path)
    yield loader_site
    loader_site.close()


def test_an_engine_is_not_brought_back_to_an_older_version(site) -> None:
    site.start()
    for version in (2, 3):
        site.store.put_version(MODEL, version)
    site.wait_serving(3)
    serving = {"phase": "serving", "error": ""}
    site.loader.wait_event("rollout-phase", detail=serving)
    site.store.put_version(MODEL, 2)
    site.loader.wait_event("decision-outdated", version="2")
    site.store.wait_for_appends(1)
    site.loader.kill()
    site.loader.start()
    site.loader.wait_event("rollout-phase", after=1, detail=serving)
    assert site.engine.version == 3
