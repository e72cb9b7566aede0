"""Measures where gateways send requests, in virtual time on modelled engines.

Engines join one after the other, as after new weights, while gateways see reports
that are up to 0.2 s old. A refused caller comes back once, as told. The policies: any
engine by chance; the one with the fewest requests; the one with the shortest wait;
the same with observed delays; also callers that are late in any case only where there
is room to spare. Compared are, by policy, the share of requests whose first event comes
within its objective, and the credit of all: 1 for those, less for what came late.
"""

from argparse import ArgumentParser
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from msgspec import structs

from bench.engine_passes import PassEngine, SimulatedRequest
from bench.result import print_result, quantile
from ridgecourse.core.engine_load import (
    EngineLoad,
    EngineStatus,
    Pending,
    UnreadEstimate,
    prompt_seconds,
)
from ridgecourse.core.first_events import FirstEventDelay
from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion
from ridgecourse.core.letting_in import Prospect, excess_wait
from ridgecourse.core.patience import UsualPatience
from ridgecourse.core.placement import FIRST_EVENT_SECONDS, SENDERS, placement_cost
from ridgecourse.core.retry import come_back_seconds
from ridgecourse.core.routes import EngineModel

MODEL = EngineModel(
    model=ModelName("m"),
    slots=16,
    cache_tokens=317_000,
    step=0.00927,
    step_per_request=0.0000232,
    step_per_token=0.0000000322,
    prompt_rate=20_700,
    pair_seconds=1.18e-9,
    prompt_tokens=979,
    answer_tokens=92,
    layers=16,
    chunks=96,
    chunk_bytes=24_576,
)
OBJECTIVE_SECONDS = 0.4
SHORT_OBJECTIVE_SECONDS = 0.3
"""Objectives of the two kinds of requests."""
LOOK_SECONDS = 0.1
PATIENCE_SECONDS = 6.0
"""For which a usual caller waits in all."""
LATE_CREDIT = 0.25
REFUSED_AGAIN_CREDIT = -0.3
"""Worth of an answer that is late, also after a refusal, or of being refused again, as
the users reckon it."""
DOMAINS = 3
POLICIES = ("random", "count", "unread", "observed", "spare")


@dataclass
class Gateway:
    """A gateway with what it knows of each engine."""

    domain: int
    loads: list[EngineLoad]
    delay: FirstEventDelay = field(default_factory=FirstEventDelay)
    patience: UsualPatience = field(default_factory=UsualPatience)


