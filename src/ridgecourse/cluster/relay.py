"""Learns from other processes what the store does not tell this one.

The store may turn some instances away, or be out of their reach, while others read
it. A decision must be in force here as well, so those others are asked.
"""

from collections.abc import Callable, Sequence
from itertools import count

import eventlet

from ridgecourse.cluster.peer_records import ask_records, to_batch
from ridgecourse.cluster.view import ClusterView
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import SourceUnavailable, Topic
from ridgecourse.net.threads import spawn_loop

POLL_SECONDS = 0.5
"""Between two questions while the store is lost: decisions must be in force within
2 s, and a lost store is noticed after up to 2.4 s, of some 7 allowed then."""
ASKED = 2
"""Processes asked at a time: one of them may be cut off as well."""
ANSWER_SECONDS = 0.5


class RecordRelay:
    """Asks other processes for records while the store is lost.

    Attributes:
        peers: Returns HOST:PORT of those to ask, the nearest first.
    """

    def __init__(
        self,
        view: ClusterView,
        http: HttpClient,
        peers: Callable[[], Sequence[str]],
        events: EventStream,
    ) -> None:
        self.view = view
        self.http = http
        self.peers = peers
        self.events = events
        self.turns = count()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to watch the store."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        while True:
            eventlet.sleep(POLL_SECONDS)
            for topic in self.view.lost_topics():
                self._ask_some(topic)

    def _ask_some(self, topic: Topic) -> None:
        peers = self.peers()
        for _ in range(min(ASKED, len(peers))):
            self._ask(topic, peers[next(self.turns) % len(peers)])

    def _ask(self, topic: Topic, address: str) -> None:
        start = self.view.share.topics[topic].end
        try:
            shared = ask_records(self.http, address, topic, start, ANSWER_SECONDS)
        except SourceUnavailable:
            # It may be cut off as well, or gone; the next one is asked.
            self.events.figures.count("relay_unanswered")
            return
        if not shared.records and (topic is Topic.TARGETS or not shared.end):
            return
        self.events.figures.count("relay_answered")
        self.events.emit(
            EventKind.RECORDS_FROM_PEER,
            offset=shared.end,
            topic=topic.value,
            records=len(shared.records),
            peer=address,
        )
        self.view.take(topic, to_batch(shared), False)
