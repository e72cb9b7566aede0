"""Settings that change while a gateway runs, with a signal or without."""

import signal
from typing import Any

from msgspec.json import encode


def change(front, **more: Any) -> None:
    settings = {**front.settings, **more}
    front.path.write_bytes(encode(settings))


def test_a_change_without_a_signal_is_taken_in(front) -> None:
    front.add_engine("app")
    front.start()
    bounds = {**front.settings["bounds"], "version_ms": 9000, "grace_s": 9}
    change(front, bounds=bounds, seed_nodes=["127.0.0.8:1"])
    event = front.gateway.wait_event("settings-changed")
    assert sorted(event["detail"]["adopted"]) == ["bounds", "seeds"]
    assert event["detail"]["pending"] == []
    assert front.ask("/safe/x")[0] == 200


def test_an_address_takes_effect_at_the_next_start(front) -> None:
    front.add_engine("app")
    front.start()
    change(front, listen={**front.settings["listen"], "frontend": "127.0.0.1:9"})
    front.gateway.started_process.send_signal(signal.SIGHUP)
    event = front.gateway.wait_event("settings-changed")
    assert event["detail"]["pending"] == ["callers"]
    assert front.ask("/safe/x")[0] == 200


def test_settings_that_do_not_fit_leave_those_in_force(front) -> None:
    front.add_engine("app")
    front.start()
    bounds = {**front.settings["bounds"], "version_ms": "soon"}
    change(front, bounds=bounds)
    front.gateway.started_process.send_signal(signal.SIGHUP)
    event = front.gateway.wait_event("bad-input")
    assert "version_ms" in event["detail"]["error"]
    assert front.ask("/safe/x")[0] == 200
    # Told once, not at each look.
    change(front)
    front.gateway.wait_event("settings-changed")
    assert sum(e["kind"] == "bad-input" for e in front.gateway.events()) == 1