@dataclass
class Simulation:
    """Traffic over gateways and engines.

    Attributes:
        policy: How gateways choose.
        engines: The engines.
        gateways: The gateways.
        done: All requests.
        short_share: Share of requests with the shorter objective.
        patience_spread: Share by which callers wait longer or less long than usual.
        senders: The gateway that sent each request, by the request's identity.
    """

    policy: str
    engines: list[PassEngine]
    gateways: list[Gateway]
    random: Random
    estimates: list[UnreadEstimate] = field(default_factory=list)
    done: list[SimulatedRequest] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    order: Iterator[int] = field(default_factory=count)
    senders: dict[int, Gateway] = field(default_factory=dict)
    short_share: float = 0.0
    patience_spread: float = 0.0

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Let something happen at a time."""
        heappush(self.events, (time, next(self.order), action))

    def run(self, seconds: float, rate: float) -> None:
        """Let callers send for some seconds."""
        self.estimates = [UnreadEstimate() for _ in self.engines]
        time = 0.0
        while (time := time + self.random.expovariate(rate)) < seconds:
            self.at(time, self.arrive)
        for index in range(len(self.engines)):
            self.at(self.random.random() * LOOK_SECONDS, self.make_look(index, 0))
        while self.events:
            time, _, action = heappop(self.events)
            if time > seconds + 5.0:
                return
            action(time)

    def arrive(self, now: float) -> None:
        """Let a caller send a new request."""
        prompt = min(3880, int(self.random.lognormvariate(6.5, 0.8)) + 40)
        answer = min(250, 5 * int(self.random.lognormvariate(2.7, 0.7)) + 5)
        short = self.random.random() < self.short_share
        objective = SHORT_OBJECTIVE_SECONDS if short else OBJECTIVE_SECONDS
        patience = PATIENCE_SECONDS
        if self.patience_spread:
            patience *= 1 + self.patience_spread * self.random.uniform(-1.0, 1.0)
        request = SimulatedRequest(now, prompt, answer, objective, patience)
        self.done.append(request)
        self.send(request, now)

    def send(self, request: SimulatedRequest, now: float) -> None:
        """Send a request to where its gateway thinks best, or refuse it."""
        gateway = self.random.choice(self.gateways)
        index, wait = self.choose(gateway, Seconds(now))
        reading = prompt_seconds(MODEL, request.prompt)
        delay, waited = 0.0, 0.0
        if self.policy in ("observed", "spare"):
            delay = gateway.delay.expect(Seconds(now))
        left = request.patience - (now - request.arrived)
        if self.policy == "spare":
            waited = gateway.patience.observe(left)
        fill = gateway.loads[index].requests(now, SENDERS) / MODEL.slots
        prospect = Prospect(request.objective, waited, wait, reading, fill, delay)
        excess = excess_wait(prospect)
        if self.policy != "random" and excess is not None:
            request.refusals += 1
            if request.refusals == 1:
                back = now + come_back_seconds(excess, left, self.random)
                self.at(back, lambda then: self.send(request, then))
            return
        request.sent = now
        request.expected = wait + reading + FIRST_EVENT_SECONDS
        counted = 0.0 if self.policy == "count" else reading
        self.senders[id(request)] = gateway
        load = gateway.loads[index]
        load.waiting[str(id(request))] = Pending(Seconds(now), counted)
        load.outstanding += 1
        idle = self.engines[index].pass_end is None
        self.engines[index].take(request, now)
        if idle:
            self.schedule_pass(index)

    def choose(self, gateway: Gateway, now: Seconds) -> tuple[int, float]:
        """Return an engine and the wait expected there."""
        able = [i for i, engine in enumerate(self.engines) if engine.open_at <= now]
        if self.policy == "random":
            return self.random.choice(able), 0.0
        costs = []
        for index in able:
            load = gateway.loads[index]
            wait = load.wait(MODEL, MODEL.slots, now, SENDERS)
            near = index % DOMAINS == gateway.domain
            cost = placement_cost(load, wait, MODEL.slots, near, now, self.random)
            costs.append((cost, index, wait))
        _, index, wait = min(costs)
        return index, wait

    def schedule_pass(self, index: int) -> None:
        """Let an engine's pass end when it does."""
        end = self.engines[index].pass_end
        if end is None:
            return

        def action(now: float) -> None:
            self.engines[index].end_pass(now)
            self.forget_begun(index, now)
            self.schedule_pass(index)

        self.at(end, action)

    def forget_begun(self, index: int, now: float) -> None:
        """Take requests with a first event from what gateways wait for."""
        engine = self.engines[index]
        open_ids = {str(id(r)) for r in engine.unread + engine.queue}
        for gateway in self.gateways:
            waiting = gateway.loads[index].waiting
            for name in [name for name in waiting if name not in open_ids]:
                del waiting[name]
        for request in engine.begun:
            delay = now - request.sent - request.expected
            self.senders[id(request)].delay.observe(delay, Seconds(now))

    def make_look(self, index: int, number: int) -> Callable[[float], None]:
        """Return a loader's look, which ends in reports to the gateways."""

        def look(now: float) -> None:
            engine = self.engines[index]
            status = EngineStatus(
                WeightsVersion(1), False, len(engine.queue), engine.active, 0, 1
            )
            requests = len(engine.queue) + engine.active
            unread = self.estimates[index].look(MODEL, requests, Seconds(now))
            if self.policy != "count":
                status = structs.replace(status, unread=unread)
            for gateway in self.gateways:
                if index % DOMAINS == gateway.domain or number % 2 == 0:
                    gateway.loads[index].report(status, Seconds(now))
            self.at(now + LOOK_SECONDS, self.make_look(index, number + 1))

        return look


def measure(policy: str, arguments: Any, short_share: float = 0.0) -> dict[str, Any]:
    """Return what callers got under one policy."""
    random = Random(arguments.seed)
    openings = [0.0, 0.0, *(1.0 + 0.4 * n for n in range(arguments.engines - 2))]
    engines = [PassEngine(MODEL, open_at) for open_at in openings]
    gateways = [
        Gateway(n % DOMAINS, [EngineLoad() for _ in engines])
        for n in range(arguments.gateways)
    ]
    simulation = Simulation(policy, engines, gateways, random, short_share=short_share)
    simulation.run(arguments.seconds, arguments.rate)
    done = simulation.done
    waits = [r.first_event - r.sent for r in done if r.first_event is not None]
    return {
        "credit": sum(map(credit, done)) / len(done),
        "in_time": sum(credit(request) == 1.0 for request in done) / len(done),
        "refused": sum(request.refusals > 1 for request in done) / len(done),
        "worst": worst_credit(done),
        "p50_seconds": quantile(waits, 0.5),
        "p90_seconds": quantile(waits, 0.9),
    }


def worst_credit(done: list[SimulatedRequest]) -> float:
    """Return the credit of the kind, or the longest tenth of one, that has least."""
    means = []
    for objective in sorted({request.objective for request in done}):
        kind = [request for request in done if request.objective == objective]
        longest = sorted(kind, key=lambda request: -request.prompt)
        for group in (kind, longest[: len(kind) // 10]):
            means.append(sum(map(credit, group)) / max(1, len(group)))
    return min(means)


def credit(request: SimulatedRequest) -> float:
    """Return what an answer was worth."""
    if request.refusals > 1:
        return REFUSED_AGAIN_CREDIT
    if request.first_event is None:
        return 0.0
    late = request.first_event - request.arrived > request.objective
    return LATE_CREDIT if late else 1.0


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = ArgumentParser(prog="python -m bench placement", description=__doc__)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--rate", type=float, default=55.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=20.0, help="virtual time")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--short-share", type=float, default=0.0, help="of requests with 0.3 s"
    )
    arguments = parser.parse_args(argv)
    print_result(
        {
            "rate": arguments.rate,
            "engines": arguments.engines,
            **{
                policy: {
                    name: round(value, 3)
                    for name, value in measure(
                        policy, arguments, arguments.short_share
                    ).items()
                }
                for policy in POLICIES
            },
        }
    )
    return 0
