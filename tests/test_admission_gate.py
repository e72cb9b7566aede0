"""Tests of the admission gate of an agent.

The tests send work and fences directly, as an entry with stale state or an entry that
was paused would.
"""

from collections.abc import Callable

from conftest import ClusterSite

from ridgecourse.core.ids import AccountName, IdempotencyKey, Incarnation, RequestId
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.request import FenceReply, FenceRequest, Work
from ridgecourse_standins.cluster import SHARED_KEY, Plan

PLAN = Plan(domains=("a",), entries=1, targets=0, plain=1)


def post(
    site: ClusterSite, path: str, message: object, key: str = SHARED_KEY
) -> tuple[str, bytes]:
    body = encode_message(message)
    reply = site.cluster.pool.request(
        "POST",
        f"http://{site.cluster.agents[0].http}{path}",
        body=body,
        headers={AUTH_HEADER: sign_request(key, "POST", path, body)},
    )
    outcome = reply.headers.get("Ridgecourse-Outcome", "")
    reason = reply.headers.get("Ridgecourse-Reason", "")
    return f"{outcome} {reason}".strip(), reply.data


def make_work(site: ClusterSite, request_id: str, **fields: object) -> Work:
    incarnation = site.cluster.status(site.cluster.agents[0])["incarnation"]
    values = {
        "budget_ms": 5000,
        "body": request_id.encode(),
        "key": IdempotencyKey("k"),
        "incarnation": Incarnation(incarnation),
        **fields,
    }
    return Work(RequestId(request_id), AccountName("shop"), 0, 1, **values)  # type: ignore[arg-type]


def fence_request(
    site: ClusterSite, request_id: str, incarnation: str = ""
) -> FenceReply:
    current_incarnation = site.cluster.status(site.cluster.agents[0])["incarnation"]
    message = FenceRequest(
        RequestId(request_id), Incarnation(incarnation or current_incarnation)
    )
    return decode_message(post(site, "/fence", message)[1], FenceReply).unwrap()


def test_fenced_request_is_never_started(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.cluster.wait_ready()
    reply = fence_request(site, "r1")
    assert (reply.known, reply.started) == (True, False)
    assert post(site, "/work", make_work(site, "r1"))[0] == "not-run key-fenced"
    assert site.call_counts() == {}


def test_started_request_is_not_started_again(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.cluster.wait_ready()
    assert post(site, "/work", make_work(site, "r1"))[0] == "completed admitted"
    # The work is refused, but the refusal does not prove that the request was not run.
    assert post(site, "/work", make_work(site, "r1"))[0] == "unknown duplicate-key"
    reply = fence_request(site, "r1")
    assert reply.started and reply.answer
    assert site.call_counts() == {"r1": 1}


def test_work_for_other_incarnation_is_refused(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.cluster.wait_ready()
    other_work = make_work(site, "r1", incarnation=Incarnation("other"))
    assert post(site, "/work", other_work)[0] == "not-run wrong-incarnation"
    assert post(site, "/work", make_work(site, "r2", incarnation=None))[0] == (
        "not-run wrong-incarnation"
    )
    assert fence_request(site, "r1", "other").known is False
    assert site.call_counts() == {}


def test_leaving_target_refuses_all_work(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.cluster.wait_ready()
    site.cluster.make_change("LeaveTarget", target="plain-0")
    site.cluster.agents[0].managed.wait_event("target-leaving")
    assert post(site, "/work", make_work(site, "r1"))[0] == "not-run leaving"
    assert site.call_counts() == {}


def test_expired_and_unauthenticated_work_is_refused(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(PLAN)
    site.cluster.wait_ready()
    assert (
        post(site, "/work", make_work(site, "r1", budget_ms=0))[0] == "not-run deadline"
    )
    outcome = post(site, "/work", make_work(site, "r2"), key="not the shared key")[0]
    assert outcome == "not-run unauthenticated"
    assert site.call_counts() == {}
