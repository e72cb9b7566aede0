"""A status that promises "not run" is sent only with a proof that nothing ran.

Guards against a gateway that passes on a 408, 429 or 503 of an engine that ran the
request. For a request that may not be repeated, the client takes the status as the
promise that nothing ran, sends the request again, and it runs twice. The proofs are
listed in docs/design/not-run.md.
"""

from collections.abc import Callable

import pytest
from gateway_site import GatewaySite, make_config, make_route

from ridgecourse_standins.platform.engine import (
    Behaviour,
    ReceivedRequest,
    refuse,
    reset_connection,
    send_events,
    send_response,
    send_stream_head,
)

REFUSALS = ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"]
STREAM_HEADERS = ("Model: m0", "Token-Usage: 100,50")
RESUMED_HEADERS = (*STREAM_HEADERS, "Last-Event-Id: 1")


def run_and_answer(status: str) -> Behaviour:
    """Return the behaviour of an engine that runs a request and answers a status."""
    return lambda request: send_response(
        request, b"ran", status, extra=("Retry-After: 1",)
    )


def answer_in_turn(*behaviours: Behaviour) -> Behaviour:
    """Return a behaviour for several engines: the first request gets the first."""
    turns = iter(behaviours)

    def respond(request: ReceivedRequest) -> None:
        next(turns)(request)

    return respond


def assert_unknown(front: GatewaySite, answer: tuple) -> None:
    status, headers, body, is_complete = answer
    assert (status, body, is_complete) == (502, b"", True)
    assert "response-signature" not in headers
    assert "retry-after" not in headers
    ended = front.gateway.wait_event("request-ended")
    assert ended["detail"]["outcome"] == "unknown"


@pytest.mark.parametrize("status", REFUSALS)
def test_unproven_refusal_for_an_unsafe_request_becomes_502(
    front: GatewaySite, status: str
) -> None:
    engine = front.add_engine("app", run_and_answer(status))
    front.add_engine("app", run_and_answer(status))
    front.start()
    assert_unknown(front, front.ask("/once/x", b"body", method="POST"))
    assert sum(len(engine.requests) for engine in front.engines) == 1
    assert "without proof" in str(list(front.gateway.events()))
    assert engine is front.engines[0]


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("extra", [STREAM_HEADERS, RESUMED_HEADERS])
def test_unproven_refusal_in_place_of_a_stream_becomes_502(
    front: GatewaySite, status: str, extra: tuple[str, ...]
) -> None:
    """Also if the client asks for the rest of a stream that may not be resumed."""
    engine = front.add_engine("llm", run_and_answer(status))
    front.start()
    assert_unknown(front, front.ask("/once-stream/x", extra=extra))
    assert len(engine.requests) == 1


@pytest.mark.parametrize("status", REFUSALS)
def test_unproven_refusal_of_a_retry_becomes_502(
    front: GatewaySite, status: str
) -> None:
    """The first engine proves that it ran nothing, which says nothing of the second."""
    respond = answer_in_turn(refuse, run_and_answer(status))
    front.add_engine("app", respond)
    front.add_engine("app", respond)
    config = make_config()
    config["routes"].append(make_route("/twice/", "unsafe", "app", max_attempts=3))
    front.start(config)
    assert_unknown(front, front.ask("/twice/x", b"body", method="POST"))
    assert [len(engine.requests) for engine in front.engines] == [1, 1]


def break_stream(request: ReceivedRequest) -> None:
    send_stream_head(request)
    send_events(request, 1, 2)
    reset_connection(request)


def test_a_refusal_at_a_resumption_ends_the_stream_incomplete(
    front: GatewaySite,
) -> None:
    """No status can follow the events that the client has, and none is promised."""
    respond = answer_in_turn(break_stream, run_and_answer(REFUSALS[0]))
    front.add_engine("llm", respond)
    front.add_engine("llm", respond)
    front.start()
    status, _, body, is_complete = front.ask("/stream/x", extra=STREAM_HEADERS)
    assert (status, is_complete) == (200, False)
    assert b"ran" not in body


@pytest.mark.parametrize("status", [*REFUSALS, "500 Its Own Reason", "504 Late"])
def test_answers_to_repeatable_requests_are_unchanged(
    front: GatewaySite, status: str
) -> None:
    front.add_engine("app", run_and_answer(status))
    front.start()
    answered, headers, body, _ = front.ask("/safe/x")
    assert (answered, body) == (int(status[:3]), b"ran")
    assert headers["response-signature"] == "signed-by-engine"


@pytest.mark.parametrize("status", ["500 Its Own Reason", "400 No", "409 No", "504 No"])
def test_other_answers_to_unsafe_requests_are_unchanged(
    front: GatewaySite, status: str
) -> None:
    front.add_engine("app", run_and_answer(status))
    front.start()
    answered, headers, body, _ = front.ask("/once/x", method="POST")
    assert (answered, body) == (int(status[:3]), b"ran")
    assert headers["response-signature"] == "signed-by-engine"


def refuse_as(status: str) -> Behaviour:
    return lambda request: refuse(request, status)


def misdirect(request: ReceivedRequest) -> None:
    send_response(request, b"", "421 Misdirected Request", signed=False)


@pytest.mark.parametrize("behaviour", [*map(refuse_as, REFUSALS), misdirect])
def test_proof_of_the_engine_is_passed_on_as_503(
    front: GatewaySite, behaviour: Callable[[ReceivedRequest], None]
) -> None:
    engine = front.add_engine("app", behaviour)
    front.start()
    status, headers, _, _ = front.ask("/once/x", b"body", method="POST")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert len(engine.requests) == 1


def test_request_that_no_connection_was_opened_for_is_refused(
    front: GatewaySite,
) -> None:
    front.add_engine("app").close()
    front.start()
    status, headers, _, _ = front.ask("/once/x", b"body", method="POST")
    assert status == 503
    assert float(headers["retry-after"]) > 0


def test_service_without_targets_refuses_at_once(front: GatewaySite) -> None:
    front.start()
    status, headers, _, _ = front.ask("/once/x", b"body", method="POST")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    refused = front.gateway.wait_event("request-refused")
    assert refused["detail"]["reason"] == "no-target"


def test_route_to_an_unknown_service_is_refused(front: GatewaySite) -> None:
    """A newer configuration may have the service; nothing was sent."""
    config = make_config()
    config["routes"].append(make_route("/lost/", "unsafe", "absent"))
    front.start(config)
    status, headers, _, _ = front.ask("/lost/x", b"body", method="POST")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    refused = front.gateway.wait_event("request-refused")
    assert refused["detail"]["reason"] == "unknown-service"
