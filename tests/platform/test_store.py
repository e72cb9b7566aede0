"""What a gateway believes while its store fails in one way or another."""

import socket
from os import getpid
from time import monotonic, sleep

from gateway_site import make_config, make_route, receive_answer
from msgspec.json import encode

from ridgecourse.net.figures import METRICS_PORT
from ridgecourse.platform.names import DECISIONS_TOPIC, TARGETS_TOPIC
from ridgecourse_standins.platform.engine import send_response
from ridgecourse_standins.platform.store import StoreMode


def test_a_new_configuration_is_in_force_within_its_bound(front) -> None:
    front.add_engine("app")
    front.start()
    assert front.ask("/new/x")[0] == 404
    config = make_config(2)
    config["routes"].append(make_route("/new/", "safe", "app"))
    front.store.put_config(config)
    front.wait_until(lambda: front.ask("/new/x")[0] == 200, 2.0)


def test_an_older_configuration_never_replaces_a_newer(front) -> None:
    front.add_engine("app")
    newer = make_config(5)
    newer["routes"].append(make_route("/new/", "safe", "app"))
    front.start(newer)
    front.store.put_config(make_config(4))
    front.store.put_config({**newer, "version": 6})
    front.wait_until(
        lambda: front.gateway.events_path.read_text().count("config-folded") == 2
    )
    assert front.ask("/new/x")[0] == 200


def test_a_gateway_serves_on_while_the_store_is_away(front) -> None:
    engine = front.add_engine("app")
    front.start()
    for mode in (StoreMode.DOWN, StoreMode.SILENT):
        front.store.set_mode(mode)
        calls = front.store.calls
        front.wait_until(lambda calls=calls: front.store.calls > calls + 2)
        assert front.ask("/safe/x")[0] == 200
        assert front.ready() == 200
    assert len(engine.requests) == 2


def test_a_target_that_lapsed_in_an_outage_is_kept_until_it_returns(
    front,
) -> None:
    engine = front.add_engine("app")
    front.start()
    front.store.set_mode(StoreMode.DOWN)
    calls = front.store.calls
    front.wait_until(lambda: front.store.calls > calls + 2)
    front.store.put_target("i-0", None)
    front.store.set_mode(StoreMode.UP)
    front.wait_until(lambda: "log-back" in front.gateway.events_path.read_text())
    assert front.ask("/safe/x")[0] == 200
    front.list_engine(engine, "app")
    sleep_until = monotonic() + 3.5
    while monotonic() < sleep_until:
        assert front.ask("/safe/x")[0] == 200
        sleep(0.2)


def test_a_target_that_left_gets_no_request(front) -> None:
    engine = front.add_engine("app")
    other = front.add_engine("app")
    front.start()
    front.list_engine(engine, "app", state="draining")
    front.store.put_target("i-1", None)
    begun = monotonic()
    front.wait_until(lambda: front.ask("/safe/x")[0] == 503, 2.0)
    assert monotonic() - begun < 2.0
    counts = len(engine.requests), len(other.requests)
    assert front.ask("/safe/x")[0] == 503
    assert (len(engine.requests), len(other.requests)) == counts


def test_a_forgotten_history_is_read_from_the_newest_records(front) -> None:
    front.add_engine("app")
    front.start()
    for number in range(3):
        front.store.put(TARGETS_TOPIC, f"i-gone-{number}", None)
    front.store.compact_topic(TARGETS_TOPIC)
    front.store.compact_topic(DECISIONS_TOPIC)
    config = make_config(9)
    config["routes"].append(make_route("/new/", "safe", "app"))
    front.store.put_config(config)
    front.store.compact_topic(DECISIONS_TOPIC)
    front.wait_until(lambda: front.ask("/new/x")[0] == 200)


def test_a_key_taken_away_is_refused(front) -> None:
    front.add_engine("app", send_response)
    front.start()
    assert front.ask("/safe/x")[0] == 200
    front.store.put_config(
        make_config(2, tenants=[{"name": "shop", "api_keys": ["k"]}])
    )
    front.wait_until(lambda: front.ask("/safe/x")[0] == 401, 2.0)


def test_who_may_be_behind_sends_callers_elsewhere_and_does_not_reject(front) -> None:
    """A rejection is final for a caller, and callers of new routes and keys got it.

    Gateways that had not heard of the store for long answered 404 and 401 for what they
    did not know; another one might have known it.
    """
    front.add_engine("app")
    front.start()
    assert front.ask("/new/x")[0] == 404
    assert front.ask("/safe/x", key="new")[0] == 401
    front.store.set_mode(StoreMode.DOWN)
    front.wait_until(lambda: front.ask("/new/x")[0] == 503, 6.0)
    status, headers, _, _ = front.ask("/safe/x", key="new")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert front.ask("/safe/x")[0] == 200
    front.store.set_mode(StoreMode.UP)
    front.wait_until(lambda: front.ask("/new/x")[0] == 404, 5.0)


def use_own_figures(front) -> tuple[str, int]:
    """Return where a gateway's figures will be, out of the way of other runs.

    The port is fixed: an address of its own keeps other test runs' figures away.
    """
    host = f"127.{1 + getpid() % 250}.{1 + getpid() // 250 % 250}.1"
    front.settings["ip"] = host
    front.path.write_bytes(encode(front.settings))
    return host, METRICS_PORT


def test_a_gateway_starts_where_the_port_of_the_figures_is_taken(front) -> None:
    taken = socket.create_server(use_own_figures(front))
    with taken:
        front.add_engine("app")
        front.start()
        assert front.ask("/safe/x")[0] == 200


def read_figures(address: tuple[str, int]) -> tuple[int, bytes]:
    with socket.create_connection(address, 5.0) as connection:
        connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        status, _, body, _ = receive_answer(connection)
    return status, body


def test_figures_are_served_as_text(front) -> None:
    address = use_own_figures(front)
    front.add_engine("app")
    front.start()
    assert front.ask("/safe/x")[0] == 200
    status, body = read_figures(address)
    assert status == 200
    assert b"ridgecourse_requests_total 1\n" in body
    assert b'ridgecourse_first_answer_seconds_bucket{le="8.0"} 1\n' in body


def test_the_lag_of_the_event_loop_is_told(front) -> None:
    """Whether a process was late for its timers shows in its figures."""
    address = use_own_figures(front)
    front.start()
    front.gateway.pause()
    sleep(0.7)
    front.gateway.resume()

    def lag_seconds() -> float:
        lines = read_figures(address)[1].decode().splitlines()
        sums = [line for line in lines if "loop_lag_seconds_sum" in line]
        return float(sums[0].split()[1]) if sums else 0.0

    front.wait_until(lambda: lag_seconds() > 0.4)
