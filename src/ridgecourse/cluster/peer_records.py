"""Fetches the store's records from another process."""

from math import inf

from msgspec.structs import replace
from returns.result import Failure

from ridgecourse.cluster.record_server import (
    AGE_PARAMETER,
    RECORDS_PATH,
    WAIT_PARAMETER,
    RecordsResponse,
)
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.record_source import RecordBatch, SourceUnavailable, Topic
from ridgecourse.wire.codec import decode_message


def fetch_records(
    http: HttpClient,
    address: str,
    topic: Topic,
    start: Offset,
    timeout: float,
    wait: float = 0.0,
    known_age: float = 0.0,
) -> RecordsResponse:
    """Return the records that a process holds.

    If the process has read no records, the result is empty and infinitely old.

    Args:
        http: The HTTP client.
        address: HOST:PORT of the process.
        topic: The topic to read.
        start: The first offset wanted.
        timeout: Longest wait for the answer beyond ``wait``, in seconds.
        wait: How long the process may wait for a new record, in seconds.
        known_age: Age of the data that this process has, in seconds. The process does
            not wait if its own data are fresher.

    Raises:
        SourceUnavailable: The process gave no usable answer.
    """
    sent_at = boottime()
    query = f"{WAIT_PARAMETER}={wait}&{AGE_PARAMETER}={known_age:.3f}"
    path = f"{RECORDS_PATH}{topic.value}/{start}?{query}"
    try:
        status, data, _ = http.fetch("GET", address, path, timeout=wait + timeout)
    except (NoConnection, ExchangeFailed) as error:
        raise SourceUnavailable(f"{address}: {error}") from error
    if status == 204:
        return RecordsResponse([], Offset(0), inf, lost=True)
    if status != 200:
        raise SourceUnavailable(f"{address}: HTTP status {status}, expected 200 or 204")
    decoded = decode_message(data, RecordsResponse)
    if isinstance(decoded, Failure):
        raise SourceUnavailable(f"{address}: {decoded.failure()}")
    response = decoded.unwrap()
    # The network delay makes an answer older than the age it states. Without adding the
    # delay, a gateway that lagged behind on a slow link took its configuration for
    # current and rejected requests that a newer configuration allows.
    network_delay = max(0.0, boottime() - sent_at - response.waited)
    return replace(
        response,
        age=response.age + network_delay,
        read_age=response.read_age + network_delay,
    )


def to_batch(response: RecordsResponse) -> RecordBatch:
    """Return an answer that was received just now as a batch of records."""
    now = boottime()
    return RecordBatch(
        response.records,
        response.end,
        Seconds(now - response.age),
        is_relayed=True,
        removal_grace_seconds=response.kept,
        read_at=Seconds(now - response.read_age),
        relay_hops=response.level + 1,
        copied_end=response.copied_end,
        knows_removals=response.knows_removals,
        whole_from=response.whole_from,
        has_gap=response.has_gap,
    )
