"""Translates clients' requests and targets' answers from and to the platform's headers.

The rest of the gateway does not depend on the platform's header names.
"""

from collections.abc import Sequence

from returns.result import Failure, Result, Success
from urllib3 import BaseHTTPResponse

from ridgecourse.core.ids import ModelName, RequestId, TargetId
from ridgecourse.core.problem import Problem, Problems
from ridgecourse.core.relisted_targets import HealthAnswer
from ridgecourse.gateway.messages import AnswerHead, ClientRequest, SendTerms
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.net.front_server import FrontRequest
from ridgecourse.net.http_server import HeaderList
from ridgecourse.platform.announcements import (
    UNAVAILABLE,
    decode_announcement,
    decode_health,
    parse_decimal,
)
from ridgecourse.platform.names import (
    ACCOUNT_HEADER,
    API_KEY_HEADER,
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    EXPECTED_VERSION_HEADER,
    LAST_EVENT_ID_HEADER,
    LEAVING_HEADER,
    LENGTH_HINT_HEADER,
    MODEL_HEADER,
    NOT_EXECUTED_HEADER,
    PROMPT_PARTS_HEADER,
    RATE_LIMIT_HEADER,
    RETRY_AFTER_HEADER,
    SIGNATURE_HEADER,
    TARGET_HEADER,
    TOKEN_COUNTS_HEADER,
    URGENCY_HEADER,
)
from ridgecourse.platform.settings import MILLISECOND

MISDIRECTED = 421
HEXADECIMAL_DIGITS = frozenset("0123456789abcdef")
MAX_PLAUSIBLE_LIMIT = 1e6
"""Highest rate limit, in requests per second, that is accepted from an engine. No
engine reaches this rate, so a higher limit is an error of the engine."""
EVENT_STREAM_TYPE = "text/event-stream"

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to one connection only, and those that frame the body, which each
connection sets anew. They are not forwarded."""

REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY_HEADER,
        ACCOUNT_HEADER,
        DEADLINE_HEADER,
        EXPECTED_TARGET_HEADER,
        EXPECTED_VERSION_HEADER,
        URGENCY_HEADER,
        LAST_EVENT_ID_HEADER,
    )
)
"""Headers that the gateway sets itself; a client's values are not forwarded."""

ENGINE_HEADERS = HOP_BY_HOP_HEADERS | {"date", LEAVING_HEADER.lower()}
"""Headers of an engine's answer that are not for the client."""

UNREPEATABLE_HEADERS = (
    "Host",
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    API_KEY_HEADER,
    "Content-Length",
)
"""Headers that a request may contain only once. With two values, the gateway and the
target could each use a different one."""


