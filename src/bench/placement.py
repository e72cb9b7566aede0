"""Compares placement policies of gateways on simulated engines, in virtual time.

Engines become available one after the other, as after a change of weights, while
gateways see reports that are up to 0.2 s old. A client that is refused retries once,
after the delay given in the refusal.

Policies:
    random: A random engine.
    count: The engine with the fewest requests.
    unread: The engine with the shortest expected wait.
    observed: As "unread", with the observed delay of first events added.
    spare: As "observed"; requests that are late in any case are admitted only at
        engines with spare capacity.

Results per policy are the share of requests whose first event comes within its
objective, and the mean credit of all requests: 1 for a request in time, less for a
late request.
"""

from argparse import ArgumentParser
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from msgspec import structs

from bench.result import print_result, quantile
from bench.simulated_engine import SimulatedEngine, SimulatedRequest
from ridgecourse.core.client_timeout import UsualClientTimeout
from ridgecourse.core.engine_load import (
    EngineLoad,
    EngineStatus,
    PendingRequest,
    PrefillBacklogEstimate,
    prefill_seconds,
)
from ridgecourse.core.first_event_delay import FirstEventDelay
from ridgecourse.core.ids import ModelName, Seconds, WeightsVersion
from ridgecourse.core.load_shedding import AdmissionEstimate, excess_wait
from ridgecourse.core.placement import (
    ASSUMED_SENDERS,
    FIRST_EVENT_SECONDS,
    placement_cost,
)
from ridgecourse.core.retry import retry_delay_seconds
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
"""Latency objectives of the two classes of requests."""
POLL_SECONDS = 0.1
"""Interval at which a loader polls its engine."""
TIMEOUT_SECONDS = 6.0
"""Total time that a typical client waits for an answer."""
LATE_CREDIT = 0.25
REFUSED_AGAIN_CREDIT = -0.3
"""Credit of a late answer, including one after a refusal, and of a second refusal, as
rated by users."""
DOMAINS = 3
POLICIES = ("random", "count", "unread", "observed", "spare")


@dataclass
class Gateway:
    """A simulated gateway.

    Attributes:
        domain: Index of the gateway's failure domain.
        loads: Load of each engine as known to the gateway.
        delay: Observed delay of first events.
        usual_timeout: Estimate of the usual client timeout.
    """

    domain: int
    loads: list[EngineLoad]
    delay: FirstEventDelay = field(default_factory=FirstEventDelay)
    usual_timeout: UsualClientTimeout = field(default_factory=UsualClientTimeout)


