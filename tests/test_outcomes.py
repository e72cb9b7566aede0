"""Callers' histories against what services and engines carried out."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from threading import Thread

from conftest import Site

from ridgecourse_standins.client import Answer, prompt_body
from ridgecourse_standins.cluster import MODEL_SERVICE, PLAIN_SERVICE, Plan

PLAIN = Plan(domains=("a", "b"), entries=1, targets=0, plain=2)
MODEL = Plan(domains=("a",), entries=2, targets=2, plain=0)


def check_history(site: Site) -> None:
    """No call twice; none told not run was carried out; completed ones were."""
    calls = site.calls()
    assert all(times == 1 for times in calls.values()), calls
    completed = {a.body for a in site.caller.history if a.outcome == "completed"}
    not_run = {a.body for a in site.caller.history if a.outcome == "not-run"}
    assert completed <= set(calls)
    assert not (not_run - completed) & set(calls)


def send_later(
    site: Site, entry: int, body: str, key: str
) -> tuple[Thread, list[Answer]]:
    answers: list[Answer] = []

    def send() -> None:
        answers.append(
            site.caller.send(PLAIN_SERVICE, body, entry, key=key, deadline=20.0)
        )

    thread = Thread(target=send)
    thread.start()
    return thread, answers


def test_a_key_sent_to_two_entries_at_once_runs_once(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    with ThreadPoolExecutor(8) as pool:
        for number in range(40):
            body = f"quote {number // 2}"
            pool.submit(
                here.caller.send, PLAIN_SERVICE, body, number, key=f"k{number // 2}"
            )
    check_history(here)
    assert len(here.calls()) == 20
    assert not [a for a in here.caller.history if a.outcome == "not-run"]


def test_a_key_used_again_gets_the_first_answer(site: Callable[[Plan], Site]) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    first = here.caller.send(PLAIN_SERVICE, "transfer", 0, key="k")
    again = here.caller.send(PLAIN_SERVICE, "transfer", 1, key="k")
    assert (first.outcome, again.outcome) == ("completed", "completed")
    assert here.calls() == {"transfer": 1}


def test_an_entry_killed_between_claim_and_dispatch(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    here.cluster.set_faults("log", slow_seconds=0.5)
    thread, answers = send_later(here, 0, "deed", "k")
    here.cluster.wait_until("the claim is in the log", lambda: here.claims() == 1)
    here.cluster.entries[0].managed.kill()
    thread.join()
    assert answers[0].outcome == "unknown"
    second = here.caller.send(PLAIN_SERVICE, "deed", 1, key="k", deadline=20.0)
    assert second.outcome == "completed"
    check_history(here)


def test_an_entry_frozen_between_claim_and_dispatch_and_woken(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    here.cluster.set_faults("log", slow_seconds=0.5)
    thread, answers = send_later(here, 0, "deed", "k")
    here.cluster.wait_until("the claim is in the log", lambda: here.claims() == 1)
    here.cluster.entries[0].managed.pause()
    second = here.caller.send(PLAIN_SERVICE, "deed", 1, key="k", deadline=20.0)
    here.cluster.entries[0].managed.resume()
    thread.join()
    assert second.outcome == "completed"
    assert answers[0].outcome in ("not-run", "unknown")
    assert here.calls() == {"deed": 1}


def test_a_lost_reply_to_a_claim(site: Callable[[Plan], Site]) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    here.cluster.set_faults("log", lose_replies=1)
    answer = here.caller.send(PLAIN_SERVICE, "quote", 0, key="k")
    assert answer.outcome == "completed"
    assert here.claims() == 2
    check_history(here)


def test_without_the_log_a_keyed_request_is_refused_and_others_are_served(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    here.cluster.set_faults("log", down=True)
    keyed = here.caller.send(PLAIN_SERVICE, "keyed", 0, key="k", deadline=20.0)
    plain = here.caller.send(PLAIN_SERVICE, "unkeyed", 0)
    assert (keyed.outcome, keyed.reason) == ("not-run", "no-log")
    assert int(keyed.retry_after) > 0
    assert plain.outcome == "completed"
    check_history(here)


def test_a_service_that_loses_its_reply_is_unknown_and_not_repeated(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    for number in range(2):
        here.cluster.set_faults(f"engine-plain-{number}", lose_replies=1)
    answer = here.caller.send(PLAIN_SERVICE, "quote", 0)
    assert answer.outcome == "unknown"
    assert here.calls() == {"quote": 1}


def test_an_agent_killed_during_a_call_is_unknown_and_not_repeated(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAIN)
    here.cluster.wait_ready()
    for number in range(2):
        here.cluster.set_faults(f"engine-plain-{number}", slow_seconds=1.0)
    thread, answers = send_later(here, 0, "quote", "")
    here.cluster.wait_until("the call arrived", lambda: bool(here.calls()))
    for node in here.cluster.agents:
        node.managed.kill()
    thread.join()
    assert answers[0].outcome == "unknown"
    assert here.calls() == {"quote": 1}


def test_a_broken_stream_is_resumed_elsewhere_if_repeatable(
    site: Callable[[Plan], Site],
) -> None:
    here = site(MODEL)
    here.roll_out("v1", 1)
    here.cluster.set_faults("engine-a-0", fail_after=3)
    for _ in range(8):
        answer = here.caller.send(MODEL_SERVICE, prompt_body(12), 0, repeatable=True)
        assert answer.outcome == "completed"
        assert answer.correct


def test_a_broken_stream_ends_as_unknown_if_not_repeatable(
    site: Callable[[Plan], Site],
) -> None:
    here = site(MODEL)
    here.roll_out("v1", 1)
    for number in range(2):
        here.cluster.set_faults(f"engine-a-{number}", fail_after=3)
    answer = here.caller.send(MODEL_SERVICE, prompt_body(12), 0)
    assert answer.outcome == "unknown"
    executions = sum(
        len(
            here.cluster.get_json(node.settings["engine"]["address"], "/executions")[
                "executions"
            ]
        )
        for node in here.cluster.model_agents()
    )
    assert executions == 1


def test_what_cannot_be_served_in_time_is_refused_at_once(
    site: Callable[[Plan], Site],
) -> None:
    here = site(MODEL._replace(targets=1, slots=1))
    here.roll_out("v1", 1)
    with ThreadPoolExecutor(12) as pool:
        bodies = [prompt_body(60) for _ in range(12)]
        answers = list(
            pool.map(lambda b: here.caller.send(MODEL_SERVICE, b, deadline=2.0), bodies)
        )
    refused = [a for a in answers if a.outcome == "not-run"]
    assert refused
    assert all(int(a.retry_after) > 0 for a in refused)
    executed = here.cluster.get_json(
        here.cluster.addresses["engine-a-0"], "/executions"
    )
    prompts = {e["prompt"] for e in executed["executions"]}
    assert not [a for a in refused if a.body.split('"')[3] in prompts]


def test_tokens_are_passed_on_as_they_come(site: Callable[[Plan], Site]) -> None:
    here = site(MODEL._replace(targets=1))
    here.roll_out("v1", 1)
    response = here.cluster.pool.request(
        "POST",
        f"http://{here.cluster.entries[0].http}/v1/demo/{MODEL_SERVICE}",
        body=prompt_body(60),
        headers={"Authorization": f"Bearer {here.caller.key}"},
        preload_content=False,
    )
    assert response.read1(65536)
    executed = here.cluster.get_json(
        here.cluster.addresses["engine-a-0"], "/executions"
    )
    assert [e["whole"] for e in executed["executions"]] == [False]
    response.close()
