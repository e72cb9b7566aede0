"""What a gateway believes while its store fails in one way or another."""

from time import monotonic, sleep

from gateway_site import make_config, make_route

from ridgecourse.platform.names import DECISIONS_TOPIC, TARGETS_TOPIC
from ridgecourse_standins.platform.engine import send_whole
from ridgecourse_standins.platform.store import StoreMode


def test_a_new_configuration_is_in_force_within_its_bound(site) -> None:
    site.add_engine("app")
    site.start()
    assert site.ask("/new/x")[0] == 404
    config = make_config(2)
    config["routes"].append(make_route("/new/", "safe", "app"))
    site.store.put_config(config)
    site.wait_until(lambda: site.ask("/new/x")[0] == 200, 2.0)


def test_an_older_configuration_never_replaces_a_newer(site) -> None:
    site.add_engine("app")
    newer = make_config(5)
    newer["routes"].append(make_route("/new/", "safe", "app"))
    site.start(newer)
    site.store.put_config(make_config(4))
    site.store.put_config({**newer, "version": 6})
    site.wait_until(
        lambda: site.gateway.events_path.read_text().count("config-folded") == 2
    )
    assert site.ask("/new/x")[0] == 200


def test_a_gateway_serves_on_while_the_store_is_away(site) -> None:
    engine = site.add_engine("app")
    site.start()
    for mode in (StoreMode.DOWN, StoreMode.SILENT):
        site.store.set_mode(mode)
        calls = site.store.calls
        site.wait_until(lambda calls=calls: site.store.calls > calls + 2)
        assert site.ask("/safe/x")[0] == 200
        assert site.ready() == 200
    assert len(engine.requests) == 2


def test_a_target_that_lapsed_in_an_outage_is_kept_until_it_returns(site) -> None:
    engine = site.add_engine("app")
    site.start()
    site.store.set_mode(StoreMode.DOWN)
    calls = site.store.calls
    site.wait_until(lambda: site.store.calls > calls + 2)
    site.store.put_target("i-0", None)
    site.store.set_mode(StoreMode.UP)
    site.wait_until(lambda: "log-back" in site.gateway.events_path.read_text())
    assert site.ask("/safe/x")[0] == 200
    site.list_engine(engine, "app")
    sleep_until = monotonic() + 3.5
    while monotonic() < sleep_until:
        assert site.ask("/safe/x")[0] == 200
        sleep(0.2)


def test_a_target_that_left_gets_no_request(site) -> None:
    engine = site.add_engine("app")
    other = site.add_engine("app")
    site.start()
    site.list_engine(engine, "app", state="draining")
    site.store.put_target("i-1", None)
    begun = monotonic()
    site.wait_until(lambda: site.ask("/safe/x")[0] == 503, 2.0)
    assert monotonic() - begun < 2.0
    counts = len(engine.requests), len(other.requests)
    assert site.ask("/safe/x")[0] == 503
    assert (len(engine.requests), len(other.requests)) == counts


def test_a_forgotten_history_is_read_from_the_newest_records(site) -> None:
    site.add_engine("app")
    site.start()
    for number in range(3):
        site.store.put(TARGETS_TOPIC, f"i-gone-{number}", None)
    site.store.forget_history(TARGETS_TOPIC)
    site.store.forget_history(DECISIONS_TOPIC)
    config = make_config(9)
    config["routes"].append(make_route("/new/", "safe", "app"))
    site.store.put_config(config)
    site.store.forget_history(DECISIONS_TOPIC)
    site.wait_until(lambda: site.ask("/new/x")[0] == 200)


def test_a_key_taken_away_is_refused(site) -> None:
    site.add_engine("app", send_whole)
    site.start()
    assert site.ask("/safe/x")[0] == 200
    site.store.put_config(make_config(2, tenants=[{"name": "shop", "api_keys": ["k"]}]))
    site.wait_until(lambda: site.ask("/safe/x")[0] == 401, 2.0)