@dataclass
class Simulation:
    """Discrete-event simulation of clients, gateways and engines.

    Attributes:
        policy: Placement policy of the gateways, one of ``POLICIES``.
        engines: Simulated engines.
        gateways: Simulated gateways.
        random: Source of randomness.
        estimates: Each loader's estimate of unread prompts, by index of the engine.
        requests: All requests that clients have sent.
        events: Heap of scheduled actions: time, sequence number, action.
        sequence: Numbers that order actions scheduled for the same time.
        senders: Gateway that dispatched each request, by the request's identity.
        short_share: Share of requests with the shorter objective.
        timeout_spread: Largest relative deviation of client timeouts from the usual
            timeout.
    """

    policy: str
    engines: list[SimulatedEngine]
    gateways: list[Gateway]
    random: Random
    estimates: list[PrefillBacklogEstimate] = field(default_factory=list)
    requests: list[SimulatedRequest] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    sequence: Iterator[int] = field(default_factory=count)
    senders: dict[int, Gateway] = field(default_factory=dict)
    short_share: float = 0.0
    timeout_spread: float = 0.0

    def schedule(self, time: float, action: Callable[[float], None]) -> None:
        """Schedule an action at a time."""
        heappush(self.events, (time, next(self.sequence), action))

    def run(self, seconds: float, rate: float) -> None:
        """Run the simulation.

        Args:
            seconds: Duration of the traffic.
            rate: Request rate, in requests per second.
        """
        self.estimates = [PrefillBacklogEstimate() for _ in self.engines]
        time = 0.0
        while (time := time + self.random.expovariate(rate)) < seconds:
            self.schedule(time, self.send_new_request)
        for index in range(len(self.engines)):
            self.schedule(self.random.random() * POLL_SECONDS, self.make_poll(index, 0))
        while self.events:
            time, _, action = heappop(self.events)
            if time > seconds + 5.0:
                return
            action(time)

    def send_new_request(self, now: float) -> None:
        """Create a new request of a client and send the request."""
        prompt_tokens = min(3880, int(self.random.lognormvariate(6.5, 0.8)) + 40)
        answer_tokens = min(250, 5 * int(self.random.lognormvariate(2.7, 0.7)) + 5)
        is_short = self.random.random() < self.short_share
        objective = SHORT_OBJECTIVE_SECONDS if is_short else OBJECTIVE_SECONDS
        client_timeout = TIMEOUT_SECONDS
        if self.timeout_spread:
            client_timeout *= 1 + self.timeout_spread * self.random.uniform(-1.0, 1.0)
        request = SimulatedRequest(
            now, prompt_tokens, answer_tokens, objective, client_timeout
        )
        self.requests.append(request)
        self.send(request, now)

    def send(self, request: SimulatedRequest, now: float) -> None:
        """Dispatch a request to the engine that a gateway chooses, or refuse it."""
        gateway = self.random.choice(self.gateways)
        index, wait = self.choose_engine(gateway, Seconds(now))
        prefill = prefill_seconds(MODEL, request.prompt_tokens)
        delay, waited = 0.0, 0.0
        if self.policy in ("observed", "spare"):
            delay = gateway.delay.expected_delay(Seconds(now))
        time_left = request.client_timeout - (now - request.arrived_at)
        if self.policy == "spare":
            waited = gateway.usual_timeout.observe(time_left)
        occupancy = gateway.loads[index].requests(now, ASSUMED_SENDERS) / MODEL.slots
        prospect = AdmissionEstimate(
            request.objective, waited, wait, prefill, occupancy, delay
        )
        excess = excess_wait(prospect)
        if self.policy != "random" and excess is not None:
            request.refusal_count += 1
            if request.refusal_count == 1:
                retry_at = now + retry_delay_seconds(excess, time_left, self.random)
                self.schedule(retry_at, lambda time: self.send(request, time))
            return
        request.dispatched_at = now
        request.expected_delay = wait + prefill + FIRST_EVENT_SECONDS
        counted_seconds = 0.0 if self.policy == "count" else prefill
        self.senders[id(request)] = gateway
        load = gateway.loads[index]
        load.pending[str(id(request))] = PendingRequest(Seconds(now), counted_seconds)
        load.outstanding += 1
        was_idle = self.engines[index].pass_end is None
        self.engines[index].enqueue(request, now)
        if was_idle:
            self.schedule_pass(index)

    def choose_engine(self, gateway: Gateway, now: Seconds) -> tuple[int, float]:
        """Return the index of the chosen engine and the expected wait, in seconds."""
        available = [
            index
            for index, engine in enumerate(self.engines)
            if engine.available_at <= now
        ]
        if self.policy == "random":
            return self.random.choice(available), 0.0
        costs = []
        for index in available:
            load = gateway.loads[index]
            wait = load.wait(MODEL, MODEL.slots, now, ASSUMED_SENDERS)
            is_local = index % DOMAINS == gateway.domain
            cost = placement_cost(load, wait, MODEL.slots, is_local, now, self.random)
            costs.append((cost, index, wait))
        _, index, wait = min(costs)
        return index, wait

    def schedule_pass(self, index: int) -> None:
        """Schedule the end of an engine's current pass."""
        end = self.engines[index].pass_end
        if end is None:
            return

        def action(now: float) -> None:
            self.engines[index].finish_pass(now)
            self.record_first_events(index, now)
            self.schedule_pass(index)

        self.schedule(end, action)

    def record_first_events(self, index: int, now: float) -> None:
        """Remove requests with a first event from the gateways' waiting requests.

        Also records by how much each first event came later than estimated.
        """
        engine = self.engines[index]
        waiting_ids = {str(id(request)) for request in engine.prefilling + engine.queue}
        for gateway in self.gateways:
            waiting = gateway.loads[index].pending
            for request_id in [
                request_id for request_id in waiting if request_id not in waiting_ids
            ]:
                del waiting[request_id]
        for request in engine.just_started:
            delay = now - request.dispatched_at - request.expected_delay
            self.senders[id(request)].delay.observe(delay, Seconds(now))

    def make_poll(self, index: int, poll_number: int) -> Callable[[float], None]:
        """Return the action that polls an engine and reports its load to the gateways.

        Gateways in other failure domains get every second report.
        """

        def poll(now: float) -> None:
            engine = self.engines[index]
            status = EngineStatus(
                WeightsVersion(1), False, len(engine.queue), engine.active, 0, 1
            )
            requests = len(engine.queue) + engine.active
            unread = self.estimates[index].update(MODEL, requests, Seconds(now))
            if self.policy != "count":
                status = structs.replace(status, prefill_backlog=unread)
            for gateway in self.gateways:
                if index % DOMAINS == gateway.domain or poll_number % 2 == 0:
                    gateway.loads[index].record_report(status, Seconds(now))
            self.schedule(now + POLL_SECONDS, self.make_poll(index, poll_number + 1))

        return poll


