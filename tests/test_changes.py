"""Operators' decisions under outages, races, lost replies and retention."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import count

from conftest import Site

from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Plan

PLAN = Plan(domains=("a", "b"), entries=1, targets=1, plain=0)
ACCEPTED = "CHANGE_STATUS_ACCEPTED"
UNKNOWN = "CHANGE_STATUS_UNKNOWN"
REJECTED = "CHANGE_STATUS_REJECTED"


def traffic(here: Site, entry: int, weight: int, **header: object) -> dict[str, object]:
    return here.cluster.call_admin(
        "SetTraffic",
        entry,
        fleet=FLEET,
        service=MODEL_SERVICE,
        weights={"a": weight},
        header=header,
    )


def service_revision(here: Site, entry: int = 0) -> int:
    reply = here.cluster.call_admin("Show", entry, fleet=FLEET)
    found = [o for o in reply["objects"] if o["kind"] == "service"]
    return max(int(o["revision"]) for o in found if o["name"] == MODEL_SERVICE)


def digests(here: Site) -> set[tuple[int, str]]:
    nodes = [*here.cluster.entries, *here.cluster.agents]
    statuses = [here.cluster.status(node) for node in nodes]
    return {(status["offset"], status["digest"]) for status in statuses}


def wait_agreed(here: Site) -> None:
    here.cluster.wait_until("all hold one state", lambda: len(digests(here)) == 1)


def test_a_change_is_in_force_everywhere(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    assert traffic(here, 0, 5)["status"] == ACCEPTED
    wait_agreed(here)


def test_of_racing_operators_one_wins_and_the_other_is_told(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    wait_agreed(here)
    for weight in range(1, 6):
        revision = service_revision(here)
        with ThreadPoolExecutor(2) as pool:
            sent = [
                pool.submit(
                    traffic, here, entry, 10 * weight + entry, expectedRevision=revision
                )
                for entry in (0, 1)
            ]
            replies = [each.result() for each in sent]
        assert sorted(str(r["status"]) for r in replies) == [ACCEPTED, REJECTED]
        loser = next(r for r in replies if r["status"] == REJECTED)
        assert "conflict" in str(loser["reason"])
        wait_agreed(here)


def test_a_lost_reply_is_answered_by_the_same_change_once(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    here.cluster.set_faults("log", lose_replies=1)
    first = traffic(here, 0, 7, changeId="c1")
    assert first["status"] == ACCEPTED
    again = traffic(here, 1, 7, changeId="c1")
    assert (again["offset"], again["status"]) == (first["offset"], ACCEPTED)


def test_without_the_log_a_change_is_unknown_never_rejected(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    here.cluster.set_faults("log", down=True)
    reply = traffic(here, 0, 3, changeId="c2", deadlineMs=500)
    assert reply["status"] == UNKNOWN
    here.cluster.set_faults("log", down=False)
    assert traffic(here, 0, 3, changeId="c2")["status"] == ACCEPTED
    wait_agreed(here)
    fate = here.cluster.call_admin("GetChange", 1, changeId="c2")
    assert fate["status"] == ACCEPTED


def test_an_entry_started_in_an_outage_learns_from_its_peers(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    traffic(here, 0, 9)
    wait_agreed(here)
    here.cluster.set_faults("log", down=True)
    entry = here.cluster.entries[0].managed
    entry.kill()
    entry.start()
    entry.wait_event("ready", after=1)
    wait_agreed(here)


def test_an_entry_that_knows_nothing_is_not_ready(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN._replace(domains=("a",)))
    here.cluster.set_faults("log", down=True)
    entry = here.cluster.entries[0]
    entry.managed.kill()
    entry.managed.start()
    entry.managed.wait_event("log-lost")
    assert here.cluster.status(entry)["ready"] is False


def test_retention_is_survived_by_checkpoints(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN._replace(domains=("a",), entry={"checkpoint_seconds": 0.2}))
    traffic(here, 0, 4)
    entry = here.cluster.entries[0].managed
    before = service_revision(here)
    written = (entry.wait_event("checkpoint-written", after=n) for n in count())
    # One that was written before the change does not hold it.
    assert any(event["offset"] > before for event in written)
    here.cluster.post_json(
        here.cluster.addresses["log"], "/truncate/config?keep=1", None
    )
    entry.kill()
    entry.start()
    entry.wait_event("ready", after=1)
    assert service_revision(here) == before


def test_a_truncated_log_without_checkpoint_is_not_taken_for_an_empty_one(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN._replace(domains=("a",)))
    here.cluster.post_json(
        here.cluster.addresses["log"], "/truncate/config?keep=1", None
    )
    entry = here.cluster.entries[0]
    entry.managed.kill()
    for node in here.cluster.agents:
        node.managed.kill()
    entry.managed.start()
    entry.managed.wait_event("log-lost")
    assert here.cluster.status(entry)["ready"] is False
