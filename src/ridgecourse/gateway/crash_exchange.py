"""What gateways tell each other of requests under which engines ended.

News goes to all known gateways at once, and what is new to some of them again while it
is fresh, for datagrams get lost. What lasts is told to one after the other, so that a
domain that was cut off learns of it. Nothing is sent while no request has a mark.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from random import Random

import eventlet

from ridgecourse.core.crash_suspects import SuspectNews
from ridgecourse.core.hubs import Peer
from ridgecourse.core.site import Site
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import MAX_BYTES, DatagramSocket
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import CrashNews, CrashQuery, GatewayNews

PORT_OFFSET = 2
"""From the control port to the one for this: the port between them is for chunks."""
REPEAT_SECONDS = 0.25
FRESH_SECONDS = 2.0
"""How long news is repeated: told on by each who has it to ``FANOUT`` others every
``REPEAT_SECONDS``, it reaches hundreds in half of that."""
FANOUT = 3
LASTING_SECONDS = 1.0
"""Between two tellings of what lasts, each to one other gateway."""
QUERY_SECONDS = 0.15
ASK_SECONDS = 0.3
"""How long others are asked before the store is: they answer in some milliseconds."""
LEARN_SECONDS = 1.0
"""Longest wait of a start; requests are served without an answer then."""
RECALL_SECONDS = 1.0
"""Between two tries to read the store."""
HEAD_BYTES = 100
"""Of a message, apart from its suspects."""


class SuspectKnowledge(ABC):
    """What is told to others, and takes in what they tell."""

    @abstractmethod
    def fresh_news(self, span: float) -> Sequence[SuspectNews]:
        """Return what changed within so many seconds."""

    @abstractmethod
    def lasting_news(self) -> Sequence[SuspectNews]:
        """Return all that others have to know."""

    @abstractmethod
    def recall(self) -> bool:
        """Take in what the store has; tell whether it could be read."""

    @abstractmethod
    def take_news(self, news: CrashNews) -> None:
        """Take in what another gateway tells."""


class CrashExchange:
    """Sends and takes news.

    Attributes:
        knowledge: What is told.
        known: Returns the other gateways.
        learned: Whether it is known what holds.
        ready: Whether the start need not wait for that any longer.
    """

    def __init__(
        self,
        site: Site,
        knowledge: SuspectKnowledge,
        known: Callable[[], Collection[Peer]],
        random: Random,
    ) -> None:
        self.site = site
        self.knowledge = knowledge
        self.known = known
        self.random = random
        self.port = site.peer_ports[0] + PORT_OFFSET
        self.socket = DatagramSocket(Address(site.host, self.port))
        self.learned = self.ready = site.first_start
        self.told_lasting_at = 0.0
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Begin to listen, and ask what holds."""
        self.socket.start()
        for work in (self._receive, self._repeat, self._learn):
            self.threads.append(spawn_loop(work))

    def close(self) -> None:
        """Stop."""
        for thread in self.threads:
            thread.kill()
        self.socket.close()

    def tell_all(self, news: Iterable[SuspectNews]) -> None:
        """Tell all known gateways."""
        self._tell(news, self._addresses(self.known()))

    def _tell(
        self,
        news: Iterable[SuspectNews],
        addresses: Sequence[Address],
        reply: bool = False,
    ) -> None:
        for part in pack(news):
            message = CrashNews(self.site.process, part, reply)
            self.socket.send(message, iter(addresses))

    def _addresses(self, peers: Iterable[Peer]) -> list[Address]:
        hosts = {parse_address(peer.control_address).host for peer in peers}
        return [Address(host, self.port) for host in hosts - {self.site.host}]

    def _some(self, count: int) -> list[Address]:
        addresses = self._addresses(self.known())
        return self.random.sample(addresses, min(count, len(addresses)))

    def _receive(self) -> None:
        for _, message in self.socket.messages(GatewayNews):
            if isinstance(message, CrashNews):
                self.knowledge.take_news(message)
                if message.reply:
                    self.learned = self.ready = True
            else:
                self._answer(message)

    def _answer(self, query: CrashQuery) -> None:
        """Tell a gateway that starts what holds, if that is known here."""
        if not self.learned:
            return
        try:
            address = parse_address(query.reply_to)
        except ValueError:
            self.socket.refused += 1
            return
        news = self.knowledge.lasting_news()
        self._tell(news, [address])
        # Sent after all the news: it does not overtake them on a link that keeps order.
        self.socket.send(CrashNews(self.site.process, [], reply=True), iter([address]))

    def _repeat(self) -> None:
        while True:
            eventlet.sleep(REPEAT_SECONDS * (0.5 + self.random.random()))
            if fresh := self.knowledge.fresh_news(FRESH_SECONDS):
                self._tell(fresh, self._some(FANOUT))
            now = boottime()
            if now - self.told_lasting_at >= LASTING_SECONDS:
                self.told_lasting_at = now
                if lasting := self.knowledge.lasting_news():
                    self._tell(lasting, self._some(1))

    def _learn(self) -> None:
        """Ask others, and the store where nobody answers."""
        begun = boottime()
        recalled_at = 0.0
        query = CrashQuery(f"{self.site.host}:{self.port}")
        while not self.learned:
            self.socket.send(query, iter(self._asked()))
            eventlet.sleep(QUERY_SECONDS)
            now = boottime()
            if now - begun >= ASK_SECONDS and now - recalled_at >= RECALL_SECONDS:
                recalled_at = now
                self.learned = self.learned or self.knowledge.recall()
            self.ready = self.learned or boottime() - begun >= LEARN_SECONDS

    def _asked(self) -> set[Address]:
        """Return whom to ask: the seeds, and some of the gateways that are known."""
        seeds = [Address(parse_address(s).host, self.port) for s in self.site.seeds]
        return {*self._some(FANOUT), *seeds} - {Address(self.site.host, self.port)}


def pack(news: Iterable[SuspectNews]) -> Iterator[list[SuspectNews]]:
    """Yield news in parts that fit into a datagram each."""
    part: list[SuspectNews] = []
    size = HEAD_BYTES
    for each in news:
        length = len(encode_message(each))
        if part and size + length > MAX_BYTES:
            yield part
            part, size = [], HEAD_BYTES
        part.append(each)
        size += length
    if part:
        yield part
