"""Tests of rollouts by real processes, under faults and with bad versions."""

import json
from collections.abc import Callable
from threading import Thread

from conftest import CHUNK_BYTES, VERSION_BYTES, ClusterSite

from ridgecourse.core.manifest import root_digest
from ridgecourse_standins.client import prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, Plan

SLOW_LINK = {"link": {"upload_bytes_per_s": 400_000, "download_bytes_per_s": 400_000}}
PLAN = Plan(domains=("a", "b"), entries=1, targets=2, plain=0, origin_rate=400_000.0)


def check_serving(site: ClusterSite, root: str) -> None:
    """Check that 4 requests are answered correctly by a version."""
    for number in range(4):
        answer = site.client.send(MODEL_SERVICE, prompt_body(), number, repeatable=True)
        assert (answer.outcome, answer.correct) == ("completed", True)
        assert answer.version == root


def wait_rollout_error(site: ClusterSite, text: str) -> None:
    site.cluster.wait_until(
        f"the error {text}",
        lambda: any(text in error for error in site.rollout_errors()),
    )


def origin_bytes_sent(site: ClusterSite, version: str) -> int:
    counts = site.cluster.get_json(site.cluster.addresses["origin"], "/counts")
    return counts["sent"].get(f"m-{version}", 0)


def wait_transfer_started(site: ClusterSite, version: str) -> None:
    site.cluster.wait_until(
        "the transfer of chunks has started",
        lambda: origin_bytes_sent(site, version) > 4 * CHUNK_BYTES,
    )


