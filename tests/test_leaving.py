"""Targets that leave get no new work; planned stops cut off no request."""

from collections.abc import Callable
from time import monotonic

from conftest import Site

from ridgecourse_standins.client import LoadGenerator, prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, Plan

PLAN = Plan(domains=("a",), entries=2, targets=2, plain=0)


def started_at(here: Site, target: str) -> int:
    address = here.cluster.addresses[f"engine-{target}"]
    return len(here.cluster.get_json(address, "/executions")["executions"])


def leave(here: Site, target: str, entry: int = 0) -> None:
    here.cluster.make_change("LeaveTarget", entry, target=target)


def test_a_leaving_target_gets_no_new_work(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    here.roll_out("v1", 1)
    load = LoadGenerator(here.caller, MODEL_SERVICE, 40.0, tokens=4)
    load.start()
    here.cluster.wait_until("both serve", lambda: started_at(here, "a-0") > 3)
    leave(here, "a-0")
    here.cluster.agents[0].managed.wait_event("target-leaving")
    count = started_at(here, "a-0")
    sent = len(here.caller.history)
    here.cluster.wait_until(
        "more requests", lambda: len(here.caller.history) > sent + 40
    )
    assert started_at(here, "a-0") == count
    load.close()
    assert {a.outcome for a in here.caller.history} == {"completed"}


def test_a_stale_entry_cannot_bring_work_to_a_leaving_target(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN._replace(targets=1))
    here.roll_out("v1", 1)
    stale = here.cluster.entries[1].managed
    stale.pause()
    leave(here, "a-0")
    here.cluster.agents[0].managed.wait_event("target-leaving")
    here.cluster.set_faults("log", down=True)
    # Nothing can tell the stale entry but the agent itself.
    here.cluster.entries[0].managed.kill()
    count = started_at(here, "a-0")
    stale.resume()
    for _ in range(5):
        answer = here.caller.send(MODEL_SERVICE, prompt_body(), 1)
        assert answer.outcome == "not-run"
    assert started_at(here, "a-0") == count


def test_a_planned_stop_of_an_agent_cuts_off_no_stream(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    here.roll_out("v1", 1)
    load = LoadGenerator(here.caller, MODEL_SERVICE, 3.0, tokens=200)
    load.start()
    here.cluster.wait_until("both serve", lambda: started_at(here, "a-0") > 3)
    assert here.cluster.agents[0].managed.stop() == 0
    sent = len(here.caller.history)
    here.cluster.wait_until(
        "more requests", lambda: len(here.caller.history) > sent + 10
    )
    load.close()
    wrong = [
        a for a in here.caller.history if a.outcome != "completed" or not a.correct
    ]
    assert not wrong


def test_a_planned_stop_of_an_entry_cuts_off_no_stream(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    here.roll_out("v1", 1)
    load = LoadGenerator(here.caller, MODEL_SERVICE, 20.0, tokens=60)
    load.start()
    here.cluster.wait_until("requests run", lambda: len(here.caller.history) > 10)
    began = monotonic()
    assert here.cluster.entries[0].managed.stop() == 0
    load.close()
    unknown = [a for a in here.caller.history if a.outcome == "unknown"]
    before = [a for a in here.caller.history if a.sent_at < began]
    assert not unknown
    assert all(a.outcome == "completed" and a.correct for a in before)
