"""What gateways tell each other of requests under which engines ended.

A single mark goes to the few gateways that gather the marks of that request. From the
second one on news goes to all known gateways at once, and to some of them again while
it is fresh, for datagrams get lost. What lasts is told to one after the other, so that
a domain that was cut off learns of it. So what is sent follows the engines that end,
and nothing is while none does.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import eventlet

from ridgecourse.core.suspect import (
    SuspectNews,
)
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import MAX_BYTES
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import CrashNews, CrashQuery

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


class FreshNews(NamedTuple):
    """What changed of late.

    Attributes:
        for_all: Of requests that all gateways have to know of.
        for_keepers: Of others, as noted here.
    """

    for_all: Sequence[SuspectNews]
    for_keepers: Sequence[SuspectNews]


class SuspectKnowledge(ABC):
    """What is told to others, and takes in what they tell."""

    @abstractmethod
    def fresh_news(self, span: float) -> FreshNews:
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
        link: Carries it.
        learned: Whether it is known what holds.
        ready: Whether the start need not wait for that any longer.
    """

    def __init__(
        self, knowledge: SuspectKnowledge, link: GatewayLink, first_start: bool
    ) -> None:
        self.knowledge = knowledge
        self.link = link
        self.learned = self.ready = first_start
        self.told_lasting_at = 0.0
        self.threads: list[eventlet.greenthread.GreenThread] = []
        link.handlers[CrashNews] = self._take
        link.handlers[CrashQuery] = self._answer

    def start(self) -> None:
        """Begin to tell, and ask what holds."""
        for work in (self._repeat, self._learn):
            self.threads.append(spawn_loop(work))

    def close(self) -> None:
        """Stop."""
        for thread in self.threads:
            thread.kill()

    def tell_all(self, news: Iterable[SuspectNews]) -> None:
        """Tell all known gateways."""
        self._tell(news, self.link.all())

    def tell_keepers(self, news: Iterable[SuspectNews]) -> None:
        """Tell the few gateways that gather what is known of each request."""
        for each in news:
            self._tell([each], self.link.keepers(each.signature.hex()))

    def _tell(self, news: Iterable[SuspectNews], addresses: Sequence[Address]) -> None:
        for part in pack(news):
            self.link.send(CrashNews(self.link.site.process, part), addresses)

    def _take(self, message: CrashNews) -> None:
        self.knowledge.take_news(message)
        if message.reply:
            self.learned = self.ready = True

    def _answer(self, query: CrashQuery) -> None:
        """Tell a gateway that starts what holds, if that is known here."""
        if not self.learned:
            return
        try:
            address = parse_address(query.reply_to)
        except ValueError:
            self.link.socket.refused += 1
            return
        news = self.knowledge.lasting_news()
        self._tell(news, [address])
        # Sent after all the news: it does not overtake them on a link that keeps order.
        self.link.send(CrashNews(self.link.site.process, [], reply=True), [address])

    def _repeat(self) -> None:
        while True:
            eventlet.sleep(REPEAT_SECONDS * (0.5 + self.link.random.random()))
            fresh = self.knowledge.fresh_news(FRESH_SECONDS)
            self._tell(fresh.for_all, self.link.some(FANOUT))
            self.tell_keepers(fresh.for_keepers)
            now = boottime()
            if now - self.told_lasting_at >= LASTING_SECONDS:
                self.told_lasting_at = now
                if lasting := self.knowledge.lasting_news():
                    self._tell(lasting, self.link.some(1))

    def _learn(self) -> None:
        """Ask others, and the store where nobody answers."""
        begun = boottime()
        recalled_at = 0.0
        query = CrashQuery(str(self.link.address))
        while not self.learned:
            self.link.send(query, {*self.link.some(FANOUT), *self.link.seeds()})
            eventlet.sleep(RECALL_SECONDS if self.ready else QUERY_SECONDS)
            now = boottime()
            if now - begun >= ASK_SECONDS and now - recalled_at >= RECALL_SECONDS:
                recalled_at = now
                self.learned = self.learned or self.knowledge.recall()
            self.ready = self.learned or boottime() - begun >= LEARN_SECONDS


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
