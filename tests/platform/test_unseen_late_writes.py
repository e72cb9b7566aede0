"""A late write that no process sees does not take a newer decision back.

Guards against late writes that the store does while no process of the system runs. A
key that configuration 7 took away was accepted for good: configuration 4 had been
written without an answer before, its write was done between a loss of power and the
start, and the newest record of the key was all that the processes read.
"""

from collections.abc import Callable, Iterator
from pathlib import Path
from time import sleep
from typing import Any

import pytest
from gateway_site import KEY, MODEL, GatewaySite, make_config
from test_crashing_requests import MultiGatewaySite
from test_domain_reads import GATEWAYS
from test_loader import LoaderSite

from ridgecourse.cluster.domain_source import PIN_STEP_SECONDS
from ridgecourse.platform.names import CONFIG_KEY, DECISIONS_TOPIC, PINNED_TOPIC
from ridgecourse_standins.platform.store import StoreMode

REVOKED_KEY = "key-that-is-taken-away"
PATH = "/safe/x"


def with_keys(version: int, *keys: str) -> dict[str, Any]:
    config = make_config(version)
    config["tenants"][0]["api_keys"] = list(keys)
    return config


def revoke_key(front: GatewaySite) -> None:
    """Start a gateway, and take a key away with configuration 7."""
    front.add_engine("app")
    front.start(with_keys(1, KEY, REVOKED_KEY))
    assert front.ask(PATH, key=REVOKED_KEY)[0] == 200
    front.store.put_config(with_keys(7, KEY))
    front.gateway.wait_event("config-folded", version="7")


def lose_power(front: GatewaySite, while_away: Callable[[], None]) -> None:
    front.gateway.kill()
    while_away()
    front.gateway.start()
    front.wait_until(lambda: front.ready() == 200)


def put_late(front: GatewaySite, *versions: int) -> None:
    for version in versions:
        front.store.put_config(with_keys(version, KEY, REVOKED_KEY))


def wait_until_pinned(site: GatewaySite | LoaderSite, key: str, offset: int) -> None:
    process = site.gateway if isinstance(site, GatewaySite) else site.loader
    process.wait_event("decision-kept", offset=offset, detail={"key": key})


def assert_revoked(front: GatewaySite) -> None:
    assert front.ask(PATH)[0] == 200
    assert front.ask(PATH, key=REVOKED_KEY)[0] == 401


def test_a_removed_key_is_rejected_after_a_late_write_without_power(front) -> None:
    revoke_key(front)
    wait_until_pinned(front, "config", 1)
    lose_power(front, lambda: put_late(front, 4))
    assert_revoked(front)


def test_a_removed_key_is_rejected_after_two_late_writes_without_power(front) -> None:
    """Of the two late writes the higher one came first."""
    revoke_key(front)
    lose_power(front, lambda: put_late(front, 5, 4))
    assert_revoked(front)


def test_a_removed_key_is_rejected_though_the_history_is_dropped(front) -> None:
    revoke_key(front)
    wait_until_pinned(front, "config", 1)

    def drop_history() -> None:
        put_late(front, 4)
        front.store.compact_topic(DECISIONS_TOPIC)

    lose_power(front, drop_history)
    assert_revoked(front)


def test_a_removed_key_is_rejected_though_no_pin_could_be_written(front) -> None:
    """The store has its history, from which a start reads what is not pinned."""
    front.store.delay_writes()
    revoke_key(front)
    assert front.store.wait_for_delayed_write()
    lose_power(front, lambda: put_late(front, 4))
    assert front.store.topics.get(PINNED_TOPIC, []) == []
    assert_revoked(front)


def test_a_part_of_the_history_is_read_if_the_rest_is_dropped(front) -> None:
    front.store.delay_writes()
    revoke_key(front)
    assert front.store.wait_for_delayed_write()

    def drop_first_record() -> None:
        put_late(front, 4)
        front.store.earliest_offsets[DECISIONS_TOPIC] = 1

    lose_power(front, drop_first_record)
    assert_revoked(front)


def test_a_decision_that_no_process_has_read_is_in_force_after_a_start(front) -> None:
    """It was acknowledged and replaced while all machines were without power."""
    front.add_engine("app")
    front.start(with_keys(1, KEY, REVOKED_KEY))
    wait_until_pinned(front, "config", 0)

    def write_both() -> None:
        front.store.put_config(with_keys(7, KEY))
        put_late(front, 4)

    lose_power(front, write_both)
    assert_revoked(front)


def test_a_start_waits_for_a_history_that_cannot_be_read_yet(front) -> None:
    """Meanwhile requests are refused, not served by the configuration that is known."""
    revoke_key(front)
    front.gateway.kill()
    put_late(front, 4)
    front.store.set_mode(StoreMode.DOWN)
    front.gateway.start()
    front.gateway.wait_event("log-lost")
    assert front.ready() != 200
    front.store.set_mode(StoreMode.UP)
    front.wait_until(lambda: front.ready() == 200)
    assert_revoked(front)


def test_a_start_reads_no_history_if_all_decisions_are_pinned(front) -> None:
    revoke_key(front)
    wait_until_pinned(front, "config", 1)
    lose_power(front, lambda: None)
    kinds = {event["kind"] for event in front.gateway.events()}
    assert "decisions-read-back" not in kinds
    assert_revoked(front)


@pytest.fixture
def two_domains(tmp_path: Path) -> Iterator[MultiGatewaySite]:
    gateways = MultiGatewaySite(tmp_path)
    for host in GATEWAYS[3:]:
        gateways.change_settings(host, zone="b")
    yield gateways
    gateways.close()


def test_one_of_the_gateways_of_two_domains_pins_a_decision(two_domains) -> None:
    two_domains.add_engine("app")
    two_domains.start(with_keys(1, KEY, REVOKED_KEY))
    for version in (6, 7):
        two_domains.store.put_config(with_keys(version, KEY))
        sleep(2 * PIN_STEP_SECONDS)
    pins = two_domains.store.topics[PINNED_TOPIC]
    assert [key for key, _ in pins] == 3 * [CONFIG_KEY]


def test_a_decision_is_pinned_by_another_domain_if_the_first_one_cannot_write(
    two_domains,
) -> None:
    two_domains.add_engine("app")
    two_domains.start(with_keys(1, KEY, REVOKED_KEY))
    sleep(2 * PIN_STEP_SECONDS)
    two_domains.store.refused_writers.update(GATEWAYS[:3])
    two_domains.store.put_config(with_keys(7, KEY))
    sleep(2 * PIN_STEP_SECONDS)
    assert len(two_domains.store.topics[PINNED_TOPIC]) == 2


@pytest.fixture
def site(tmp_path: Path) -> Iterator[LoaderSite]:
    loader_site = LoaderSite(tmp_path)
    yield loader_site
    loader_site.close()


@pytest.mark.parametrize("has_history", [True, False])
def test_an_engine_is_not_set_back_after_a_late_write_without_power(
    site, has_history: bool
) -> None:
    site.start()
    for version in (2, 3):
        site.store.put_version(MODEL, version)
    site.wait_serving(3)
    serving = {"phase": "serving", "error": ""}
    site.loader.wait_event("rollout-phase", detail=serving)
    if not has_history:
        wait_until_pinned(site, f"version/{MODEL}", 2)
    site.loader.kill()
    site.store.put_version(MODEL, 2)
    if not has_history:
        site.store.compact_topic(DECISIONS_TOPIC)
    site.loader.start()
    site.loader.wait_event("rollout-phase", after=1, detail=serving)
    assert site.engine.version == 3
