"""Tests of configuration changes: log outages, conflicts, lost replies, truncation."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import count

from conftest import ClusterSite

from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Plan
from ridgecourse_standins.managed_process import ManagedProcess

PLAN = Plan(domains=("a", "b"), entries=1, targets=1, plain=0)
ACCEPTED = "CHANGE_STATUS_ACCEPTED"
UNKNOWN = "CHANGE_STATUS_UNKNOWN"
REJECTED = "CHANGE_STATUS_REJECTED"


def set_traffic(
    site: ClusterSite, entry: int, weight: int, **header: object
) -> dict[str, object]:
    return site.cluster.call_admin(
        "SetTraffic",
        entry,
        fleet=FLEET,
        service=MODEL_SERVICE,
        weights={"a": weight},
        header=header,
    )


def service_revision(site: ClusterSite, entry: int = 0) -> int:
    reply = site.cluster.call_admin("Show", entry, fleet=FLEET)
    services = [service for service in reply["objects"] if service["kind"] == "service"]
    return max(
        int(service["revision"])
        for service in services
        if service["name"] == MODEL_SERVICE
    )


def state_digests(site: ClusterSite) -> set[tuple[int, str]]:
    nodes = [*site.cluster.entries, *site.cluster.agents]
    statuses = [site.cluster.status(node) for node in nodes]
    return {(status["offset"], status["digest"]) for status in statuses}


def wait_same_state(site: ClusterSite) -> None:
    site.cluster.wait_until(
        "all processes hold the same state", lambda: len(state_digests(site)) == 1
    )


def test_change_takes_effect_on_all_processes(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    assert set_traffic(site, 0, 5)["status"] == ACCEPTED
    wait_same_state(site)


def test_one_of_two_concurrent_changes_is_rejected_as_conflict(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    wait_same_state(site)
    for weight in range(1, 6):
        revision = service_revision(site)
        with ThreadPoolExecutor(2) as pool:
            futures = [
                pool.submit(
                    set_traffic,
                    site,
                    entry,
                    10 * weight + entry,
                    expectedRevision=revision,
                )
                for entry in (0, 1)
            ]
            replies = [future.result() for future in futures]
        assert sorted(str(reply["status"]) for reply in replies) == [ACCEPTED, REJECTED]
        loser = next(reply for reply in replies if reply["status"] == REJECTED)
        assert "conflict" in str(loser["reason"])
        wait_same_state(site)


def test_repeated_change_id_returns_first_outcome_after_lost_reply(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.cluster.set_faults("log", lose_replies=1)
    first_reply = set_traffic(site, 0, 7, changeId="c1")
    assert first_reply["status"] == ACCEPTED
    repeated_reply = set_traffic(site, 1, 7, changeId="c1")
    assert (repeated_reply["offset"], repeated_reply["status"]) == (
        first_reply["offset"],
        ACCEPTED,
    )


def test_change_without_log_is_unknown_not_rejected(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.cluster.set_faults("log", down=True)
    reply = set_traffic(site, 0, 3, changeId="c2", deadlineMs=500)
    assert reply["status"] == UNKNOWN
    site.cluster.set_faults("log", down=False)
    assert set_traffic(site, 0, 3, changeId="c2")["status"] == ACCEPTED
    wait_same_state(site)
    change_status = site.cluster.call_admin("GetChange", 1, changeId="c2")
    assert change_status["status"] == ACCEPTED


def test_entry_started_during_log_outage_gets_config_from_peers(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    set_traffic(site, 0, 9)
    wait_same_state(site)
    site.cluster.set_faults("log", down=True)
    entry = site.cluster.entries[0].managed
    entry.kill()
    entry.start()
    entry.wait_event("ready", after=1)
    wait_same_state(site)


def wait_until_log_is_lost(entry: ManagedProcess) -> None:
    """Wait until a restarted entry, not the one before it, tells that it has no log."""
    started = entry.wait_event("started", after=1)
    entry.wait_event("log-lost", incarnation=started["incarnation"])


def test_entry_without_configuration_is_not_ready(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(domains=("a",)))
    site.cluster.set_faults("log", down=True)
    entry = site.cluster.entries[0]
    entry.managed.kill()
    entry.managed.start()
    wait_until_log_is_lost(entry.managed)
    assert site.cluster.status(entry)["ready"] is False


def test_checkpoint_preserves_state_after_log_truncation(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(domains=("a",), entry={"checkpoint_seconds": 0.2}))
    set_traffic(site, 0, 4)
    entry = site.cluster.entries[0].managed
    revision = service_revision(site)
    checkpoint_events = (
        entry.wait_event("checkpoint-written", after=event_count)
        for event_count in count()
    )
    # A checkpoint that was written before the change does not contain it.
    assert any(event["offset"] > revision for event in checkpoint_events)
    site.cluster.post_json(
        site.cluster.addresses["log"], "/truncate/config?keep=1", None
    )
    entry.kill()
    entry.start()
    entry.wait_event("ready", after=1)
    assert service_revision(site) == revision


def test_truncated_log_without_checkpoint_is_not_treated_as_empty(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(domains=("a",)))
    site.cluster.post_json(
        site.cluster.addresses["log"], "/truncate/config?keep=1", None
    )
    entry = site.cluster.entries[0]
    entry.managed.kill()
    for node in site.cluster.agents:
        node.managed.kill()
    entry.managed.start()
    wait_until_log_is_lost(entry.managed)
    assert site.cluster.status(entry)["ready"] is False
