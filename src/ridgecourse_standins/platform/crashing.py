"""Stand-in engines that end when they run one request, and come back renamed."""

from collections.abc import Callable
from threading import Condition, Lock, Thread, Timer
from time import monotonic

from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    send_whole,
)

CRASH_BODY = b"crash"
"""Body of a request that ends the engine that runs it."""
AWAY_SECONDS = 2.0
RUN_SECONDS = 0.05


class CrashingEngines:
    """Engines of one service that a request with ``CRASH_BODY`` ends.

    Attributes:
        count: Engines that the service has.
        list_engine: Called with each new engine to list it.
        lives: All engines that were started, ended ones included.
        ends: When each end came, on the test's clock.
        behaviour: Answers all other requests.
        before_crash: What is answered before an engine ends.
    """

    def __init__(
        self,
        count: int,
        list_engine: Callable[[EngineStandIn], str],
        behaviour: Callable[[ReceivedRequest], None] = send_whole,
        before_crash: Callable[[ReceivedRequest], None] = lambda _: None,
    ) -> None:
        self.count = count
        self.list_engine = list_engine
        self.behaviour = behaviour
        self.before_crash = before_crash
        self.lives: list[EngineStandIn] = []
        self.living: set[EngineStandIn] = set()
        self.ends: list[float] = []
        self.timers: list[Timer] = []
        self.lock = Lock()
        self.changed = Condition()
        self.closed = False

    def start(self) -> None:
        """Start and list all engines."""
        for _ in range(self.count):
            self._add()

    def close(self) -> None:
        """End all engines for good."""
        self.closed = True
        for timer in self.timers:
            timer.cancel()
        for engine in self.lives:
            engine.close()

    def end(self, engine: EngineStandIn) -> None:
        """End an engine, once; another one comes back for it."""
        with self.lock:
            if engine not in self.living:
                return
            self.living.discard(engine)
        engine.kill()
        with self.changed:
            self.ends.append(monotonic())
            self.changed.notify_all()
        timer = Timer(AWAY_SECONDS, self._add)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def crash_requests(self) -> list[ReceivedRequest]:
        """Return the requests with ``CRASH_BODY`` that reached an engine."""
        return [
            request
            for engine in list(self.lives)
            for request in list(engine.requests)
            if request.body == CRASH_BODY
        ]

    def _add(self) -> None:
        if self.closed:
            return
        engine = EngineStandIn(send_whole)
        engine.behaviour = self._behave_as(engine)
        engine.start()
        with self.lock:
            self.lives.append(engine)
            self.living.add(engine)
        self.list_engine(engine)

    def _behave_as(self, engine: EngineStandIn) -> Callable[[ReceivedRequest], None]:
        def behave(request: ReceivedRequest) -> None:
            if request.body != CRASH_BODY:
                self.behaviour(request)
                return
            self.before_crash(request)
            timer = Timer(RUN_SECONDS, Thread(target=self.end, args=(engine,)).start)
            timer.daemon = True
            timer.start()

        return behave
