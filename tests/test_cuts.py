"""Failure domains cut off from each other and from the platform serve on."""

from collections.abc import Callable

from conftest import Site
from test_changes import traffic, wait_agreed

from ridgecourse_standins.client import prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, PLAIN_SERVICE, Plan

PLAN = Plan(domains=("a", "b"), entries=1, targets=1, plain=1, relayed=True)
ALONE = (("b", "a"), ("b", "platform"))
NO_PLATFORM = (("a", "platform"), ("b", "platform"))
ACCEPTED = "CHANGE_STATUS_ACCEPTED"
UNKNOWN = "CHANGE_STATUS_UNKNOWN"


def offset(here: Site, entry: int) -> int:
    return here.cluster.status(here.cluster.entries[entry])["offset"]


def send(here: Site, entry: int, **options: object) -> str:
    body = prompt_body()
    answer = here.caller.send(MODEL_SERVICE, body, entry, **options)  # type: ignore[arg-type]
    assert answer.correct or answer.outcome != "completed"
    return answer.outcome


def test_without_the_platform_everything_but_decisions_goes_on(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    here.roll_out("v1", 1)
    here.cluster.cut(*NO_PLATFORM)
    for entry in (0, 1):
        assert send(here, entry) == "completed"
        assert send(here, entry, key=f"k{entry}") == "not-run"
        assert (
            here.caller.send(PLAIN_SERVICE, f"c{entry}", entry).outcome == "completed"
        )
        assert traffic(here, entry, 1, deadlineMs=300)["status"] == UNKNOWN
    here.cluster.cut()
    wait_agreed(here)
    assert traffic(here, 1, 2)["status"] == ACCEPTED


def test_a_domain_alone_serves_what_its_engines_hold(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    here.roll_out("v1", 1)
    here.cluster.cut(*ALONE)
    assert send(here, 1) == "completed"
    assert send(here, 0) == "completed"
    # The plain service stands in the other domain. A relay takes a connection
    # before it drops it, so that bytes have left the entry.
    assert here.caller.send(PLAIN_SERVICE, "cut", 1).outcome == "unknown"
    assert traffic(here, 1, 1, deadlineMs=300)["status"] == UNKNOWN
    assert traffic(here, 0, 2)["status"] == ACCEPTED
    here.cluster.cut()
    wait_agreed(here)
    assert here.caller.send(PLAIN_SERVICE, "c", 1).outcome == "completed"
    assert here.calls() == {"c": 1}


def test_a_domain_cut_from_the_platform_learns_from_another(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    wait_agreed(here)
    here.cluster.cut(("b", "platform"))
    here.cluster.entries[1].managed.wait_event("log-lost")
    assert traffic(here, 0, 3)["status"] == ACCEPTED
    here.cluster.wait_until("b has it", lambda: offset(here, 1) == offset(here, 0))
    wait_agreed(here)


def test_an_entry_restarted_in_a_domain_alone_learns_from_its_peer(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN._replace(entries=2))
    here.roll_out("v1", 1)
    wait_agreed(here)
    here.cluster.cut(*ALONE)
    third, fourth = here.cluster.entries[2], here.cluster.entries[3]
    third.managed.wait_event("log-lost")
    third.managed.kill()
    third.managed.start()
    third.managed.wait_event("config-from-peer")
    fourth.managed.kill()
    here.cluster.wait_until(
        "the own target is seen", lambda: any(t.get("ready") for t in here.targets(2))
    )
    assert send(here, 2) == "completed"


def test_a_rollout_goes_on_where_the_origin_cannot_be_reached(
    site: Callable[[Plan], Site],
) -> None:
    """A domain without the origin gets chunks from another; no log, no order."""
    here = site(PLAN)
    here.roll_out("v1", 1)
    root = here.publish("v2", 2)
    wait_agreed(here)
    here.cluster.cut(("b", "platform"))
    here.place("v2")
    agent = here.cluster.agents[1]
    agent.managed.wait_event("version-complete", version=root)
    assert here.cluster.status(agent)["from_origin"] < 1024 * 1024
    assert send(here, 1) == "completed"
    here.cluster.cut()
    here.cluster.wait_serving(root)
