"""What the parts of an agent share."""

from ridgecourse.agent.settings import AgentSettings
from ridgecourse.agent.store import ChunkStore
from ridgecourse.core.ids import (
    DomainName,
    FleetName,
    Incarnation,
    ProcessName,
    TargetName,
)
from ridgecourse.core.planner import Member
from ridgecourse.native.engine import EngineClient
from ridgecourse.native.log import LogClient
from ridgecourse.native.origin import OriginClient
from ridgecourse.net.config_store import ConfigStore
from ridgecourse.net.events import EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.process import new_incarnation
from ridgecourse.net.throttle import Throttle


class TransferCounts:
    """Bytes of weights that an agent moved, over all versions."""

    def __init__(self) -> None:
        self.from_origin = 0
        self.from_domain = 0
        self.across_domains = 0
        self.fetched_twice = 0
        self.rejected = 0


class AgentContext:
    """Settings, identity, clients and stores of one agent.

    Attributes:
        me: The agent as others name it.
        incarnation: This life of the process.
        config: Its copy of the configuration.
        store: Its chunks.
        download: Limit of the incoming link.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.process = ProcessName(settings.process)
        self.fleet = FleetName(settings.fleet)
        self.target = TargetName(settings.target)
        self.domain = DomainName(settings.domain)
        self.me = Member(self.target, self.domain)
        self.incarnation: Incarnation = new_incarnation()
        self.events = EventStream(self.process, self.incarnation, self.domain)
        self.metrics = Metrics(self.process, settings.statsd)
        self.counts = TransferCounts()
        self.config = ConfigStore()
        self.store = ChunkStore(settings.staging_bytes)
        self.http = HttpClient(source=settings.source)
        self.download = Throttle(settings.link.download_bytes_per_s)
        self.origin = OriginClient(settings.origin, self.http, self.download)
        self.log = LogClient(settings.log, self.http)
        self.engine = EngineClient(
            settings.engine.address, self.http, settings.engine.api_token
        )

    def close(self) -> None:
        """Close idle connections and the metrics socket."""
        self.http.close()
        self.metrics.close()
