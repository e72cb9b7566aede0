"""Estimated wait at an engine, from its load reports and the gateway's own requests.

An engine runs ``slots`` requests at once, in passes. In each pass, the engine prefills
all prompts that arrived during the previous pass and then decodes some tokens of each
answer. So a request waits for the prefill of all prompts of its pass: of 16 requests
that reach an engine at once, each waits for the prefill of all 16, even if no slot is
taken. At saturation, a request ends on average every

    prompt / prompt_rate + answer * step / slots

seconds, and requests that wait for a slot start at the same rate. Here ``prompt`` and
``answer`` are the mean lengths in tokens, and ``step`` is the duration of a decoding
step of the full batch; ``prefill_seconds`` adds a term for long prompts. The parameters
come from the service's configuration; a slow engine reports by which factor it is
slower.
"""

from msgspec import Struct, field

from ridgecourse.core.cold_engines import ColdStatement
from ridgecourse.core.ids import EngineStart, Seconds, WeightsVersion
from ridgecourse.core.routes import EngineModel

FRESH_SECONDS = 1.5
"""Age up to which a load report is used; a heartbeat, which contains the load, arrives
every second."""
HEARTBEAT_AGE_SECONDS = 0.3
"""The load in a heartbeat is applied only if the newest report is older than this: a
heartbeat has no sequence number, so it cannot be compared with reports in datagrams.
These report changes within 0.1 s unless a datagram is lost."""
REPORT_LAG_SECONDS = 0.05
"""A request that was sent less than this time before a report arrived is assumed not to
be counted in the report."""
SILENT_WAIT_SECONDS = 0.5
"""Wait added for an engine whose loader has stopped reporting: the instance may be
frozen, and requests sent to a frozen instance hang."""
SILENCE_EXPIRY_SECONDS = 12.0
"""Time after which a silent loader adds no wait to its engine. By then, a frozen
instance has resumed or its target has been removed from the list."""
SLOW_LINK_SHARE = 0.5
"""Share of its usual rate below which a link counts as slow. A link whose bandwidth has
not dropped stays above it, since other traffic takes a smaller share from the weights'
transfer."""
SLOW_LINK_SECONDS = 0.8
"""Wait added for a slow link: requests over such a link, and the closing of connections
that cancels requests, took up to 1 second."""
UNKNOWN_DELAY_SECONDS = 1.2
"""Network delay assumed for an engine whose loader does not report. Data took this long
to reach an engine behind a link of 0.5 Mbit/s that had just been restored."""
PREFILL_ALLOWANCE_SECONDS = 0.3
"""Time that a request spends at an engine in addition to its decoding steps, for the
prefill of its own prompt and of other prompts."""
OVERDUE_SECONDS = 0.6
"""A request that waits longer than this for its first event shows that its engine is
slower than reported; the usual time to the first event is 0.1 to 0.3 s."""


class EngineStatus(Struct, frozen=True, array_like=True):
    """The load of an engine as reported by its loader.

    Attributes:
        version: Version of the weights of which the engine serves all layers; 0 if
            there is none.
        busy: Whether the engine executes an order and accepts no new requests.
        queued: Number of waiting requests.
        active: Number of requests in progress.
        cache_used: Tokens of context in the cache that cannot be evicted.
        cache_total: Capacity of the cache, in tokens of context.
        slowdown: Factor by which the engine is slower than usual; 1 for usual speed.
        link_share: Last measured rate of the link of the engine's instance while
            weights were fetched over the link, as a share of the link's usual rate.
        prefill_backlog: Remaining prefill time in seconds, estimated by the loader.
        started: Start of the engine; None if unknown.
        leaving: Whether the engine announces that it leaves.
        cold: What the engine said of being cold; None if it was not asked.
    """

    version: WeightsVersion
    busy: bool
    queued: int
    active: int
    cache_used: int
    cache_total: int
    slowdown: float = 1.0
    link_share: float = 1.0
    prefill_backlog: float = 0.0
    started: EngineStart | None = None
    leaving: bool = False
    cold: ColdStatement | None = None


