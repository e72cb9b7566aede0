"""Takes in the limits that engines name, and tells other gateways of them."""

from collections.abc import Container, Sequence

import eventlet

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.engine_limits import EngineLimits, LimitNews
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.targets import ListedTarget
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.gateway.messages import AnswerHead
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.control import EngineLimitNews

TELL_SECONDS = 3.0
"""Between two tellings of a limit that lasts: a fourth of the time for which it is
remembered without."""
REPEATS = 2
"""How often a change is told again to some, for datagrams get lost."""
REPEAT_SECONDS = 0.2
FANOUT = 3
MOST_IN_ONE = 12
"""Limits in a datagram."""


class LimitWatch:
    """Knows the limits of engines.

    Attributes:
        limits: What is known.
        link: Reaches other gateways.
        refused: Engines whose limit could not be read.
    """

    def __init__(self, events: EventStream, link: GatewayLink) -> None:
        self.events = events
        self.link = link
        self.limits = EngineLimits(link.site, link.place)
        self.refused: set[EngineLife] = set()
        self.thread: eventlet.greenthread.GreenThread | None = None
        link.handlers[EngineLimitNews] = self._take

    def start(self) -> None:
        """Begin to tell others."""
        self.thread = spawn_loop(self._tell_on)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def wait(self, target: ListedTarget, life: EngineLife) -> float:
        """Return the seconds until a target may get a request; may be infinite."""
        if not self.limits.limited(life):
            return 0.0
        known = self.link.known()
        return self.limits.wait(life, target.domain, known, boottime())

    def note_answer(self, life: EngineLife, head: AnswerHead) -> None:
        """Take in the limit of an answer, or that it has none."""
        if head.bad_limit:
            self.events.figures.count("bad_limits")
            if life not in self.refused:
                self.refused.add(life)
                error = f"{life.target}: limit {head.bad_limit!r}"
                self.events.emit(EventKind.BAD_INPUT, error=error)
            return
        if head.limit is None and not self.limits.limited(life):
            return
        now = boottime()
        if not self.limits.hear(life, head.limit, now):
            return
        self.events.emit(EventKind.ENGINE_LIMIT, target=life.target, rate=head.limit)
        self._tell([self.limits.tell(life, now)], all_known=True)
        eventlet.spawn(self._repeat, life)

    def forget_gone(self, listed: Container[TargetId]) -> None:
        """Drop what is known of engines that are no longer listed."""
        self.limits.states.forget_unlisted(listed)
        self.refused = {life for life in self.refused if life.target in listed}

    def _take(self, message: EngineLimitNews) -> None:
        now = boottime()
        for news in message.limits:
            self.limits.hear(news.life, news.rate, Seconds(now - news.age))

    def _repeat(self, life: EngineLife) -> None:
        for _ in range(REPEATS):
            eventlet.sleep(REPEAT_SECONDS)
            if life.target in self.limits.states.lives:
                self._tell([self.limits.tell(life, boottime())], all_known=False)

    def _tell_on(self) -> None:
        while True:
            eventlet.sleep(TELL_SECONDS * (0.5 + 0.5 * self.link.random.random()))
            self._tell(self.limits.due(boottime(), TELL_SECONDS / 2), all_known=True)

    def _tell(self, news: Sequence[LimitNews], all_known: bool) -> None:
        addresses = self.link.all() if all_known else self.link.some(FANOUT)
        for start in range(0, len(news), MOST_IN_ONE):
            part = list(news[start : start + MOST_IN_ONE])
            self.link.send(EngineLimitNews(part), addresses)
