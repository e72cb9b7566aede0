"""The state that the components of an entry share."""

from random import Random

from ridgecourse.core.ids import DomainName, Incarnation, ProcessName
from ridgecourse.entry.settings import EntrySettings
from ridgecourse.native.log import LogClient
from ridgecourse.net.config_store import ConfigStore
from ridgecourse.net.events import EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.process import new_incarnation


class EntryContext:
    """Settings, identity, clients and configuration of one entry.

    Attributes:
        config: The entry's copy of the configuration.
        random: Source of all random choices.
        stopping: Whether a planned stop has begun.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.process = ProcessName(settings.process)
        self.domain = DomainName(settings.domain)
        self.incarnation: Incarnation = new_incarnation()
        self.events = EventStream(self.process, self.incarnation, self.domain)
        self.metrics = Metrics(self.process, settings.statsd)
        self.config = ConfigStore()
        self.http = self.new_client()
        self.log = LogClient(settings.log, self.http)
        self.random = Random()
        self.stopping = False

    def new_client(self, connect_seconds: float = 1.0) -> HttpClient:
        """Return an HTTP client that connects from this entry's source address.

        Args:
            connect_seconds: Timeout for opening a connection, in seconds.
        """
        return HttpClient(connect_seconds, source=self.settings.source)

    def close(self) -> None:
        """Close idle connections and the metrics socket."""
        self.http.close()
        self.metrics.close()
