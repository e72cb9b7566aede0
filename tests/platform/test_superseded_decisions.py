"""Tests that superseded decisions do not become effective again.

A write without an answer is repeated, and the first write may take effect late: version
2 is announced (offset 13 of the decisions), then version 3 (offset 14), then version 2
again (offset 15). Running processes keep version 3, but a process that restarts reads
the newest record of each key, which is version 2. Before a restart of all processes,
they applied versions 2 and 3 at offsets 13 and 14; after the restart every process
applied version 2 at offset 15 and none applied version 3. Engines that served version 3
were set back to version 2, and requests started on version 2 32 s after the
acknowledgement of version 3.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import MODEL, GatewaySite, make_config, make_route
from msgspec.json import encode
from test_loader import LoaderSite

from ridgecourse.platform.names import DECISIONS_TOPIC


def set_bounds(front: GatewaySite, **bounds: int) -> None:
    front.settings["bounds"].update(bounds)
    front.path.write_bytes(encode(front.settings))


def restart(front: GatewaySite) -> None:
    front.gateway.kill()
    front.gateway.start()
    front.wait_until(lambda: front.ready() == 200)


def test_late_configuration_write_is_ignored_after_a_restart(front) -> None:
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


def test_pinned_decision_is_not_replaced_by_a_late_write(front) -> None:
    """Writes of pinned decisions may be lost or take effect late as well.

    Version 3 was pinned, then version 5. The write of version 3 took effect late, and
    the next process that started applied version 3. The version could not be fetched
    because the origin had deleted version 3.
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


def test_process_started_before_a_decision_is_pinned_receives_the_decision(
    front,
) -> None:
    """A process that starts between a late write and the pinning finds no decision.

    The store has dropped its history, from which the process would read it.
    """
    front.add_engine("app")
    newer = make_config(6)
    newer["routes"].append(make_route("/new/", "safe", "app"))
    front.store.delay_writes()
    front.start(newer)
    assert front.store.wait_for_delayed_write()
    front.store.put_config(make_config(5))
    front.gateway.wait_event("decision-outdated", version="5")
    front.store.compact_topic(DECISIONS_TOPIC)
    restart(front)
    assert front.ask("/new/x")[0] == 404
    front.store.resume_writes()
    front.store.apply_late_writes()
    front.wait_until(lambda: front.ask("/new/x")[0] == 200, 10.0)


def test_lagging_process_applies_a_decision_followed_by_a_late_write(front) -> None:
    """A skipped record may hold a higher version than the newest record."""
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


def test_late_version_write_is_ignored_after_a_restart(front) -> None:
    old_engine = front.add_engine("llm", version=2)
    new_engine = front.add_engine("llm", version=3)
    # So short that no request may start on older weights after the announcement.
    set_bounds(front, version_ms=300)
    front.start()
    for version in (2, 3, 2):
        front.store.put_version(MODEL, version)
    front.gateway.wait_event("decision-outdated", version="2")
    front.store.wait_for_appends(1)
    restart(front)
    for _ in range(8):
        front.ask("/once-stream/x", extra=(f"Model: {MODEL}",))
    assert len(new_engine.requests) > 0
    versions = {request.header("Expected-Version") for request in old_engine.requests}
    assert versions <= {"3"}


def test_restart_does_not_extend_the_bound_of_a_version(front) -> None:
    """A gateway that starts does not know when a version was announced.

    Counted from the start of the gateway, the time in which requests may start on older
    weights would begin again with each restart.
    """
    old_engine = front.add_engine("llm", version=1)
    front.start()
    front.store.put_version(MODEL, 2)
    front.gateway.wait_event("version-named", version="2")
    restart(front)
    front.ask("/once-stream/x", extra=(f"Model: {MODEL}",))
    versions = {request.header("Expected-Version") for request in old_engine.requests}
    assert versions == {"2"}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[LoaderSite]:
    loader_site = LoaderSite(tmp_path)
    yield loader_site
    loader_site.close()


def test_engine_is_not_set_back_to_an_older_version(site) -> None:
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
