"""The state that the components of an agent share."""

from ridgecourse.agent.settings import AgentSettings
from ridgecourse.core.fetch_types import Member, PlanPolicy
from ridgecourse.core.ids import (
    DomainName,
    FleetName,
    Incarnation,
    ProcessName,
    TargetName,
)
from ridgecourse.exchange.context import ExchangeContext, LinkPolicy
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.native.engine import EngineClient
from ridgecourse.native.log import LogClient
from ridgecourse.native.origin import OriginClient
from ridgecourse.net.config_store import ConfigStore
from ridgecourse.net.events import EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.process import new_incarnation
from ridgecourse.wire.request import MAX_REQUEST_BYTES

MAX_BODY_BYTES = MAX_REQUEST_BYTES + 64 * 1024
"""Longest body that an entry sends: a client's body and the message around it."""


class AgentContext:
    """Settings, identity, clients and stores of one agent.

    Attributes:
        local: The local peer, as it is named in the exchange of weights.
        incarnation: Incarnation of this process.
        config: The agent's copy of the configuration.
        store: The chunks that the agent holds.
        exchange: The context of the exchange of weights.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.process = ProcessName(settings.process)
        self.fleet = FleetName(settings.fleet)
        self.target = TargetName(settings.target)
        self.domain = DomainName(settings.domain)
        self.local = Member(self.target, self.domain)
        self.incarnation: Incarnation = new_incarnation()
        self.events = EventStream(self.process, self.incarnation, self.domain)
        self.metrics = Metrics(self.process, settings.statsd)
        self.config = ConfigStore()
        self.store = ChunkStore(settings.staging_bytes)
        self.http = HttpClient(source=settings.source)
        self.exchange = self._make_exchange(settings)
        self.counts = self.exchange.counts
        self.origin = OriginClient(settings.origin, self.http, self.exchange.download)
        self.log = LogClient(settings.log, self.http)
        self.engine = EngineClient(
            settings.engine.address, self.http, settings.engine.api_token
        )

    def _make_exchange(self, settings: AgentSettings) -> ExchangeContext:
        link, plan = settings.link, settings.plan
        return ExchangeContext(
            local=self.local,
            events=self.events,
            metrics=self.metrics,
            http=self.http,
            store=self.store,
            link=LinkPolicy(
                upload_bytes_per_s=link.upload_bytes_per_s,
                upload_slots=link.upload_slots,
                upload_queue=link.upload_queue,
                uploads_per_chunk=link.uploads_per_chunk,
            ),
            plan=PlanPolicy(
                classes=plan.classes,
                neighbours=plan.neighbours,
                fetches=plan.fetches,
                per_source=plan.per_source,
                stall_seconds=plan.stall_seconds,
            ),
            key=settings.shared_key,
            source=settings.source,
            download_bytes_per_s=link.download_bytes_per_s,
            chunk_stall_seconds=plan.chunk_stall_seconds,
        )

    def close(self) -> None:
        """Close idle connections and the metrics socket."""
        self.http.close()
        self.metrics.close()
