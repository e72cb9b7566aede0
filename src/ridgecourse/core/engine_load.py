"""How long a request would wait at an engine, from its reports and our own sends.

An engine runs ``slots`` requests at once. Prompts are read between the tokens of
others, so that at saturation a request leaves the engine every

    prompt / prompt_rate + answer * step / slots

seconds, and what waits leaves at that rate. The figures come from the service's
configuration; a slow engine tells by how much it is slower.
"""

from msgspec import Struct, field

from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.routes import EngineModel

FRESH_SECONDS = 1.5
"""A report older than this says nothing any more: a heartbeat comes each second."""
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
UNANSWERED_SECONDS = 0.6
"""A request that waits longer for its first event than this shows that its engine
is slower than it tells; the usual is 0.1 to 0.3 s."""


class EngineStatus(Struct, frozen=True):
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
    """

    version: WeightsVersion
    busy: bool
    queued: int
    active: int
    cache_used: int
    cache_total: int
    pace: float = 1.0
    link: float = 1.0


class EngineLoad(Struct):
    """What one gateway knows of one engine's load.

    Attributes:
        status: The newest report.
        reported_at: When it came; 0 for never.
        waiting: Own requests without a first event, and when they were sent.
        outstanding: Own requests in progress.
    """

    status: EngineStatus | None = None
    reported_at: Seconds = Seconds(0.0)
    waiting: dict[str, Seconds] = field(default_factory=dict)
    outstanding: int = 0

    def report(self, status: EngineStatus, now: Seconds) -> None:
        """Take in a report."""
        self.status = status
        self.reported_at = now

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
        since = self.reported_at - REPORT_LAG_SECONDS
        unseen = sum(1 for sent in self.waiting.values() if sent >= since)
        return float(status.queued + status.active + unseen)

    def unanswered(self, now: Seconds) -> float:
        """Return by how many seconds the oldest own request is overdue."""
        if not self.waiting:
            return 0.0
        return max(0.0, now - min(self.waiting.values()) - UNANSWERED_SECONDS)

    def wait(
        self, model: EngineModel, slots: int, now: Seconds, gateways: int
    ) -> float:
        """Return the seconds until one more request would begin."""
        ahead = self.requests(now, gateways) + 1 - slots
        pace = self.status.pace if self.status and self.is_fresh(now) else 1.0
        queue = max(0.0, ahead) * seconds_per_request(model, slots) * pace
        return queue + self._doubt(now) + self.unanswered(now)

    def _doubt(self, now: Seconds) -> float:
        """Return the wait for which an engine counts whose instance seems unwell."""
        age = now - self.reported_at
        if self.status is not None and FRESH_SECONDS < age < FORGET_SECONDS:
            return SILENT_SECONDS
        return self._link_delay(now)

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


def prompt_seconds(model: EngineModel, tokens: float) -> float:
    """Return the seconds that an engine reads a prompt for."""
    pairs = tokens * tokens / 2
    return tokens / max(1.0, model.prompt_rate) + pairs * model.pair_seconds
