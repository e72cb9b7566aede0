"""A gateway keeps serving and applies the right decisions while its store fails."""

import socket
from os import getpid
from time import monotonic, sleep

from gateway_site import make_config, make_route, receive_response
from msgspec.json import encode

from ridgecourse.net.figures import METRICS_PORT
from ridgecourse.platform.names import DECISIONS_TOPIC, TARGETS_TOPIC
from ridgecourse_standins.platform.engine import send_response
from ridgecourse_standins.platform.store import StoreMode


def test_new_configuration_is_in_force_within_its_bound(front) -> None:
    front.add_engine("app")
    front.start()
    assert front.ask("/new/x")[0] == 404
    config = make_config(2)
    config["routes"].append(make_route("/new/", "safe", "app"))
    front.store.put_config(config)
    front.wait_until(lambda: front.ask("/new/x")[0] == 200, 2.0)


def test_older_configuration_never_replaces_newer_one(front) -> None:
    front.add_engine("app")
    newer_config = make_config(5)
    newer_config["routes"].append(make_route("/new/", "safe", "app"))
    front.start(newer_config)
    front.store.put_config(make_config(4))
    front.store.put_config({**newer_config, "version": 6})
    front.wait_until(
        lambda: front.gateway.events_path.read_text().count("config-folded") == 2
    )
    assert front.ask("/new/x")[0] == 200


def test_gateway_keeps_serving_during_store_outage(front) -> None:
    engine = front.add_engine("app")
    front.start()
    for mode in (StoreMode.DOWN, StoreMode.SILENT):
        front.store.set_mode(mode)
        calls = front.store.calls
        front.wait_until(lambda calls=calls: front.store.calls > calls + 2)
        assert front.ask("/safe/x")[0] == 200
        assert front.ready() == 200
    assert len(engine.requests) == 2


def test_target_removed_during_outage_is_kept_until_it_returns(
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
    front.register_engine(engine, "app")
    end = monotonic() + 3.5
    while monotonic() < end:
        assert front.ask("/safe/x")[0] == 200
        sleep(0.2)


def test_target_that_left_receives_no_request(front) -> None:
    engine = front.add_engine("app")
    other_engine = front.add_engine("app")
    front.start()
    front.register_engine(engine, "app", state="draining")
    front.store.put_target("i-1", None)
    started_at = monotonic()
    front.wait_until(lambda: front.ask("/safe/x")[0] == 503, 2.0)
    assert monotonic() - started_at < 2.0
    request_counts = len(engine.requests), len(other_engine.requests)
    assert front.ask("/safe/x")[0] == 503
    assert (len(engine.requests), len(other_engine.requests)) == request_counts


def test_compacted_topic_is_read_from_its_newest_records(front) -> None:
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


def test_removed_api_key_is_rejected(front) -> None:
    front.add_engine("app", send_response)
    front.start()
    assert front.ask("/safe/x")[0] == 200
    front.store.put_config(
        make_config(2, tenants=[{"name": "shop", "api_keys": ["k"]}])
    )
    front.wait_until(lambda: front.ask("/safe/x")[0] == 401, 2.0)


def test_gateway_with_stale_data_refers_clients_elsewhere_instead_of_rejecting(
    front,
) -> None:
    """A gateway with stale data answers 503 instead of 404 and 401.

    A rejection is final for a client. Gateways whose data the store had not confirmed
    for long rejected requests for new routes and keys with 404 and 401, although
    another gateway might have known the route or key.
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


def use_exclusive_metrics_address(front) -> tuple[str, int]:
    """Set an address for the gateway's metrics; return the address and the port.

    The port is fixed, so an exclusive address keeps the metrics of other test runs
    apart.
    """
    host = f"127.{1 + getpid() % 250}.{1 + getpid() // 250 % 250}.1"
    front.settings["ip"] = host
    front.path.write_bytes(encode(front.settings))
    return host, METRICS_PORT


def test_gateway_starts_if_metrics_port_is_in_use(front) -> None:
    occupied_port = socket.create_server(use_exclusive_metrics_address(front))
    with occupied_port:
        front.add_engine("app")
        front.start()
        assert front.ask("/safe/x")[0] == 200


def fetch_metrics(address: tuple[str, int]) -> tuple[int, bytes]:
    with socket.create_connection(address, 5.0) as connection:
        connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        status, _, body, _ = receive_response(connection)
    return status, body


def test_metrics_are_served_as_text(front) -> None:
    address = use_exclusive_metrics_address(front)
    front.add_engine("app")
    front.start()
    assert front.ask("/safe/x")[0] == 200
    status, body = fetch_metrics(address)
    assert status == 200
    assert b"ridgecourse_requests_total 1\n" in body
    assert b'ridgecourse_first_answer_seconds_bucket{le="8.0"} 1\n' in body


def test_event_loop_lag_is_in_metrics(front) -> None:
    """The metrics show whether the timers of a process ran late."""
    address = use_exclusive_metrics_address(front)
    front.start()
    front.gateway.pause()
    sleep(0.7)
    front.gateway.resume()

    def loop_lag_seconds() -> float:
        lines = fetch_metrics(address)[1].decode().splitlines()
        sum_lines = [line for line in lines if "loop_lag_seconds_sum" in line]
        return float(sum_lines[0].split()[1]) if sum_lines else 0.0

    front.wait_until(lambda: loop_lag_seconds() > 0.4)
