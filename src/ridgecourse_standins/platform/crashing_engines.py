"""Stand-in engines that crash on some requests and restart under other names."""

from collections.abc import Callable
from threading import Condition, Lock, Thread, Timer
from time import monotonic

from ridgecourse.platform.names import PROMPT_PARTS_HEADER
from ridgecourse_standins.platform.engine import (
    EngineStandIn,
    ReceivedRequest,
    send_response,
)

CRASH_BODY = b"crash"
"""Body of a request that crashes every engine that runs the request."""
RESTART_SECONDS = 2.0
CRASH_DELAY_SECONDS = 0.05


def has_crash_body(request: ReceivedRequest) -> bool:
    """Check whether the body of a request is ``CRASH_BODY``."""
    return request.body == CRASH_BODY


def make_part_check(*part_ids: str) -> Callable[[ReceivedRequest], bool]:
    """Return a check whether a prompt has one of some parts before its last part."""

    def has_part(request: ReceivedRequest) -> bool:
        parts = (request.header(PROMPT_PARTS_HEADER) or "").split(",")
        return any(part.partition(":")[0] in part_ids for part in parts[:-1])

    return has_part


class CrashingEngines:
    """Engines of one service that crash on some requests.

    Attributes:
        count: Number of engines of the service.
        list_engine: Callback that lists a new engine with the platform.
        incarnations: All engines that were started, crashed ones included.
        running: Engines that have not crashed.
        crash_times: Monotonic time of each crash.
        behaviour: Answers all requests that do not crash engines.
        before_crash: Called with a crashing request before the engine crashes; may
            send a part of an answer.
        resets: Whether the connections of a crashed engine are reset, not closed.
        is_crashing: Whether a request crashes the engine that runs it.
        crash_delay: Seconds from the arrival of a request to the crash.
        arrivals: Monotonic time at which each request that crashes engines arrived.
        timers: Timers of the pending restarts.
        changed: Notified after each crash.
        closed: Whether all engines were closed; no engine starts afterwards.
    """

    def __init__(
        self,
        count: int,
        list_engine: Callable[[EngineStandIn], str],
        behaviour: Callable[[ReceivedRequest], None] = send_response,
        before_crash: Callable[[ReceivedRequest], None] = lambda _: None,
        resets: bool = True,
        is_crashing: Callable[[ReceivedRequest], bool] = has_crash_body,
        crash_delay: float = CRASH_DELAY_SECONDS,
    ) -> None:
        self.count = count
        self.list_engine = list_engine
        self.behaviour = behaviour
        self.before_crash = before_crash
        self.resets = resets
        self.is_crashing = is_crashing
        self.crash_delay = crash_delay
        self.arrivals: list[float] = []
        self.incarnations: list[EngineStandIn] = []
        self.running: set[EngineStandIn] = set()
        self.crash_times: list[float] = []
        self.timers: list[Timer] = []
        self.lock = Lock()
        self.changed = Condition()
        self.closed = False

    def start(self) -> None:
        """Start and list all engines."""
        for _ in range(self.count):
            self._start_engine()

    def close(self) -> None:
        """Close all engines and cancel pending restarts."""
        self.closed = True
        for timer in self.timers:
            timer.cancel()
        for engine in self.incarnations:
            engine.close()

    def crash(self, engine: EngineStandIn) -> None:
        """Crash an engine once; a new engine replaces it after ``RESTART_SECONDS``."""
        with self.lock:
            if engine not in self.running:
                return
            self.running.discard(engine)
        engine.kill(self.resets)
        with self.changed:
            self.crash_times.append(monotonic())
            self.changed.notify_all()
        timer = Timer(RESTART_SECONDS, self._start_engine)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def crash_requests(self) -> list[ReceivedRequest]:
        """Return the requests that crash engines and that engines received."""
        return [
            request
            for engine in list(self.incarnations)
            for request in list(engine.requests)
            if self.is_crashing(request)
        ]

    def _start_engine(self) -> None:
        if self.closed:
            return
        engine = EngineStandIn(send_response)
        engine.behaviour = self._make_behaviour(engine)
        engine.start()
        with self.lock:
            self.incarnations.append(engine)
            self.running.add(engine)
        self.list_engine(engine)

    def _make_behaviour(
        self, engine: EngineStandIn
    ) -> Callable[[ReceivedRequest], None]:
        def respond(request: ReceivedRequest) -> None:
            if not self.is_crashing(request):
                self.behaviour(request)
                return
            self.arrivals.append(monotonic())
            self.before_crash(request)
            timer = Timer(
                self.crash_delay, Thread(target=self.crash, args=(engine,)).start
            )
            timer.daemon = True
            timer.start()

        return respond
