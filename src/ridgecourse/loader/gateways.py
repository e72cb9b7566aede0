"""The gateways that a loader knows: those that watch it, and at first those it is told.

Gateways find a loader once its engine is listed, some 2 s after the loader's start.
Until then it asks the instances that its settings name as seeds, so that weights are
on their way before the engine is there.
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

ASK_SECONDS = 0.3
"""Between two questions to the seeds."""
ANSWER_SECONDS = 0.5
INTRODUCED_SECONDS = 4.0
"""How long, from the start on, gateways count that were only told of: an engine is
listed and its loader found by then, and one that is gone must not count for longer."""


class KnownGateways:
    """Gateways that bring weights in.

    Attributes:
        connected: Those that watch this loader, with the number of their connections.
        introduced: Those that a seed told of.
    """

    def __init__(
        self, seeds: Sequence[str], http: HttpClient, events: EventStream
    ) -> None:
        self.seeds = seeds
        self.http = http
        self.events = events
        self.connected: Counter[Peer] = Counter()
        self.introduced: list[Peer] = []
        self.introduced_until = boottime() + INTRODUCED_SECONDS
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to ask the seeds."""
        self.thread = spawn_loop(self._ask_seeds)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def __iter__(self) -> Iterator[Peer]:
        """Yield the gateways known now."""
        yield from self.connected
        if boottime() < self.introduced_until:
            yield from (peer for peer in self.introduced if peer not in self.connected)

    def __bool__(self) -> bool:
        return any(True for _ in self)

    def count(self, gateway: Peer | None, change: int) -> bool:
        """Note a connection that came or went; tell whether a gateway did.

        Args:
            gateway: Whose; None for one that brings no weights in.
            change: 1 or -1.
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

    def _ask_seeds(self) -> None:
        while not self.introduced and boottime() < self.introduced_until:
            for seed in self.seeds:
                self.introduced = self._ask(seed)
                if self.introduced:
                    break
            eventlet.sleep(ASK_SECONDS)

    def _ask(self, seed: str) -> list[Peer]:
        """Return the gateways that a seed knows, none where it does not answer."""
        try:
            status, data, _ = self.http.fetch(
                "GET", seed, GATEWAYS_PATH, timeout=ANSWER_SECONDS
            )
        except (NoConnection, ExchangeFailed) as error:
            self.events.figures.count("seed_unanswered")
            self.events.emit(EventKind.SEED_LOST, peer=seed, why=str(error))
            return []
        decoded = decode_message(data, list[Peer])
        if status != 200 or isinstance(decoded, Failure):
            return []
        return decoded.unwrap()
