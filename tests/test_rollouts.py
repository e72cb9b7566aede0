"""Rollouts by real processes under faults and bad input."""

import json
from collections.abc import Callable
from threading import Thread

from conftest import CHUNK, SIZE, Site

from ridgecourse.core.manifest import root_digest
from ridgecourse_standins.client import prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, Plan

SLOW = {"link": {"upload_bytes_per_s": 400_000, "download_bytes_per_s": 400_000}}
PLAN = Plan(domains=("a", "b"), entries=1, targets=2, plain=0, origin_rate=400_000.0)


def serves(here: Site, root: str) -> None:
    """Every engine answers from the whole of a version."""
    for number in range(4):
        answer = here.caller.send(MODEL_SERVICE, prompt_body(), number, repeatable=True)
        assert (answer.outcome, answer.correct) == ("completed", True)
        assert answer.version == root


def wait_error(here: Site, text: str) -> None:
    here.cluster.wait_until(
        f"the error {text}",
        lambda: any(text in error for error in here.rollout_errors()),
    )


def origin_sent(here: Site, version: str) -> int:
    counts = here.cluster.get_json(here.cluster.addresses["origin"], "/counts")
    return counts["sent"].get(f"m-{version}", 0)


def wait_moving(here: Site, version: str) -> None:
    here.cluster.wait_until(
        "chunks move", lambda: origin_sent(here, version) > 4 * CHUNK
    )


