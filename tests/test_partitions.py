"""Tests of partitions: failure domains cut off from each other or from the platform.

Each domain must continue to serve requests from its own engines.
"""

from collections.abc import Callable

from conftest import ClusterSite
from test_changes import set_traffic, wait_same_state

from ridgecourse_standins.client import prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, PLAIN_SERVICE, Plan

PLAN = Plan(domains=("a", "b"), entries=1, targets=1, plain=1, relayed=True)
ISOLATED_DOMAIN = (("b", "a"), ("b", "platform"))
WITHOUT_PLATFORM = (("a", "platform"), ("b", "platform"))
ACCEPTED = "CHANGE_STATUS_ACCEPTED"
UNKNOWN = "CHANGE_STATUS_UNKNOWN"


def config_offset(site: ClusterSite, entry: int) -> int:
    return site.cluster.status(site.cluster.entries[entry])["offset"]


def send(site: ClusterSite, entry: int, **options: object) -> str:
    body = prompt_body()
    answer = site.client.send(MODEL_SERVICE, body, entry, **options)  # type: ignore[arg-type]
    assert answer.correct or answer.outcome != "completed"
    return answer.outcome


def test_requests_are_served_without_platform_but_changes_are_not(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    site.cluster.cut(*WITHOUT_PLATFORM)
    for entry in (0, 1):
        assert send(site, entry) == "completed"
        assert send(site, entry, key=f"k{entry}") == "not-run"
        assert (
            site.client.send(PLAIN_SERVICE, f"c{entry}", entry).outcome == "completed"
        )
        assert set_traffic(site, entry, 1, deadlineMs=300)["status"] == UNKNOWN
    site.cluster.cut()
    wait_same_state(site)
    assert set_traffic(site, 1, 2)["status"] == ACCEPTED


def test_isolated_domain_serves_from_its_own_engines(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    site.cluster.cut(*ISOLATED_DOMAIN)
    assert send(site, 1) == "completed"
    assert send(site, 0) == "completed"
    # The plain service runs in the other domain. The relay accepts a connection before
    # it drops the connection, so that the entry has sent bytes.
    assert site.client.send(PLAIN_SERVICE, "cut", 1).outcome == "unknown"
    assert set_traffic(site, 1, 1, deadlineMs=300)["status"] == UNKNOWN
    assert set_traffic(site, 0, 2)["status"] == ACCEPTED
    site.cluster.cut()
    wait_same_state(site)
    assert site.client.send(PLAIN_SERVICE, "c", 1).outcome == "completed"
    assert site.call_counts() == {"c": 1}


def test_domain_without_platform_gets_config_from_other_domain(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    wait_same_state(site)
    site.cluster.cut(("b", "platform"))
    site.cluster.entries[1].managed.wait_event("log-lost")
    assert set_traffic(site, 0, 3)["status"] == ACCEPTED
    site.cluster.wait_until(
        "domain b has the change",
        lambda: config_offset(site, 1) == config_offset(site, 0),
    )
    wait_same_state(site)


def test_entry_restarted_in_isolated_domain_gets_config_from_peer(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(entries=2))
    site.roll_out("v1", 1)
    wait_same_state(site)
    site.cluster.cut(*ISOLATED_DOMAIN)
    restarted, other = site.cluster.entries[2], site.cluster.entries[3]
    restarted.managed.wait_event("log-lost")
    restarted.managed.kill()
    restarted.managed.start()
    restarted.managed.wait_event("config-from-peer")
    other.managed.kill()
    site.cluster.wait_until(
        "the entry sees its own target",
        lambda: any(target.get("ready") for target in site.target_states(2)),
    )
    assert send(site, 2) == "completed"


def test_rollout_without_origin_fetches_from_other_domain(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    """A domain that cannot reach the origin fetches chunks from another domain.

    Without the log, the agent gets no lease, so that its engine is not switched to the
    version.
    """
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    root = site.publish("v2", 2)
    wait_same_state(site)
    site.cluster.cut(("b", "platform"))
    site.place_version("v2")
    agent = site.cluster.agents[1]
    agent.managed.wait_event("version-complete", version=root)
    assert site.cluster.status(agent)["from_origin"] < 1024 * 1024
    assert send(site, 1) == "completed"
    site.cluster.cut()
    site.cluster.wait_serving(root)
