"""HTTP client of the engine on the loader's own instance.

Reads the engine's report, orders it to start a version of a model's weights, and writes
and reads chunks in its staging area.
"""

from urllib.parse import quote

from msgspec import UNSET, Struct, UnsetType
from msgspec.json import encode
from returns.result import Failure

from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion
from ridgecourse.loader.engine_control import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    InvalidReport,
    OrderOutcome,
)
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.kept_connections import PersistentConnections, SendExpired
from ridgecourse.platform.announcements import (
    decode_announcement,
    decode_cold_remaining,
)
from ridgecourse.platform.names import (
    CHUNK_INDEX_PARAMETER,
    ORDER_PATH,
    REPORT_PATH,
    STAGE_GET_PATH,
    STAGE_PUT_PATH,
)
from ridgecourse.platform.records import (
    LayerRangeFields,
    StartMilliseconds,
    decode_json,
    make_engine_start,
    make_held_layers,
)

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call to the engine, which runs on the same machine."""
JSON_HEADERS = {"Content-Type": "application/json"}
ORDER_OUTCOMES = {
    200: OrderOutcome.HELD,
    202: OrderOutcome.BEGUN,
    400: OrderOutcome.REFUSED,
    409: OrderOutcome.REFUSED,
    412: OrderOutcome.REFUSED,
    421: OrderOutcome.REFUSED,
}
"""Outcome of an order by HTTP status; it is unknown for any other status."""


class ReportFields(Struct):
    """An engine's report, with the platform's field names.

    Attributes:
        utilization: Whether the engine is carrying out an order. Despite the name this
            is not a ratio.
        sequence: Orders accepted since the engine started.
        queued: Requests in the engine's queue.
        active: Requests in progress.
        kv_used: Occupied KV cache, in tokens times layers held.
        kv_total: Size of the KV cache, in tokens times layers held.
        layers: Layers that the engine serves; None for none.
        pace: Factor by which the engine is slower than usual; 1 for usual speed.
        born: Start time of the engine in Unix milliseconds; absent if not reported.
    """

    utilization: bool = False
    sequence: int = 0
    queued: int = 0
    active: int = 0
    kv_used: int = 0
    kv_total: int = 0
    layers: LayerRangeFields | None = None
    pace: float = 1.0
    born: StartMilliseconds | UnsetType = UNSET


class StartOrderFields(Struct):
    """An order to serve the staged version of a model's weights."""

    model: str
    version: int
    op: str = "start"
    method: str = "wait"


class PlatformEngine(EngineControl):
    """Client of one engine.

    Attributes:
        address: HOST:PORT of the engine.
        http: Client for the staging area.
        connections: Persistent connections for the frequent reports, and the
            connections of orders.
    """

    def __init__(self, address: str, http: HttpClient, source: str) -> None:
        self.address = address
        self.http = http
        self.connections = PersistentConnections(address, source)

    def report(self) -> EngineReport:
        """Return the engine's report; see ``EngineControl``."""
        try:
            answer = self.connections.get(REPORT_PATH, CALL_TIMEOUT_SECONDS)
        except (NoConnection, ExchangeFailed) as error:
            raise EngineUnavailable(f"{REPORT_PATH}: {error}") from error
        if answer.status != 200:
            raise EngineUnavailable(f"report: status {answer.status}, expected 200")
        decoded = decode_json(answer.body, ReportFields, "report")
        if isinstance(decoded, Failure):
            raise InvalidReport("; ".join(map(str, decoded.failure())))
        fields: ReportFields = decoded.unwrap()
        return EngineReport(
            layers=make_held_layers(fields.layers),
            orders=fields.sequence,
            busy=fields.utilization,
            queued=fields.queued,
            active=fields.active,
            cache_used=fields.kv_used,
            cache_total=fields.kv_total,
            pace=fields.pace,
            started=make_engine_start(fields.born),
            leaving=decode_announcement(answer.status, answer.headers).leaving,
        )

    def cold_remaining(self, health_path: str) -> float | None:
        """Return for how long the engine stays cold; see ``EngineControl``."""
        try:
            answer = self.connections.get(health_path, CALL_TIMEOUT_SECONDS)
        except (NoConnection, ExchangeFailed) as error:
            raise EngineUnavailable(f"{health_path}: {error}") from error
        decoded = decode_cold_remaining(answer.headers)
        if isinstance(decoded, Failure):
            raise InvalidReport(str(decoded.failure()))
        return decoded.unwrap()

    def start(
        self, model: ModelName, version: WeightsVersion, send_until: Seconds
    ) -> OrderOutcome:
        """Order the engine to serve the staged version; see ``EngineControl``."""
        body = encode(StartOrderFields(model, version))
        try:
            answer = self.connections.post(
                ORDER_PATH, body, JSON_HEADERS, CALL_TIMEOUT_SECONDS, send_until
            )
        except SendExpired:
            return OrderOutcome.EXPIRED
        except (NoConnection, ExchangeFailed):
            return OrderOutcome.UNKNOWN
        return ORDER_OUTCOMES.get(answer.status, OrderOutcome.UNKNOWN)

    def stage(self, model: ModelName, index: int, data: bytes) -> None:
        """Write a chunk to the staging area; see ``EngineControl``."""
        path = f"{STAGE_PUT_PATH}{quote(model)}?{CHUNK_INDEX_PARAMETER}={index}"
        status, _ = self._call("PUT", path, data)
        if status // 100 != 2:
            raise EngineUnavailable(
                f"write of chunk {index} for staging: status {status}, expected 2xx"
            )

    def staged(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged chunk, or None if absent; see ``EngineControl``."""
        path = f"{STAGE_GET_PATH}{quote(model)}?{CHUNK_INDEX_PARAMETER}={index}"
        status, data = self._call("GET", path)
        if status == 404:
            return None
        if status != 200:
            raise EngineUnavailable(
                f"read of staged chunk {index}: status {status}, expected 200 or 404"
            )
        return data

    def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes]:
        try:
            status, data, _ = self.http.fetch(
                method, self.address, path, body, timeout=CALL_TIMEOUT_SECONDS
            )
        except (NoConnection, ExchangeFailed) as error:
            raise EngineUnavailable(f"{path}: {error}") from error
        return status, data