class PlatformRequestProtocol(RequestProtocol):
    """Implements the platform's request protocol."""

    def decode_request(self, request: FrontRequest) -> Result[ClientRequest, Problems]:
        """Return a client's request or the problems; see ``RequestProtocol``."""
        fields = HeaderFields(request.headers)
        problems = [
            Problem(name, "stands more than once")
            for name in UNREPEATABLE_HEADERS
            if len(fields.values(name)) > 1
        ]
        problems.extend(
            Problem(name, "is folded over lines")
            for name, value in request.headers
            if "\n" in value or "\r" in value
        )
        transfer_encoding = fields.first("Transfer-Encoding")
        if transfer_encoding and transfer_encoding.lower() != "chunked":
            problems.append(Problem("Transfer-Encoding", f"is {transfer_encoding!r}"))
        if not request.target.isascii():
            problems.append(Problem("target", "has bytes beyond ASCII"))
        timeout_ms = fields.number(DEADLINE_HEADER)
        if fields.first(DEADLINE_HEADER) and timeout_ms is None:
            problems.append(Problem(DEADLINE_HEADER, "is no number"))
        if problems:
            return Failure(tuple(problems))
        return Success(self._make_request(request, fields, timeout_ms))

    def _make_request(
        self, request: FrontRequest, fields: "HeaderFields", timeout_ms: float | None
    ) -> ClientRequest:
        prompt, _, answer = fields.first(TOKEN_COUNTS_HEADER).partition(",")
        dropped_names = (
            HOP_BY_HOP_HEADERS | REPLACED_HEADERS | fields.connection_options()
        )
        return ClientRequest(
            request_id=RequestId(fields.first(ATTEMPT_ID_HEADER)),
            method=request.method,
            target=request.target,
            host=fields.first("Host").partition(":")[0].lower(),
            headers=[
                (name, value)
                for name, value in request.headers
                if name.lower() not in dropped_names
            ],
            wait=None if timeout_ms is None else timeout_ms * MILLISECOND,
            key=fields.first(API_KEY_HEADER),
            model=ModelName(fields.first(MODEL_HEADER)),
            prompt_tokens=int(prompt) if prompt.isdecimal() else 0,
            answer_tokens=int(answer) if answer.isdecimal() else 0,
            length_hint=int(fields.number(LENGTH_HINT_HEADER) or 0),
            last_event=fields.integer(LAST_EVENT_ID_HEADER),
            prompt_parts=decode_prompt_parts(fields.values(PROMPT_PARTS_HEADER)),
        )

    def encode_request(self, call: ClientRequest, terms: SendTerms) -> HeaderList:
        """Return the headers to send to a target; see ``RequestProtocol``."""
        headers = list(call.headers)
        headers.append((DEADLINE_HEADER, str(max(1, int(terms.wait / MILLISECOND)))))
        headers.append((EXPECTED_TARGET_HEADER, terms.target))
        if terms.account is not None:
            headers.append((ACCOUNT_HEADER, terms.account))
        if terms.version is not None:
            headers.append((EXPECTED_VERSION_HEADER, str(terms.version)))
        if terms.last_event is not None:
            headers.append((LAST_EVENT_ID_HEADER, str(terms.last_event)))
        if terms.urgency is not None:
            headers.append((URGENCY_HEADER, str(terms.urgency)))
        headers.append(("Connection", "close"))
        return headers

    def decode_answer(self, response: BaseHTTPResponse) -> AnswerHead:
        """Return the head of an answer; see ``RequestProtocol``."""
        fields = response.headers
        limit_text = fields.get(RATE_LIMIT_HEADER, "").strip()
        limit = parse_limit(limit_text)
        announcement = decode_announcement(response.status, fields)
        dropped_names = ENGINE_HEADERS
        if response.status == UNAVAILABLE:
            # The rest is for the gateway; other targets may serve the client at once.
            dropped_names = dropped_names | {RETRY_AFTER_HEADER.lower()}
        return AnswerHead(
            status=response.status,
            reason=response.reason or "",
            headers=[
                (name, value)
                for name, value in fields.items()
                if name.lower() not in dropped_names
            ],
            request_id=fields.get(ATTEMPT_ID_HEADER, ""),
            signed=bool(fields.get(SIGNATURE_HEADER)),
            not_run=NOT_EXECUTED_HEADER in fields or response.status == MISDIRECTED,
            other_target=response.status == MISDIRECTED or TARGET_HEADER in fields,
            events=fields.get("Content-Type", "").startswith(EVENT_STREAM_TYPE),
            limit=limit,
            bad_limit=limit_text if limit is None else "",
            leaving=announcement.leaving,
            rest=announcement.rest,
            bad_announcements=announcement.problems,
        )

    def decode_health(
        self, response: BaseHTTPResponse, target: TargetId
    ) -> HealthAnswer:
        """Return what a health answer says of a target; see ``RequestProtocol``."""
        return decode_health(response.status, response.headers, target)

    def retry_after(self, seconds: float) -> HeaderList:
        """Return the header with the retry delay, which may be a fractional number."""
        return [(RETRY_AFTER_HEADER, f"{seconds:.3f}")]


def decode_prompt_parts(values: Sequence[str]) -> tuple[str, ...]:
    """Return the identities of the parts of a prompt, without its last part.

    A part without a valid identity is left out. The header is only forwarded, so that
    an invalid one is no reason to reject a request.

    Args:
        values: Value of each header line, ID:TOKENS separated by commas.
    """
    part_ids = [
        part.partition(":")[0].strip().lower() for part in ",".join(values).split(",")
    ]
    return tuple(part_id for part_id in part_ids[:-1] if is_hexadecimal(part_id))


def is_hexadecimal(text: str) -> bool:
    """Check whether a text consists of hexadecimal digits."""
    return bool(text) and HEXADECIMAL_DIGITS.issuperset(text)


def parse_limit(text: str) -> float | None:
    """Return a rate limit in requests per second, or None if the text is invalid."""
    limit = parse_decimal(text)
    return limit if limit is not None and limit <= MAX_PLAUSIBLE_LIMIT else None


class HeaderFields:
    """Header values by name, which is not case-sensitive.

    Attributes:
        by_name: Values in order of the header lines, by lower-case name.
    """

    def __init__(self, headers: HeaderList) -> None:
        self.by_name: dict[str, list[str]] = {}
        for name, value in headers:
            self.by_name.setdefault(name.lower(), []).append(value)

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return self.by_name.get(name.lower(), [])

    def first(self, name: str) -> str:
        """Return the first value of a header, or an empty text if absent."""
        values = self.values(name)
        return values[0] if values else ""

    def number(self, name: str) -> float | None:
        """Return a header's value as a finite number of 0 or more, or None."""
        try:
            value = float(self.first(name))
        except ValueError:
            return None
        return value if 0 <= value < float("inf") else None

    def integer(self, name: str) -> int | None:
        """Return a header's value as a non-negative integer, or None."""
        text = self.first(name)
        return int(text) if text.isdecimal() else None

    def connection_options(self) -> frozenset[str]:
        """Return the names of the headers that ``Connection`` declares hop-by-hop."""
        listed = ",".join(self.values("Connection")).lower().split(",")
        return frozenset(name.strip() for name in listed if name.strip())
