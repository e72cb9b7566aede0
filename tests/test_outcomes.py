"""Compares outcomes that clients got with executions by services and engines."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from threading import Thread

from conftest import ClusterSite

from ridgecourse_standins.client import Answer, prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, PLAIN_SERVICE, Plan

PLAIN = Plan(domains=("a", "b"), entries=1, targets=0, plain=2)
MODEL = Plan(domains=("a",), entries=2, targets=2, plain=0)


def check_history(site: ClusterSite) -> None:
    """Check that executions match the outcomes that the client got.

    No call was executed twice, every completed call was executed, and no call that was
    only reported as not run was executed.
    """
    calls = site.call_counts()
    assert all(count == 1 for count in calls.values()), calls
    completed = {
        answer.body for answer in site.client.history if answer.outcome == "completed"
    }
    not_run = {
        answer.body for answer in site.client.history if answer.outcome == "not-run"
    }
    assert completed <= set(calls)
    assert not (not_run - completed) & set(calls)


def send_in_background(
    site: ClusterSite, entry: int, body: str, key: str
) -> tuple[Thread, list[Answer]]:
    """Send a request in a thread; return the thread and the list for its answer."""
    answers: list[Answer] = []

    def send() -> None:
        answers.append(
            site.client.send(PLAIN_SERVICE, body, entry, key=key, deadline=20.0)
        )

    thread = Thread(target=send)
    thread.start()
    return thread, answers


def test_key_sent_to_two_entries_concurrently_runs_once(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    with ThreadPoolExecutor(8) as pool:
        for number in range(40):
            body = f"quote {number // 2}"
            pool.submit(
                site.client.send, PLAIN_SERVICE, body, number, key=f"k{number // 2}"
            )
    check_history(site)
    assert len(site.call_counts()) == 20
    assert not [answer for answer in site.client.history if answer.outcome == "not-run"]


def test_repeated_key_gets_first_answer(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    first_answer = site.client.send(PLAIN_SERVICE, "transfer", 0, key="k")
    repeated_answer = site.client.send(PLAIN_SERVICE, "transfer", 1, key="k")
    assert (first_answer.outcome, repeated_answer.outcome) == ("completed", "completed")
    assert site.call_counts() == {"transfer": 1}


def test_request_of_entry_killed_between_claim_and_dispatch_runs_once(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    site.cluster.set_faults("log", slow_seconds=0.5)
    thread, answers = send_in_background(site, 0, "deed", "k")
    site.cluster.wait_until("the claim is in the log", lambda: site.claim_count() == 1)
    site.cluster.entries[0].managed.kill()
    thread.join()
    assert answers[0].outcome == "unknown"
    second_answer = site.client.send(PLAIN_SERVICE, "deed", 1, key="k", deadline=20.0)
    assert second_answer.outcome == "completed"
    check_history(site)


def test_request_of_entry_paused_between_claim_and_dispatch_runs_once(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    site.cluster.set_faults("log", slow_seconds=0.5)
    thread, answers = send_in_background(site, 0, "deed", "k")
    site.cluster.wait_until("the claim is in the log", lambda: site.claim_count() == 1)
    site.cluster.entries[0].managed.pause()
    second_answer = site.client.send(PLAIN_SERVICE, "deed", 1, key="k", deadline=20.0)
    site.cluster.entries[0].managed.resume()
    thread.join()
    assert second_answer.outcome == "completed"
    assert answers[0].outcome in ("not-run", "unknown")
    assert site.call_counts() == {"deed": 1}


def test_claim_is_repeated_after_lost_reply(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    site.cluster.set_faults("log", lose_replies=1)
    answer = site.client.send(PLAIN_SERVICE, "quote", 0, key="k")
    assert answer.outcome == "completed"
    assert site.claim_count() == 2
    check_history(site)


def test_only_keyed_requests_are_refused_without_log(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    site.cluster.set_faults("log", down=True)
    keyed_answer = site.client.send(PLAIN_SERVICE, "keyed", 0, key="k", deadline=20.0)
    unkeyed_answer = site.client.send(PLAIN_SERVICE, "unkeyed", 0)
    assert (keyed_answer.outcome, keyed_answer.reason) == ("not-run", "no-log")
    assert int(keyed_answer.retry_after) > 0
    assert unkeyed_answer.outcome == "completed"
    check_history(site)


def test_call_with_lost_reply_is_unknown_and_not_repeated(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    for number in range(2):
        site.cluster.set_faults(f"engine-plain-{number}", lose_replies=1)
    answer = site.client.send(PLAIN_SERVICE, "quote", 0)
    assert answer.outcome == "unknown"
    assert site.call_counts() == {"quote": 1}


def test_call_of_killed_agent_is_unknown_and_not_repeated(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAIN)
    site.cluster.wait_ready()
    for number in range(2):
        site.cluster.set_faults(f"engine-plain-{number}", slow_seconds=1.0)
    thread, answers = send_in_background(site, 0, "quote", "")
    site.cluster.wait_until("the call arrived", lambda: bool(site.call_counts()))
    for node in site.cluster.agents:
        node.managed.kill()
    thread.join()
    assert answers[0].outcome == "unknown"
    assert site.call_counts() == {"quote": 1}


def test_broken_stream_is_resumed_elsewhere_if_repeatable(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(MODEL)
    site.roll_out("v1", 1)
    site.cluster.set_faults("engine-a-0", fail_after=3)
    for _ in range(8):
        answer = site.client.send(MODEL_SERVICE, prompt_body(12), 0, repeatable=True)
        assert answer.outcome == "completed"
        assert answer.correct


def test_broken_stream_is_unknown_if_not_repeatable(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(MODEL)
    site.roll_out("v1", 1)
    for number in range(2):
        site.cluster.set_faults(f"engine-a-{number}", fail_after=3)
    answer = site.client.send(MODEL_SERVICE, prompt_body(12), 0)
    assert answer.outcome == "unknown"
    execution_count = sum(
        len(
            site.cluster.get_json(node.settings["engine"]["address"], "/executions")[
                "executions"
            ]
        )
        for node in site.cluster.model_agents()
    )
    assert execution_count == 1


def test_requests_that_cannot_meet_deadline_are_refused_at_once(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(MODEL._replace(targets=1, slots=1))
    site.roll_out("v1", 1)
    with ThreadPoolExecutor(12) as pool:
        bodies = [prompt_body(60) for _ in range(12)]
        answers = list(
            pool.map(
                lambda body: site.client.send(MODEL_SERVICE, body, deadline=2.0), bodies
            )
        )
    refused = [answer for answer in answers if answer.outcome == "not-run"]
    assert refused
    assert all(int(answer.retry_after) > 0 for answer in refused)
    engine_state = site.cluster.get_json(
        site.cluster.addresses["engine-a-0"], "/executions"
    )
    prompts = {execution["prompt"] for execution in engine_state["executions"]}
    assert not [answer for answer in refused if answer.body.split('"')[3] in prompts]


def test_tokens_are_streamed_as_generated(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(MODEL._replace(targets=1))
    site.roll_out("v1", 1)
    response = site.cluster.pool.request(
        "POST",
        f"http://{site.cluster.entries[0].http}/v1/demo/{MODEL_SERVICE}",
        body=prompt_body(60),
        headers={"Authorization": f"Bearer {site.client.key}"},
        preload_content=False,
    )
    assert response.read1(65536)
    engine_state = site.cluster.get_json(
        site.cluster.addresses["engine-a-0"], "/executions"
    )
    assert [execution["whole"] for execution in engine_state["executions"]] == [False]
    response.close()
