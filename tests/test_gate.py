"""The gate before a target, asked directly, as a stale or paused entry would."""

from collections.abc import Callable

from conftest import Site

from ridgecourse.core.ids import AccountName, IdempotencyKey, Incarnation, RequestId
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.request import FenceReply, FenceRequest, Work
from ridgecourse_standins.cluster import SHARED_KEY, Plan

PLAN = Plan(domains=("a",), entries=1, targets=0, plain=1)


def post(
    here: Site, path: str, message: object, key: str = SHARED_KEY
) -> tuple[str, bytes]:
    body = encode_message(message)
    reply = here.cluster.pool.request(
        "POST",
        f"http://{here.cluster.agents[0].http}{path}",
        body=body,
        headers={AUTH_HEADER: sign_request(key, "POST", path, body)},
    )
    outcome = reply.headers.get("Ridgecourse-Outcome", "")
    reason = reply.headers.get("Ridgecourse-Reason", "")
    return f"{outcome} {reason}".strip(), reply.data


def work(here: Site, request_id: str, **fields: object) -> Work:
    incarnation = here.cluster.status(here.cluster.agents[0])["incarnation"]
    values = {
        "budget_ms": 5000,
        "body": request_id.encode(),
        "key": IdempotencyKey("k"),
        "incarnation": Incarnation(incarnation),
        **fields,
    }
    return Work(RequestId(request_id), AccountName("shop"), 0, 1, **values)  # type: ignore[arg-type]


def fence(here: Site, request_id: str, incarnation: str = "") -> FenceReply:
    life = here.cluster.status(here.cluster.agents[0])["incarnation"]
    message = FenceRequest(RequestId(request_id), Incarnation(incarnation or life))
    return decode_message(post(here, "/fence", message)[1], FenceReply).unwrap()


def test_what_was_fenced_is_never_started(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    here.cluster.wait_ready()
    reply = fence(here, "r1")
    assert (reply.known, reply.started) == (True, False)
    assert post(here, "/work", work(here, "r1"))[0] == "not-run key-fenced"
    assert here.calls() == {}


def test_what_was_started_is_not_started_again(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    here.cluster.wait_ready()
    assert post(here, "/work", work(here, "r1"))[0] == "completed admitted"
    # Refused, but not as a proof that the request was not run.
    assert post(here, "/work", work(here, "r1"))[0] == "unknown duplicate-key"
    reply = fence(here, "r1")
    assert reply.started and reply.answer
    assert here.calls() == {"r1": 1}


def test_work_for_another_life_of_the_agent_is_refused(
    site: Callable[[Plan], Site],
) -> None:
    here = site(PLAN)
    here.cluster.wait_ready()
    other = work(here, "r1", incarnation=Incarnation("other"))
    assert post(here, "/work", other)[0] == "not-run wrong-incarnation"
    assert post(here, "/work", work(here, "r2", incarnation=None))[0] == (
        "not-run wrong-incarnation"
    )
    assert fence(here, "r1", "other").known is False
    assert here.calls() == {}


def test_a_leaving_target_refuses_whoever_asks(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    here.cluster.wait_ready()
    here.cluster.make_change("LeaveTarget", target="plain-0")
    here.cluster.agents[0].managed.wait_event("target-leaving")
    assert post(here, "/work", work(here, "r1"))[0] == "not-run leaving"
    assert here.calls() == {}


def test_late_and_unproven_work_is_refused(site: Callable[[Plan], Site]) -> None:
    here = site(PLAN)
    here.cluster.wait_ready()
    assert post(here, "/work", work(here, "r1", budget_ms=0))[0] == "not-run deadline"
    wrong = post(here, "/work", work(here, "r2"), key="not the shared key")[0]
    assert wrong == "not-run unauthenticated"
    assert here.calls() == {}
