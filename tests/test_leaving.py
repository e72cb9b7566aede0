"""Tests that leaving targets get no new work and planned stops interrupt no request."""

from collections.abc import Callable
from time import monotonic

from conftest import ClusterSite

from ridgecourse_standins.client import LoadGenerator, prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, Plan

PLAN = Plan(domains=("a",), entries=2, targets=2, plain=0)


def execution_count(site: ClusterSite, target: str) -> int:
    """Return the number of requests that the engine of a target has started."""
    address = site.cluster.addresses[f"engine-{target}"]
    return len(site.cluster.get_json(address, "/executions")["executions"])


def remove_target(site: ClusterSite, target: str, entry: int = 0) -> None:
    site.cluster.make_change("LeaveTarget", entry, target=target)


def test_leaving_target_gets_no_new_work(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    load = LoadGenerator(site.client, MODEL_SERVICE, 40.0, tokens=4)
    load.start()
    site.cluster.wait_until("both serve", lambda: execution_count(site, "a-0") > 3)
    remove_target(site, "a-0")
    site.cluster.agents[0].managed.wait_event("target-leaving")
    executions_before = execution_count(site, "a-0")
    answers_before = len(site.client.history)
    site.cluster.wait_until(
        "more requests", lambda: len(site.client.history) > answers_before + 40
    )
    assert execution_count(site, "a-0") == executions_before
    load.close()
    assert {answer.outcome for answer in site.client.history} == {"completed"}


def test_leaving_target_refuses_work_of_stale_entry(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(targets=1))
    site.roll_out("v1", 1)
    stale_entry = site.cluster.entries[1].managed
    stale_entry.pause()
    remove_target(site, "a-0")
    site.cluster.agents[0].managed.wait_event("target-leaving")
    site.cluster.set_faults("log", down=True)
    # Only the agent itself can inform the stale entry that the target is leaving.
    site.cluster.entries[0].managed.kill()
    executions_before = execution_count(site, "a-0")
    stale_entry.resume()
    for _ in range(5):
        answer = site.client.send(MODEL_SERVICE, prompt_body(), 1)
        assert answer.outcome == "not-run"
    assert execution_count(site, "a-0") == executions_before


def test_planned_stop_of_agent_interrupts_no_stream(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    load = LoadGenerator(site.client, MODEL_SERVICE, 3.0, tokens=200)
    load.start()
    site.cluster.wait_until("both serve", lambda: execution_count(site, "a-0") > 3)
    assert site.cluster.agents[0].managed.stop() == 0
    answers_before = len(site.client.history)
    site.cluster.wait_until(
        "more requests", lambda: len(site.client.history) > answers_before + 10
    )
    load.close()
    failed = [
        answer
        for answer in site.client.history
        if answer.outcome != "completed" or not answer.correct
    ]
    assert not failed


def test_a_planned_stop_of_an_entry_cuts_off_no_stream(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    load = LoadGenerator(site.client, MODEL_SERVICE, 20.0, tokens=60)
    load.start()
    site.cluster.wait_until(
        "requests have ended", lambda: len(site.client.history) > 10
    )
    stop_started_at = monotonic()
    assert site.cluster.entries[0].managed.stop() == 0
    load.close()
    unknown = [answer for answer in site.client.history if answer.outcome == "unknown"]
    sent_before_stop = [
        answer for answer in site.client.history if answer.sent_at < stop_started_at
    ]
    assert not unknown
    assert all(
        answer.outcome == "completed" and answer.correct for answer in sent_before_stop
    )