def test_corrupt_chunks_are_rejected_and_fetched_again(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    root = site.publish("v1", 1)
    site.cluster.set_faults("origin", corrupt=6)
    site.place_version("v1")
    site.cluster.wait_serving(root)
    site.cluster.wait_ready()
    rejected = [site.cluster.status(node)["rejected"] for node in site.cluster.agents]
    # The manifest may be among the 6 corrupted replies.
    assert sum(rejected) >= 1
    check_serving(site, root)


def test_restarted_agent_completes_rollout(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(agent=SLOW_LINK))
    root = site.publish("v1", 1)
    site.place_version("v1")
    wait_transfer_started(site, "v1")
    busiest = max(
        site.cluster.agents, key=lambda node: site.cluster.status(node)["from_origin"]
    )
    busiest.managed.kill()
    busiest.managed.start()
    site.cluster.wait_serving(root)
    site.cluster.wait_ready()
    check_serving(site, root)
    assert origin_bytes_sent(site, "v1") <= 2 * VERSION_BYTES


def test_paused_agent_does_not_delay_other_agents(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(agent=SLOW_LINK))
    root = site.publish("v1", 1)
    site.place_version("v1")
    wait_transfer_started(site, "v1")
    paused = site.cluster.agents[0]
    paused.managed.pause()
    for node in site.cluster.agents[1:]:
        node.managed.wait_event("version-serving", 180.0, version=root)
    paused.managed.resume()
    site.cluster.wait_serving(root)


def test_superseded_version_is_not_fetched_further(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(agent=SLOW_LINK))
    site.publish("v1", 1)
    second_root = site.publish("v2", 2)
    site.place_version("v1")
    wait_transfer_started(site, "v1")
    site.place_version("v2")
    site.cluster.wait_until(
        "chunks of v2 are transferred",
        lambda: origin_bytes_sent(site, "v2") > CHUNK_BYTES,
    )
    sent_before = origin_bytes_sent(site, "v1")
    site.cluster.wait_serving(second_root)
    assert origin_bytes_sent(site, "v1") - sent_before <= 2 * CHUNK_BYTES
    assert sent_before < VERSION_BYTES
    check_serving(site, second_root)


def test_shared_chunks_are_not_fetched_again(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    directory, _ = site.write_version("v2", 1)
    file_name = "model-00001.safetensors"
    (directory / file_name).write_bytes((directory / file_name).read_bytes()[::-1])
    root = site.rewrite_manifest(directory)
    site.publish_root("v2", root)
    site.place_version("v2")
    site.cluster.wait_serving(root)
    assert origin_bytes_sent(site, "v2") < 0.7 * VERSION_BYTES
    check_serving(site, root)


def test_roll_back_restores_previous_version(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    first_root = site.roll_out("v1", 1)
    site.roll_out("v2", 2)
    sent_before = origin_bytes_sent(site, "v1")
    site.cluster.make_change("RollBack", service=MODEL_SERVICE)
    site.cluster.wait_serving(first_root)
    assert origin_bytes_sent(site, "v1") == sent_before
    check_serving(site, first_root)


def test_abort_keeps_old_version_serving(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(agent=SLOW_LINK))
    first_root = site.roll_out("v1", 1)
    site.publish("v2", 2)
    site.place_version("v2")
    wait_transfer_started(site, "v2")
    site.cluster.make_change("Abort", service=MODEL_SERVICE)
    site.cluster.wait_until(
        "all are halted",
        lambda: all(
            site.cluster.status(node)["phase"] == "halted"
            for node in site.cluster.agents
        ),
    )
    check_serving(site, first_root)


def check_bad_version(site: ClusterSite, version: str, root: str, error: str) -> None:
    """Check that a version is reported with an error and the old version serves."""
    site.publish_root(version, root)
    site.place_version(version)
    wait_rollout_error(site, error)
    for number in range(4):
        answer = site.client.send(MODEL_SERVICE, prompt_body(), number)
        assert (answer.outcome, answer.correct) == ("completed", True)
        assert answer.version != root


def test_bad_version_is_reported_and_old_version_serves(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN._replace(targets=1, agent={"staging_bytes": 1024 * 1024}))
    site.roll_out("v1", 1)
    directory_without_file, root = site.write_version("missing", 3)
    (directory_without_file / "model-00000.safetensors").unlink()
    check_bad_version(site, "missing", root, "origin-missing")
    changed_directory, root = site.write_version("changed", 4)
    path = changed_directory / "model-00000.safetensors"
    path.write_bytes(bytes(path.stat().st_size))
    check_bad_version(site, "changed", root, "origin-changed")
    _, root = site.write_version("unlike", 5)
    check_bad_version(site, "unlike", "0" * 64, "bad-manifest")
    site.write_version("gone", 6)
    check_bad_version(site, "nowhere", "1" * 64, "origin-unavailable")
    directory, root = site.write_version("shape", 7)
    manifest = json.loads((directory / "manifest.json").read_bytes())
    manifest["files"][0]["size"] += 10 * CHUNK_BYTES
    data = json.dumps(manifest).encode()
    (directory / "manifest.json").write_bytes(data)
    check_bad_version(site, "shape", root_digest(data), "bad-manifest")
    check_bad_version(site, "large", site.write_large("large"), "out-of-budget")


def test_rollout_during_log_outage_waits_for_lease(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    first_root = site.roll_out("v1", 1)
    root = site.publish("v2", 2)
    site.cluster.set_faults("log", stream_down="leases")
    site.place_version("v2")
    wait_rollout_error(site, "no-lease")
    check_serving(site, first_root)
    site.cluster.set_faults("log", stream_down="")
    site.cluster.wait_serving(root)


def test_only_one_of_two_agents_of_a_target_orders(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    """The first agent is paused in the middle of a rollout; a second replaces it."""
    site = start_site(PLAN._replace(domains=("a",), targets=1, agent=SLOW_LINK))
    site.publish("v1", 1)
    second_root = site.publish("v2", 2)
    site.place_version("v1")
    wait_transfer_started(site, "v1")
    node = site.cluster.agents[0]
    node.managed.pause()
    site.place_version("v2")
    replacement = site.cluster.replace_agent(node)
    replacement.managed.wait_event("version-serving", version=second_root)
    resumer = Thread(target=node.managed.resume)
    resumer.start()
    resumer.join()
    site.cluster.wait_until(
        "the first agent has resumed", lambda: site.cluster.is_answering(node)
    )
    engine = site.cluster.addresses["engine-a-0"]
    orders = site.cluster.get_json(engine, "/executions")["orders"]
    activated_roots = [root for order, _, root in orders if order == "activate"]
    assert activated_roots == [second_root]
    tokens = [token for _, token, _ in orders]
    assert tokens == sorted(tokens)
