"""How long a request would wait at an engine, from its reports and our own sends.

An engine runs ``slots`` requests at once, in passes: it reads the prompts that came
in during the pass before, all of them, and then some tokens of each answer. So a
request waits for the prompts that came before it; of 16 that reach an engine at once
each waits for all 16, though no slot is taken. At saturation a request leaves the
engine every

    prompt / prompt_rate + answer * step / slots

seconds, and what waits for a slot leaves at that rate. The figures come from the
service's configuration; a slow engine tells by how much it is slower.
"""

from msgspec import Struct, field

from ridgecourse.core.ids import EngineStart, Seconds, WeightsVersion
from ridgecourse.core.routes import EngineModel

FRESH_SECONDS = 1.5
"""A report older than this says nothing any more: a heartbeat comes each second."""
HEARTBEAT_AGE_SECONDS = 0.3
"""Age of the newest report from which on a heartbeat, which has no number, is taken
in: what changes is told within 0.1 s, where no datagram is lost."""
REPORT_LAG_SECONDS = 0.05
"""A request sent within this before a report came is not yet counted in it."""
SILENT_SECONDS = 0.5
"""Wait that an engine counts for while its loader has fallen silent: the instance
may be frozen, and what is sent there then hangs."""
FORGET_SECONDS = 12.0
"""After which a silent loader no longer counts against its engine: a frozen
instance has woken by then or left the list."""
NARROW_LINK = 0.5
"""Share of its usual rate below which a link counts as narrowed; what competes with
the weights for it takes less than that away."""
NARROW_SECONDS = 0.8
"""Wait that a narrowed link counts for: requests to its engine, and the ends of
connections by which they are taken back, took up to a second there."""
UNTOLD_WAY_SECONDS = 1.2
"""Way that an engine counts for whose loader tells nothing: bytes took so long to one
behind a link of 0.5 Mbit/s that had just come back."""
SHORTEST_ANSWER_SECONDS = 0.3
"""What reading its own prompt and those of others adds to a request's stay."""
UNANSWERED_SECONDS = 0.6
"""A request that waits longer for its first event than this shows that its engine
is slower than it tells; the usual is 0.1 to 0.3 s."""


class EngineStatus(Struct, frozen=True, array_like=True):
    """An engine's load, as its loader tells it.

    Attributes:
        version: Version that it serves whole; 0 for none.
        busy: Whether it carries out an order, and so takes no new requests.
        queued: Requests that wait.
        active: Requests in progress.
        cache_used: Tokens of context in memory that cannot give way.
        cache_total: Tokens of context that fit.
        pace: How much slower than usual it is; 1 for usual.
        link: Share of its usual rate that its instance's link was last seen to
            bring, while weights came over it.
        unread: Seconds that it still reads prompts for, as estimated beside it.
        started: When it started; None if it does not tell.
    """

    version: WeightsVersion
    busy: bool
    queued: int
    active: int
    cache_used: int
    cache_total: int
    pace: float = 1.0
    link: float = 1.0
    unread: float = 0.0
    started: EngineStart | None = None