def measure(policy: str, arguments: Any, short_share: float = 0.0) -> dict[str, Any]:
    """Simulate one policy and return its results."""
    random = Random(arguments.seed)
    start_times = [
        0.0,
        0.0,
        *(1.0 + 0.4 * number for number in range(arguments.engines - 2)),
    ]
    engines = [SimulatedEngine(MODEL, available_at) for available_at in start_times]
    gateways = [
        Gateway(number % DOMAINS, [EngineLoad() for _ in engines])
        for number in range(arguments.gateways)
    ]
    simulation = Simulation(policy, engines, gateways, random, short_share=short_share)
    simulation.run(arguments.seconds, arguments.rate)
    requests = simulation.requests
    delays = [
        request.first_event - request.dispatched_at
        for request in requests
        if request.first_event is not None
    ]
    return {
        "credit": sum(map(credit, requests)) / len(requests),
        "in_time": sum(credit(request) == 1.0 for request in requests) / len(requests),
        "refused": sum(request.refusal_count > 1 for request in requests)
        / len(requests),
        "worst": lowest_credit(requests),
        "p50_seconds": quantile(delays, 0.5),
        "p90_seconds": quantile(delays, 0.9),
    }


def lowest_credit(requests: list[SimulatedRequest]) -> float:
    """Return the lowest mean credit of any group of requests.

    The groups are each class of requests, and the tenth of each class with the
    longest prompts.
    """
    means = []
    for objective in sorted({request.objective for request in requests}):
        same_class = [request for request in requests if request.objective == objective]
        longest = sorted(same_class, key=lambda request: -request.prompt_tokens)
        for group in (same_class, longest[: len(same_class) // 10]):
            means.append(sum(map(credit, group)) / max(1, len(group)))
    return min(means)


def credit(request: SimulatedRequest) -> float:
    """Return the credit of a request."""
    if request.refusal_count > 1:
        return REFUSED_AGAIN_CREDIT
    if request.first_event is None:
        return 0.0
    is_late = request.first_event - request.arrived_at > request.objective
    return LATE_CREDIT if is_late else 1.0


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    parser = ArgumentParser(prog="python -m bench placement", description=__doc__)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--rate", type=float, default=55.0, help="requests per second")
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of the traffic in virtual time",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--short-share",
        type=float,
        default=0.0,
        help="share of requests with an objective of 0.3 s",
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
