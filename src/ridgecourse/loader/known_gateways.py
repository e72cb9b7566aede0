"""Gateways that a loader knows: connected gateways and, at first, gateways from seeds.

Gateways discover a loader once its engine is in the list of targets, some 2 s after the
loader's start. Until then the loader asks the seed instances of its settings for
gateways, so that it fetches weights before the engine is available.
"""

from collections import Counter
from collections.abc import Iterator, Sequence

import eventlet
from returns.result import Failure

from ridgecourse.core.hubs import GATEWAYS_PATH, Peer
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import decode_message

SEED_INTERVAL_SECONDS = 0.3
"""Interval of requests to the seeds, in seconds."""
ANSWER_TIMEOUT_SECONDS = 0.5
"""Timeout of one request to a seed, in seconds."""
SEED_GATEWAYS_SECONDS = 4.0
"""Seconds from the loader's start during which gateways named only by a seed are used.
By then the engine is listed and gateways have discovered the loader; a gateway that has
failed must not be used for longer."""


class KnownGateways:
    """Gateways that fetch weights into the domain.

    Attributes:
        seeds: HOST:PORT of the seeds to ask.
        connected: Gateways that watch this loader, with their numbers of connections.
        seed_gateways: Gateways that a seed returned.
        seed_gateways_until: Time until which ``seed_gateways`` are used.
    """

    def __init__(
        self, seeds: Sequence[str], http: HttpClient, events: EventStream
    ) -> None:
        self.seeds = seeds
        self.http = http
        self.events = events
        self.connected: Counter[Peer] = Counter()
        self.seed_gateways: list[Peer] = []
        self.seed_gateways_until = boottime() + SEED_GATEWAYS_SECONDS
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to query the seeds."""
        self.thread = spawn_loop(self._query_seeds)

    def close(self) -> None:
        """Stop querying the seeds."""
        if self.thread is not None:
            self.thread.kill()

    def __iter__(self) -> Iterator[Peer]:
        """Yield the gateways that are currently known."""
        yield from self.connected
        if boottime() < self.seed_gateways_until:
            yield from (
                peer for peer in self.seed_gateways if peer not in self.connected
            )

    def __bool__(self) -> bool:
        return any(True for _ in self)

    def record_connection(self, gateway: Peer | None, change: int) -> bool:
        """Record an opened or closed connection.

        Args:
            gateway: Gateway of the connection; None if it fetches no weights.
            change: 1 for an opened connection, -1 for a closed one.

        Returns:
            Whether a gateway opened its first connection or closed its last one.
        """
        if gateway is None:
            return False
        before = len(self.connected)
        self.connected[gateway] += change
        if self.connected[gateway] <= 0:
            del self.connected[gateway]
        if len(self.connected) == before:
            return False
        names = sorted(peer.name for peer in self.connected)
        self.events.emit(EventKind.GATEWAYS_KNOWN, gateways=names)
        return True

    def _query_seeds(self) -> None:
        """Query the seeds in order until one returns gateways or the time is over."""
        while not self.seed_gateways and boottime() < self.seed_gateways_until:
            for seed in self.seeds:
                self.seed_gateways = self._query_seed(seed)
                if self.seed_gateways:
                    break
            eventlet.sleep(SEED_INTERVAL_SECONDS)

    def _query_seed(self, seed: str) -> list[Peer]:
        """Return the gateways that a seed knows; empty if it gives no valid answer."""
        try:
            status, data, _ = self.http.fetch(
                "GET", seed, GATEWAYS_PATH, timeout=ANSWER_TIMEOUT_SECONDS
            )
        except (NoConnection, ExchangeFailed) as error:
            self.events.metrics.count("seed_unanswered")
            self.events.emit(EventKind.SEED_LOST, peer=seed, why=str(error))
            return []
        decoded = decode_message(data, list[Peer])
        if status != 200 or isinstance(decoded, Failure):
            return []
        return decoded.unwrap()