class UnreadEstimate:
    """Estimates how long an engine still reads prompts, from its reports.

    An engine tells how many requests it has, not which of them it has read. Those
    that came since the last look are unread; what was unread then is read at the
    engine's rate.

    Attributes:
        seconds: The estimate at the last look.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.requests = 0
        self.looked_at: Seconds | None = None

    def look(self, model: EngineModel, requests: int, now: Seconds) -> float:
        """Take in the number of requests at the engine; return the estimate.

        Args:
            model: The engine's figures.
            requests: Requests in progress and waiting.
            now: The present time.
        """
        if self.looked_at is not None:
            passed = now - self.looked_at
            ended = min(self.requests, self.requests * passed / _answer_seconds(model))
            came = max(0.0, requests - self.requests + ended)
            one = prompt_seconds(model, model.prompt_tokens)
            unread = max(0.0, self.seconds - passed) + came * one
            self.seconds = min(unread, requests * one)
        self.requests = requests
        self.looked_at = now
        return self.seconds


class Pending(Struct, frozen=True):
    """An own request without a first event.

    Attributes:
        sent: When it was sent.
        reading: Seconds that the engine reads its prompt for.
    """

    sent: Seconds
    reading: float


class EngineLoad(Struct):
    """What one gateway knows of one engine's load.

    Attributes:
        status: The newest report.
        reported_at: When it came; 0 for never.
        waiting: Own requests without a first event.
        outstanding: Own requests in progress.
        number: Of the newest report that came in a datagram.
    """

    status: EngineStatus | None = None
    reported_at: Seconds = Seconds(0.0)
    waiting: dict[str, Pending] = field(default_factory=dict)
    outstanding: int = 0
    number: int = 0

    def report(self, status: EngineStatus, now: Seconds, number: int = 0) -> None:
        """Take in a report."""
        self.number = number or self.number
        self.status = status
        self.reported_at = now

    def is_newer(self, number: int, now: Seconds) -> bool:
        """Tell whether a report is to be taken in; datagrams may pass each other.

        Args:
            number: The report's number; 0 for one that cannot pass others, which is
                needed only where none has come for a while.
            now: The present time.
        """
        if not self.is_fresh(now):
            return True
        if number == 0:
            return now - self.reported_at > HEARTBEAT_AGE_SECONDS
        return number > self.number

    def is_fresh(self, now: Seconds) -> bool:
        """Tell whether the newest report still says something."""
        return self.status is not None and now - self.reported_at <= FRESH_SECONDS

    def requests(self, now: Seconds, gateways: int) -> float:
        """Return the requests at the engine, waiting ones included.

        Args:
            now: The present time.
            gateways: Gateways that send there; without a fresh report each is
                taken to have sent as much as this one.
        """
        status = self.status
        if status is None or not self.is_fresh(now):
            return float(self.outstanding * gateways)
        return float(status.queued + status.active + len(self._unseen()))

    def _unseen(self) -> list[Pending]:
        """Return the own requests that the newest report does not count yet."""
        if not self.waiting:
            return []
        since = self.reported_at - REPORT_LAG_SECONDS
        return [pending for pending in self.waiting.values() if pending.sent >= since]

    def unread(self, now: Seconds, gateways: int) -> float:
        """Return the seconds for which the engine still reads prompts.

        Args:
            now: The present time.
            gateways: Gateways that send there; each is taken to have sent as much
                since the newest report as this one.
        """
        status = self.status
        if status is None or not self.is_fresh(now):
            return gateways * sum(pending.reading for pending in self.waiting.values())
        left = max(0.0, status.unread - (now - self.reported_at))
        return left + gateways * sum(pending.reading for pending in self._unseen())

    def unanswered(self, now: Seconds) -> float:
        """Return by how many seconds the oldest own request is overdue."""
        if not self.waiting:
            return 0.0
        oldest = min(pending.sent for pending in self.waiting.values())
        return max(0.0, now - oldest - UNANSWERED_SECONDS)

    def wait(
        self, model: EngineModel, slots: int, now: Seconds, gateways: int
    ) -> float:
        """Return the seconds until one more request would begin."""
        ahead = self.requests(now, gateways) + 1 - slots
        pace = self.status.pace if self.status and self.is_fresh(now) else 1.0
        queue = ahead * seconds_per_request(model, slots) if ahead > 0 else 0.0
        before = pace * max(queue, self.unread(now, gateways))
        return before + self._doubt(now) + self.unanswered(now)

    def _doubt(self, now: Seconds) -> float:
        """Return the wait for which an engine counts whose instance seems unwell."""
        age = now - self.reported_at
        if self.status is not None and FRESH_SECONDS < age < FORGET_SECONDS:
            return SILENT_SECONDS
        return self._link_delay(now)

    def way(self, now: Seconds) -> float:
        """Return the seconds to reckon with for what is on its way to the engine."""
        return self._link_delay(now) if self.is_fresh(now) else UNTOLD_WAY_SECONDS

    def _link_delay(self, now: Seconds) -> float:
        status = self.status
        if status is None or not self.is_fresh(now) or status.link >= NARROW_LINK:
            return 0.0
        return NARROW_SECONDS


def seconds_per_request(model: EngineModel, slots: int) -> float:
    """Return the seconds between two requests that a full engine finishes."""
    context = model.prompt_tokens + model.answer_tokens / 2
    step = model.step + slots * (
        model.step_per_request + model.step_per_token * context
    )
    reading = prompt_seconds(model, model.prompt_tokens)
    return reading + model.answer_tokens * step / max(1, slots)


def _answer_seconds(model: EngineModel) -> float:
    """Return the seconds that a request of usual length takes in a half full batch."""
    return model.answer_tokens * model.step + SHORTEST_ANSWER_SECONDS


def prompt_seconds(model: EngineModel, tokens: float) -> float:
    """Return the seconds that an engine reads a prompt for."""
    pairs = tokens * tokens / 2
    return tokens / max(1.0, model.prompt_rate) + pairs * model.pair_seconds
