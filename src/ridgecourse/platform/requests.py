"""Translates requests and answers to and from the platform's headers."""

import re

from returns.result import Failure, Result, Success
from urllib3 import BaseHTTPResponse

from ridgecourse.core.finding import Finding, Findings
from ridgecourse.core.ids import ModelName, RequestId
from ridgecourse.gateway.messages import AnswerHead, CallerRequest, SendTerms
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.net.front_server import FrontRequest
from ridgecourse.net.http_server import HeaderList
from ridgecourse.platform.names import (
    ACCOUNT,
    ATTEMPT_ID,
    DEADLINE,
    EXPECTED_TARGET,
    EXPECTED_VERSION,
    KEY,
    LAST_EVENT_ID,
    LENGTH_HINT,
    LIMIT,
    MODEL,
    NOT_RUN,
    RETRY_AFTER,
    SIGNATURE,
    TARGET,
    TOKENS,
    URGENCY,
)
from ridgecourse.platform.settings import MILLISECOND

MISDIRECTED = 421
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?", re.ASCII)
HIGHEST_LIMIT = 1e6
"""A limit in requests a second that no engine comes near to: it is a mistake."""
EVENTS_TYPE = "text/event-stream"

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers about one connection only; framing is made anew for each."""

REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        KEY,
        ACCOUNT,
        DEADLINE,
        EXPECTED_TARGET,
        EXPECTED_VERSION,
        URGENCY,
        LAST_EVENT_ID,
    )
)
"""Headers that the system sets itself, whatever the caller sent."""

SINGLE_HEADERS = ("Host", ATTEMPT_ID, DEADLINE, KEY, "Content-Length")
"""Headers that may stand in a request once at most: a second one could mean
something else to the target than to us."""


class PlatformRequests(RequestProtocol):
    """The platform's request protocol."""

    def decode_request(self, request: FrontRequest) -> Result[CallerRequest, Findings]:
        """Return a caller's request; see ``RequestProtocol``."""
        fields = Fields(request.headers)
        findings = [
            Finding(name, "stands more than once")
            for name in SINGLE_HEADERS
            if len(fields.values(name)) > 1
        ]
        findings.extend(
            Finding(name, "is folded over lines")
            for name, value in request.headers
            if "\n" in value or "\r" in value
        )
        coding = fields.first("Transfer-Encoding")
        if coding and coding.lower() != "chunked":
            findings.append(Finding("Transfer-Encoding", f"is {coding!r}"))
        if not request.target.isascii():
            findings.append(Finding("target", "has bytes beyond ASCII"))
        wait = fields.number(DEADLINE)
        if fields.first(DEADLINE) and wait is None:
            findings.append(Finding(DEADLINE, "is no number"))
        if findings:
            return Failure(tuple(findings))
        return Success(self._make(request, fields, wait))

    def _make(
        self, request: FrontRequest, fields: "Fields", wait: float | None
    ) -> CallerRequest:
        prompt, _, answer = fields.first(TOKENS).partition(",")
        dropped = HOP_HEADERS | REPLACED_HEADERS | fields.connection_options()
        return CallerRequest(
            request_id=RequestId(fields.first(ATTEMPT_ID)),
            method=request.method,
            target=request.target,
            host=fields.first("Host").partition(":")[0].lower(),
            headers=[
                (name, value)
                for name, value in request.headers
                if name.lower() not in dropped
            ],
            wait=None if wait is None else wait * MILLISECOND,
            key=fields.first(KEY),
            model=ModelName(fields.first(MODEL)),
            prompt_tokens=int(prompt) if prompt.isdecimal() else 0,
            answer_tokens=int(answer) if answer.isdecimal() else 0,
            length_hint=int(fields.number(LENGTH_HINT) or 0),
            last_event=fields.whole(LAST_EVENT_ID),
        )

    def encode_request(self, call: CallerRequest, terms: SendTerms) -> HeaderList:
        """Return the headers for a target; see ``RequestProtocol``."""
        headers = list(call.headers)
        headers.append((DEADLINE, str(max(1, int(terms.wait / MILLISECOND)))))
        headers.append((EXPECTED_TARGET, terms.target))
        if terms.account is not None:
            headers.append((ACCOUNT, terms.account))
        if terms.version is not None:
            headers.append((EXPECTED_VERSION, str(terms.version)))
        if terms.last_event is not None:
            headers.append((LAST_EVENT_ID, str(terms.last_event)))
        if terms.urgency is not None:
            headers.append((URGENCY, str(terms.urgency)))
        headers.append(("Connection", "close"))
        return headers

    def decode_answer(self, response: BaseHTTPResponse) -> AnswerHead:
        """Return the head of an answer; see ``RequestProtocol``."""
        fields = response.headers
        named = fields.get(LIMIT, "").strip()
        limit = read_limit(named)
        return AnswerHead(
            status=response.status,
            reason=response.reason or "",
            headers=[
                (name, value)
                for name, value in fields.items()
                if name.lower() not in HOP_HEADERS and name.lower() != "date"
            ],
            request_id=fields.get(ATTEMPT_ID, ""),
            signed=bool(fields.get(SIGNATURE)),
            not_run=NOT_RUN in fields or response.status == MISDIRECTED,
            other_target=response.status == MISDIRECTED or TARGET in fields,
            events=fields.get("Content-Type", "").startswith(EVENTS_TYPE),
            limit=limit,
            bad_limit=named if limit is None else "",
        )

    def retry_after(self, seconds: float) -> HeaderList:
        """Return the headers that tell when to come back; fractions may stand."""
        return [(RETRY_AFTER, f"{seconds:.3f}")]


def read_limit(text: str) -> float | None:
    """Return a limit in requests a second; None where the text is none."""
    if not DECIMAL.fullmatch(text):
        return None
    limit = float(text)
    return limit if limit <= HIGHEST_LIMIT else None


class Fields:
    """Header lines by name."""

    def __init__(self, headers: HeaderList) -> None:
        self.by_name: dict[str, list[str]] = {}
        for name, value in headers:
            self.by_name.setdefault(name.lower(), []).append(value)

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return self.by_name.get(name.lower(), [])

    def first(self, name: str) -> str:
        """Return the first value of a header, empty if there is none."""
        values = self.values(name)
        return values[0] if values else ""

    def number(self, name: str) -> float | None:
        """Return a header's value as a number of 0 or more, if it is one."""
        try:
            value = float(self.first(name))
        except ValueError:
            return None
        return value if 0 <= value < float("inf") else None

    def whole(self, name: str) -> int | None:
        """Return a header's value as a whole number, if it is one."""
        text = self.first(name)
        return int(text) if text.isdecimal() else None

    def connection_options(self) -> frozenset[str]:
        """Return the headers that the sender meant for one connection only."""
        listed = ",".join(self.values("Connection")).lower().split(",")
        return frozenset(name.strip() for name in listed if name.strip())
