"""Simulation of an engine with continuous batching.

The engine works in passes. A pass reads the prompts of newly started requests
(prefill) and generates tokens for the other requests of the batch (decoding). The
simulation follows the description of engines in docs/ENGINE.md. Time is virtual, so
that minutes of traffic are simulated in a second.
"""

from dataclasses import dataclass, field

from ridgecourse.core.engine_load import prefill_seconds
from ridgecourse.core.routes import EngineModel

TOKENS_PER_PASS = 5
"""Tokens that a pass generates for each answer."""


@dataclass
class SimulatedRequest:
    """A simulated request; all times are in seconds of virtual time.

    Attributes:
        arrived_at: Time at which the client first sent the request.
        prompt_tokens: Number of tokens of the prompt.
        remaining_tokens: Number of tokens of the answer not yet generated.
        objective: Latency objective for the first event.
        client_timeout: Total time that the client waits for an answer.
        dispatched_at: Time at which a gateway sent the request to an engine.
        expected_delay: Estimated time from dispatch to the first event.
        refusal_count: Number of times that gateways refused the request.
        first_event: Time of the first event; None before the first event.
    """

    arrived_at: float
    prompt_tokens: int
    remaining_tokens: int
    objective: float
    client_timeout: float
    dispatched_at: float = 0.0
    expected_delay: float = 0.0
    refusal_count: int = 0
    first_event: float | None = None


@dataclass
class SimulatedEngine:
    """Simulated engine; all times are in seconds of virtual time.

    Attributes:
        model: Performance parameters of the engine.
        available_at: Time from which the engine accepts requests.
        queue: Requests that wait for a slot.
        prefilling: Requests in a slot whose prompt has not been read.
        decoding: Requests whose answer is being generated.
        just_started: Requests whose first event came with the most recent pass.
        pass_end: End of the pass in progress; None while the engine is idle.
    """

    model: EngineModel
    available_at: float = 0.0
    queue: list[SimulatedRequest] = field(default_factory=list)
    prefilling: list[SimulatedRequest] = field(default_factory=list)
    decoding: list[SimulatedRequest] = field(default_factory=list)
    just_started: list[SimulatedRequest] = field(default_factory=list)
    pass_end: float | None = None

    @property
    def active(self) -> int:
        """Number of requests in a slot."""
        return len(self.prefilling) + len(self.decoding)

    def enqueue(self, request: SimulatedRequest, now: float) -> None:
        """Append a request to the queue and start a pass if the engine is idle."""
        self.queue.append(request)
        if self.pass_end is None:
            self._start_pass(now)

    def finish_pass(self, now: float) -> None:
        """Apply the results of the pass that ends and start the next pass."""
        for request in self.prefilling[: self.prefill_count]:
            request.first_event = now
        self.just_started = self.prefilling[: self.prefill_count]
        prefilled, self.prefilling = (
            self.prefilling[: self.prefill_count],
            self.prefilling[self.prefill_count :],
        )
        for request in self.decoding:
            request.remaining_tokens -= TOKENS_PER_PASS
        self.decoding = [
            request for request in self.decoding if request.remaining_tokens > 0
        ] + prefilled
        self._start_pass(now)

    def _start_pass(self, now: float) -> None:
        free_slots = self.model.slots - self.active
        self.prefilling += self.queue[:free_slots]
        self.queue = self.queue[free_slots:]
        self.prefill_count = len(self.prefilling)
        if not self.active:
            self.pass_end = None
            return
        prefill = sum(
            prefill_seconds(self.model, request.prompt_tokens)
            for request in self.prefilling
        )
        context_tokens = sum(request.prompt_tokens for request in self.decoding)
        step_seconds = (
            self.model.step + len(self.decoding) * self.model.step_per_request
        )
        step_seconds += context_tokens * self.model.step_per_token
        self.pass_end = (
            now
            + prefill
            + (TOKENS_PER_PASS * step_seconds if self.decoding else step_seconds)
        )
