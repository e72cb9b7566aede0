"""Decodes what an engine announces of itself in the headers of its answers."""

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from ridgecourse.core.ids import TargetId
from ridgecourse.core.problem import Problem, Problems
from ridgecourse.core.relisted_targets import HealthAnswer
from ridgecourse.platform.names import (
    COLD_HEADER,
    LEAVING_HEADER,
    NOT_EXECUTED_HEADER,
    RETRY_AFTER_HEADER,
    TARGET_HEADER,
)
from ridgecourse.platform.settings import MILLISECOND

HEALTHY_STATUS = 200
UNAVAILABLE = 503
DECIMAL_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?", re.ASCII)
LEAVING_VALUES = {"": False, "0": False, "1": True}


class DecodedAnnouncement(NamedTuple):
    """The announcements in one answer.

    Attributes:
        leaving: Whether the engine leaves.
        rest: Seconds for which it wants no requests from the receiver.
        problems: Headers that cannot be read.
    """

    leaving: bool
    rest: float
    problems: Problems


def decode_announcement(status: int, fields: Mapping[str, str]) -> DecodedAnnouncement:
    """Return the announcements in an answer.

    Args:
        status: HTTP status of the answer.
        fields: Headers of the answer; repeated headers are joined with commas.
    """
    leaving_text = fields.get(LEAVING_HEADER, "").strip()
    leaving_values = {value.strip() for value in leaving_text.split(",")}
    rest_text = ""
    if status == UNAVAILABLE:
        rest_text = fields.get(RETRY_AFTER_HEADER, "").strip()
    rest = parse_decimal(rest_text)

    def find_problems() -> Iterator[Problem]:
        if not leaving_values <= LEAVING_VALUES.keys():
            yield Problem(LEAVING_HEADER, f"is {leaving_text!r}, expected 1")
        if rest_text and rest is None:
            yield Problem(RETRY_AFTER_HEADER, f"is {rest_text!r}, expected seconds")

    return DecodedAnnouncement(
        leaving=any(LEAVING_VALUES.get(value) for value in leaving_values),
        rest=rest or 0.0,
        problems=tuple(find_problems()),
    )


def decode_cold_remaining(fields: Mapping[str, str]) -> Result[float | None, Problem]:
    """Return the seconds for which an engine stays cold, by its health answer.

    The value is 0 if it is not cold, and None if it does not say.

    Args:
        fields: Headers of the answer.
    """
    text = fields.get(COLD_HEADER, "").strip()
    if not text:
        return Success(None)
    milliseconds = parse_decimal(text)
    if milliseconds is None:
        return Failure(Problem(COLD_HEADER, f"is {text!r}, expected milliseconds"))
    return Success(milliseconds * MILLISECOND)


def decode_health(
    status: int, fields: Mapping[str, str], target: TargetId
) -> HealthAnswer:
    """Return what an answer to a health check says of a target.

    A target without a free slot refuses the check as it refuses a request, which says
    nothing of its health.

    Args:
        status: HTTP status of the answer.
        fields: Headers of the answer.
        target: The target that was asked.
    """
    answered_by = fields.get(TARGET_HEADER, "").strip()
    if answered_by not in ("", target):
        return HealthAnswer.UNHEALTHY
    if decode_announcement(status, fields).leaving:
        return HealthAnswer.UNHEALTHY
    if status == UNAVAILABLE and NOT_EXECUTED_HEADER not in fields:
        return HealthAnswer.UNHEALTHY
    is_healthy = status == HEALTHY_STATUS and answered_by == target
    return HealthAnswer.HEALTHY if is_healthy else HealthAnswer.UNKNOWN


def parse_decimal(text: str) -> float | None:
    """Return a plain decimal number of 0 or more, or None if the text is none."""
    return float(text) if DECIMAL_PATTERN.fullmatch(text) else None