class PrefillBacklogEstimate:
    """Estimates the remaining prefill time of an engine from its number of requests.

    An engine reports how many requests it has, but not how many of them are prefilled.
    The requests that arrived since the last poll count as not prefilled. The backlog of
    the last poll shrinks by the time that has passed since.

    Attributes:
        seconds: Estimated remaining prefill time at the last poll, in seconds.
        requests: Number of requests at the last poll.
        updated_at: Time of the last poll; None before the first poll.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.requests = 0
        self.updated_at: Seconds | None = None

    def update(self, model: EngineModel, requests: int, now: Seconds) -> float:
        """Record the number of requests at the engine and update the estimate.

        Args:
            model: Speed and size of the engine.
            requests: Number of requests in progress and waiting.
            now: Current time.

        Returns:
            Remaining prefill time in seconds.
        """
        if self.updated_at is not None:
            elapsed = now - self.updated_at
            ended = min(
                self.requests, self.requests * elapsed / _request_seconds(model)
            )
            arrived = max(0.0, requests - self.requests + ended)
            prefill = prefill_seconds(model, model.prompt_tokens)
            backlog = max(0.0, self.seconds - elapsed) + arrived * prefill
            self.seconds = min(backlog, requests * prefill)
        self.requests = requests
        self.updated_at = now
        return self.seconds


class PendingRequest(Struct, frozen=True):
    """A request of this gateway that has no first event yet.

    Attributes:
        sent_at: Time at which the request was sent.
        prefill_time: Prefill time of the request's prompt, in seconds.
    """

    sent_at: Seconds
    prefill_time: float


class EngineLoad(Struct):
    """The load of one engine as one gateway knows it.

    Attributes:
        status: Newest report; None before the first report.
        reported_at: Time at which the newest report arrived; 0 for never.
        pending: Requests of this gateway without a first event, by identity.
        outstanding: Number of requests of this gateway in progress.
        sequence_number: Number of the newest report that arrived in a datagram.
    """

    status: EngineStatus | None = None
    reported_at: Seconds = Seconds(0.0)
    pending: dict[str, PendingRequest] = field(default_factory=dict)
    outstanding: int = 0
    sequence_number: int = 0

    def record_report(
        self, status: EngineStatus, now: Seconds, number: int = 0
    ) -> None:
        """Record a report.

        Args:
            status: Reported load.
            now: Current time.
            number: Sequence number of the report; 0 for none.
        """
        self.sequence_number = number or self.sequence_number
        self.status = status
        self.reported_at = now

    def is_newer(self, number: int, now: Seconds) -> bool:
        """Check whether a report is to be applied; datagrams may arrive out of order.

        Args:
            number: Sequence number of a report in a datagram. A report in a heartbeat
                has 0: it arrives on a connection, so it cannot arrive out of order, and
                is only needed if none arrived for ``HEARTBEAT_AGE_SECONDS``.
            now: Current time.
        """
        if not self.is_fresh(now):
            return True
        if number == 0:
            return now - self.reported_at > HEARTBEAT_AGE_SECONDS
        return number > self.sequence_number

    def is_fresh(self, now: Seconds) -> bool:
        """Check whether the newest report is recent enough to be used."""
        return self.status is not None and now - self.reported_at <= FRESH_SECONDS

    def requests(self, now: Seconds, gateways: int) -> float:
        """Return the number of requests at the engine, waiting requests included.

        Args:
            now: Current time.
            gateways: Number of gateways that send to the engine. Without a fresh
                report, each is assumed to have sent as many requests as this gateway.
        """
        status = self.status
        if status is None or not self.is_fresh(now):
            return float(self.outstanding * gateways)
        return float(status.queued + status.active + len(self._unreported()))

    def _unreported(self) -> list[PendingRequest]:
        """Return this gateway's requests that the newest report does not count."""
        if not self.pending:
            return []
        since = self.reported_at - REPORT_LAG_SECONDS
        return [
            pending for pending in self.pending.values() if pending.sent_at >= since
        ]

    def prefill_backlog(self, now: Seconds, gateways: int) -> float:
        """Return the remaining prefill time of the engine, in seconds.

        Args:
            now: Current time.
            gateways: Number of gateways that send to the engine. Each is assumed to
                have sent as many requests since the newest report as this gateway.
        """
        status = self.status
        if status is None or not self.is_fresh(now):
            return gateways * sum(
                pending.prefill_time for pending in self.pending.values()
            )
        remaining = max(0.0, status.prefill_backlog - (now - self.reported_at))
        return remaining + gateways * sum(
            pending.prefill_time for pending in self._unreported()
        )

    def overdue_seconds(self, now: Seconds) -> float:
        """Return by how many seconds the most overdue first event is overdue.

        Only requests of this gateway count; 0 if no first event is overdue.
        """
        if not self.pending:
            return 0.0
        oldest = min(pending.sent_at for pending in self.pending.values())
        return max(0.0, now - oldest - OVERDUE_SECONDS)

    def wait(
        self, model: EngineModel, slots: int, now: Seconds, gateways: int
    ) -> float:
        """Return the estimated seconds until one more request would start.

        The request starts when both a slot is free and the earlier prompts are
        prefilled, so the longer of these two times counts. Observed faults and delays
        are added.

        Args:
            model: Speed and size of the engine.
            slots: Number of requests that the engine runs at once.
            now: Current time.
            gateways: Number of gateways that send to the engine.
        """
        excess = self.requests(now, gateways) + 1 - slots
        slowdown = self.status.slowdown if self.status and self.is_fresh(now) else 1.0
        queue = excess * seconds_per_request(model, slots) if excess > 0 else 0.0
        backlog = slowdown * max(queue, self.prefill_backlog(now, gateways))
        return backlog + self._health_penalty(now) + self.overdue_seconds(now)

    def _health_penalty(self, now: Seconds) -> float:
        """Return the seconds of wait added for a silent loader or a slow link."""
        age = now - self.reported_at
        if self.status is not None and FRESH_SECONDS < age < SILENCE_EXPIRY_SECONDS:
            return SILENT_WAIT_SECONDS
        return self._link_delay(now)

    def network_delay(self, now: Seconds) -> float:
        """Return the expected network delay to the engine, in seconds."""
        return self._link_delay(now) if self.is_fresh(now) else UNKNOWN_DELAY_SECONDS

    def _link_delay(self, now: Seconds) -> float:
        """Return the delay of a link that is reported as slow, in seconds; else 0."""
        status = self.status
        if (
            status is None
            or not self.is_fresh(now)
            or status.link_share >= SLOW_LINK_SHARE
        ):
            return 0.0
        return SLOW_LINK_SECONDS


def seconds_per_request(model: EngineModel, slots: int) -> float:
    """Return the mean seconds between the ends of two requests at a full engine.

    Args:
        model: Speed and size of the engine.
        slots: Number of requests that the engine runs at once.
    """
    context = model.prompt_tokens + model.answer_tokens / 2
    step = model.step + slots * (
        model.step_per_request + model.step_per_token * context
    )
    prefill = prefill_seconds(model, model.prompt_tokens)
    return prefill + model.answer_tokens * step / max(1, slots)


def _request_seconds(model: EngineModel) -> float:
    """Return the estimated duration of a request of mean length in a half full batch.

    Only the base duration of a decoding step is counted.
    """
    return model.answer_tokens * model.step + PREFILL_ALLOWANCE_SECONDS


def prefill_seconds(model: EngineModel, tokens: float) -> float:
    """Return the prefill time of a prompt, in seconds.

    One part is proportional to the prompt's length, another to its number of pairs of
    tokens.

    Args:
        model: Speed and size of the engine.
        tokens: Length of the prompt, in tokens.
    """
    token_pairs = tokens * tokens / 2
    return tokens / max(1.0, model.prompt_rate) + token_pairs * model.pair_seconds