def test_corrupt_chunks_are_rejected_and_fetched_again(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    root = here.publish("v1", 1)
    here.cluster.set_faults("origin", corrupt=6)
    here.place("v1")
    here.cluster.wait_serving(root)
    here.cluster.wait_ready()
    rejected = [here.cluster.status(node)["rejected"] for node in here.cluster.agents]
    # Some of the six may have been the manifest.
    assert sum(rejected) >= 1
    serves(here, root)


def test_a_killed_agent_comes_back_and_takes_part(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN._replace(agent=SLOW))
    root = here.publish("v1", 1)
    here.place("v1")
    wait_moving(here, "v1")
    busiest = max(
        here.cluster.agents, key=lambda n: here.cluster.status(n)["from_origin"]
    )
    busiest.managed.kill()
    busiest.managed.start()
    here.cluster.wait_serving(root)
    here.cluster.wait_ready()
    serves(here, root)
    assert origin_sent(here, "v1") <= 2 * SIZE


def test_a_frozen_agent_holds_nobody_up(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN._replace(agent=SLOW))
    root = here.publish("v1", 1)
    here.place("v1")
    wait_moving(here, "v1")
    frozen = here.cluster.agents[0]
    frozen.managed.pause()
    for node in here.cluster.agents[1:]:
        node.managed.wait_event("version-serving", 180.0, version=root)
    frozen.managed.resume()
    here.cluster.wait_serving(root)


def test_a_superseded_version_stops_costing_bytes(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN._replace(agent=SLOW))
    here.publish("v1", 1)
    second = here.publish("v2", 2)
    here.place("v1")
    wait_moving(here, "v1")
    here.place("v2")
    here.cluster.wait_until("v2 moves", lambda: origin_sent(here, "v2") > CHUNK)
    sent = origin_sent(here, "v1")
    here.cluster.wait_serving(second)
    assert origin_sent(here, "v1") - sent <= 2 * CHUNK
    assert sent < SIZE
    serves(here, second)


def test_shared_chunks_are_not_moved_again(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    here.roll_out("v1", 1)
    directory, _ = here.write("v2", 1)
    name = "model-00001.safetensors"
    (directory / name).write_bytes((directory / name).read_bytes()[::-1])
    root = here.rewrite_manifest(directory)
    here.publish_root("v2", root)
    here.place("v2")
    here.cluster.wait_serving(root)
    assert origin_sent(here, "v2") < 0.7 * SIZE
    serves(here, root)


def test_roll_back_brings_the_version_before_back(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    first = here.roll_out("v1", 1)
    here.roll_out("v2", 2)
    sent = origin_sent(here, "v1")
    here.cluster.make_change("RollBack", service=MODEL_SERVICE)
    here.cluster.wait_serving(first)
    assert origin_sent(here, "v1") == sent
    serves(here, first)


def test_abort_leaves_the_old_version_serving(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN._replace(agent=SLOW))
    first = here.roll_out("v1", 1)
    here.publish("v2", 2)
    here.place("v2")
    wait_moving(here, "v2")
    here.cluster.make_change("Abort", service=MODEL_SERVICE)
    here.cluster.wait_until(
        "all are halted",
        lambda: all(
            here.cluster.status(node)["phase"] == "halted"
            for node in here.cluster.agents
        ),
    )
    serves(here, first)


def check_bad_version(here: Site, version: str, root: str, error: str) -> None:
    """A version that cannot be served gives a named error; the old one serves."""
    here.publish_root(version, root)
    here.place(version)
    wait_error(here, error)
    for number in range(4):
        answer = here.caller.send(MODEL_SERVICE, prompt_body(), number)
        assert (answer.outcome, answer.correct) == ("completed", True)
        assert answer.version != root


def test_bad_versions_are_named_and_the_old_one_serves(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN._replace(targets=1, agent={"staging_bytes": 1024 * 1024}))
    here.roll_out("v1", 1)
    missing, root = here.write("missing", 3)
    (missing / "model-00000.safetensors").unlink()
    check_bad_version(here, "missing", root, "origin-missing")
    changed, root = here.write("changed", 4)
    path = changed / "model-00000.safetensors"
    path.write_bytes(bytes(path.stat().st_size))
    check_bad_version(here, "changed", root, "origin-changed")
    _, root = here.write("unlike", 5)
    check_bad_version(here, "unlike", "0" * 64, "bad-manifest")
    here.write("gone", 6)
    check_bad_version(here, "nowhere", "1" * 64, "origin-unavailable")
    directory, root = here.write("shape", 7)
    manifest = json.loads((directory / "manifest.json").read_bytes())
    manifest["files"][0]["size"] += 10 * CHUNK
    data = json.dumps(manifest).encode()
    (directory / "manifest.json").write_bytes(data)
    check_bad_version(here, "shape", root_digest(data), "bad-manifest")
    check_bad_version(here, "large", here.write_large("large"), "out-of-budget")


def test_a_rollout_in_an_outage_of_the_log_waits_for_its_lease(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    first = here.roll_out("v1", 1)
    root = here.publish("v2", 2)
    here.cluster.set_faults("log", stream_down="leases")
    here.place("v2")
    wait_error(here, "no-lease")
    serves(here, first)
    here.cluster.set_faults("log", stream_down="")
    here.cluster.wait_serving(root)


def test_two_agents_on_one_target_do_not_both_order(
    site: Callable[[Plan], Site],
) -> None:
    """The first is frozen in the middle of a rollout; a second takes its place."""
    here = site(PLAN._replace(domains=("a",), targets=1, agent=SLOW))
    here.publish("v1", 1)
    second = here.publish("v2", 2)
    here.place("v1")
    wait_moving(here, "v1")
    node = here.cluster.agents[0]
    node.managed.pause()
    here.place("v2")
    other = here.cluster.replace_agent(node)
    other.managed.wait_event("version-serving", version=second)
    waker = Thread(target=node.managed.resume)
    waker.start()
    waker.join()
    here.cluster.wait_until(
        "the first agent went on", lambda: here.cluster.is_answering(node)
    )
    engine = here.cluster.addresses["engine-a-0"]
    orders = here.cluster.get_json(engine, "/executions")["orders"]
    activated = [root for kind, _, root in orders if kind == "activate"]
    assert activated == [second]
    tokens = [token for _, token, _ in orders]
    assert tokens == sorted(tokens)
