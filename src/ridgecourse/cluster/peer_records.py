"""Asks another process for the store's records."""

from math import inf

from msgspec.structs import replace
from returns.result import Failure

from ridgecourse.cluster.share import RECORDS_PATH, WAIT_PARAMETER, SharedRecords
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.record_source import RecordBatch, SourceUnavailable, Topic
from ridgecourse.wire.codec import decode_message


def ask_records(
    http: HttpClient,
    address: str,
    topic: Topic,
    start: Offset,
    timeout: float,
    wait: float = 0.0,
) -> SharedRecords:
    """Return the records that a process holds, infinitely old if it has read none.

    Args:
        http: The client.
        address: HOST:PORT of the process.
        topic: The stream.
        start: The first offset wanted.
        timeout: Longest wait for the answer beyond ``wait``, in seconds.
        wait: How long the process may wait for a first record, in seconds.

    Raises:
        SourceUnavailable: It gave no usable answer.
    """
    sent_at = boottime()
    path = f"{RECORDS_PATH}{topic.value}/{start}?{WAIT_PARAMETER}={wait}"
    try:
        status, data, _ = http.fetch("GET", address, path, timeout=wait + timeout)
    except (NoConnection, ExchangeFailed) as error:
        raise SourceUnavailable(f"{address}: {error}") from error
    if status == 204:
        return SharedRecords([], Offset(0), inf, lost=True)
    if status != 200:
        raise SourceUnavailable(f"{address}: status {status}")
    decoded = decode_message(data, SharedRecords)
    if isinstance(decoded, Failure):
        raise SourceUnavailable(f"{address}: {decoded.failure()}")
    shared = decoded.unwrap()
    # On a slow link an answer is older than it says: taken for new, it let a gateway
    # that was behind reject what a newer configuration allows.
    way = max(0.0, boottime() - sent_at - shared.waited)
    return replace(shared, age=shared.age + way, read_age=shared.read_age + way)


def to_batch(shared: SharedRecords) -> RecordBatch:
    """Return an answer that has just come as records that were read together."""
    now = boottime()
    return RecordBatch(
        shared.records,
        shared.end,
        Seconds(now - shared.age),
        told=True,
        kept=shared.kept,
        read_at=Seconds(now - shared.read_age),
        level=shared.level + 1,
    )
