"""A model of an engine: batches, passes, prompts read between the tokens of others.

Written from the description of the engines' work in docs/ENGINE.md; time is
virtual, so that minutes of traffic take a second.
"""

from dataclasses import dataclass, field

from ridgecourse.core.engine_load import prompt_seconds
from ridgecourse.core.routes import EngineModel

STRIDE = 5
"""Tokens of each answer in a pass."""


@dataclass
class SimulatedRequest:
    """A request on its way.

    Attributes:
        arrived: When its caller sent it, in seconds.
        prompt: Tokens of its prompt.
        answer: Tokens of its answer that are still to come.
        objective: Seconds to its first event.
        patience: Seconds that its caller waits in all.
        sent: When it was sent to an engine.
        expected: Estimated seconds from then to the first event.
        refusals: Times that it was refused.
        first_event: When its first event came; None before.
    """

    arrived: float
    prompt: int
    answer: int
    objective: float
    patience: float
    sent: float = 0.0
    expected: float = 0.0
    refusals: int = 0
    first_event: float | None = None


@dataclass
class PassEngine:
    """One engine.

    Attributes:
        model: Its figures.
        open_at: When it begins to take requests.
        queue: Requests that wait for a slot.
        unread: Requests in a slot whose prompt has not been read.
        writing: Requests whose answer is being written.
        begun: Requests whose first event came with the newest pass.
        pass_end: When the pass in progress ends; None while it is idle.
    """

    model: EngineModel
    open_at: float = 0.0
    queue: list[SimulatedRequest] = field(default_factory=list)
    unread: list[SimulatedRequest] = field(default_factory=list)
    writing: list[SimulatedRequest] = field(default_factory=list)
    begun: list[SimulatedRequest] = field(default_factory=list)
    pass_end: float | None = None

    @property
    def active(self) -> int:
        """Requests in a slot."""
        return len(self.unread) + len(self.writing)

    def take(self, request: SimulatedRequest, now: float) -> None:
        """Take a request in."""
        self.queue.append(request)
        if self.pass_end is None:
            self._begin_pass(now)

    def end_pass(self, now: float) -> None:
        """Write what the pass brought, and begin the next one."""
        for request in self.unread[: self.reading]:
            request.first_event = now
        self.begun = self.unread[: self.reading]
        read, self.unread = self.unread[: self.reading], self.unread[self.reading :]
        for request in self.writing:
            request.answer -= STRIDE
        self.writing = [r for r in self.writing if r.answer > 0] + read
        self._begin_pass(now)

    def _begin_pass(self, now: float) -> None:
        room = self.model.slots - self.active
        self.unread += self.queue[:room]
        self.queue = self.queue[room:]
        self.reading = len(self.unread)
        if not self.active:
            self.pass_end = None
            return
        reading = sum(prompt_seconds(self.model, r.prompt) for r in self.unread)
        context = sum(r.prompt for r in self.writing)
        step = self.model.step + len(self.writing) * self.model.step_per_request
        step += context * self.model.step_per_token
        self.pass_end = now + reading + (STRIDE * step if self.writing else step)
