"""The engine beside a loader: reports, orders, staging area."""

from urllib.parse import quote

from msgspec import UNSET, Struct, UnsetType
from msgspec.json import encode
from returns.result import Failure

from ridgecourse.core.ids import ModelName, WeightsVersion
from ridgecourse.loader.protocol import (
    EngineControl,
    EngineReport,
    EngineUnavailable,
    InvalidReport,
    OrderOutcome,
)
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.kept_connections import KeptConnections
from ridgecourse.platform.names import (
    CHUNK_INDEX,
    ORDER_PATH,
    REPORT_PATH,
    STAGE_GET_PATH,
    STAGE_PUT_PATH,
)
from ridgecourse.platform.records import (
    LayerFields,
    StartMillisecond,
    decode_json,
    make_layers,
    make_start,
)

CALL_SECONDS = 1.0
"""Longest wait for an answer of the engine on the own machine."""
JSON_HEADERS = {"Content-Type": "application/json"}
ORDER_OUTCOMES = {
    200: OrderOutcome.HELD,
    202: OrderOutcome.BEGUN,
    400: OrderOutcome.REFUSED,
    409: OrderOutcome.REFUSED,
    412: OrderOutcome.REFUSED,
    421: OrderOutcome.REFUSED,
}


class ReportFields(Struct):
    """An engine's report.

    Attributes:
        utilization: Not a share: whether an order is under way.
        sequence: Orders taken.
        kv_used: Tokens, times the layers held.
        kv_total: Likewise.
    """

    utilization: bool = False
    sequence: int = 0
    queued: int = 0
    active: int = 0
    kv_used: int = 0
    kv_total: int = 0
    layers: LayerFields | None = None
    pace: float = 1.0
    born: StartMillisecond | UnsetType = UNSET


class StartFields(Struct):
    """An order to take what lies staged."""

    model: str
    version: int
    op: str = "start"
    method: str = "wait"


class PlatformEngine(EngineControl):
    """Client of one engine."""

    def __init__(self, address: str, http: HttpClient, source: str) -> None:
        self.address = address
        self.http = http
        self.kept = KeptConnections(address, source)

    def report(self) -> EngineReport:
        """Return what the engine tells; see ``EngineControl``."""
        try:
            status, data = self.kept.get(REPORT_PATH, CALL_SECONDS)
        except (NoConnection, ExchangeFailed) as error:
            raise EngineUnavailable(f"{REPORT_PATH}: {error}") from error
        if status != 200:
            raise EngineUnavailable(f"report: status {status}")
        decoded = decode_json(data, ReportFields, "report")
        if isinstance(decoded, Failure):
            raise InvalidReport("; ".join(map(str, decoded.failure())))
        fields: ReportFields = decoded.unwrap()
        return EngineReport(
            layers=make_layers(fields.layers),
            orders=fields.sequence,
            busy=fields.utilization,
            queued=fields.queued,
            active=fields.active,
            cache_used=fields.kv_used,
            cache_total=fields.kv_total,
            pace=fields.pace,
            started=make_start(fields.born),
        )

    def start(self, model: ModelName, version: WeightsVersion) -> OrderOutcome:
        """Order the engine to serve what lies staged; see ``EngineControl``."""
        body = encode(StartFields(model, version))
        try:
            status, _ = self._call("POST", ORDER_PATH, body)
        except EngineUnavailable:
            return OrderOutcome.UNKNOWN
        return ORDER_OUTCOMES.get(status, OrderOutcome.UNKNOWN)

    def stage(self, model: ModelName, index: int, data: bytes) -> None:
        """Put a chunk into the staging area; see ``EngineControl``."""
        path = f"{STAGE_PUT_PATH}{quote(model)}?{CHUNK_INDEX}={index}"
        status, _ = self._call("PUT", path, data)
        if status // 100 != 2:
            raise EngineUnavailable(f"stage {index}: status {status}")

    def staged(self, model: ModelName, index: int) -> bytes | None:
        """Return a staged chunk; see ``EngineControl``."""
        path = f"{STAGE_GET_PATH}{quote(model)}?{CHUNK_INDEX}={index}"
        status, data = self._call("GET", path)
        if status == 404:
            return None
        if status != 200:
            raise EngineUnavailable(f"staged {index}: status {status}")
        return data

    def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes]:
        headers = JSON_HEADERS if method == "POST" else None
        try:
            status, data, _ = self.http.fetch(
                method, self.address, path, body, headers, timeout=CALL_SECONDS
            )
        except (NoConnection, ExchangeFailed) as error:
            raise EngineUnavailable(f"{path}: {error}") from error
        return status, data
