"""Routing: choose the target of a request.

Domains that are near are preferred. Within a domain, the target with the lower
estimated cost of two random ones is chosen. Requests with a common prefix go to
the same targets while the load of these is bounded, and targets that fail
repeatedly are ejected for some time.
"""

from collections.abc import Iterable, Mapping, Sequence
from random import Random

from msgspec import Struct

from ridgecourse.core.ids import DomainName, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

REPORT_HALF_LIFE = 1.0
"""Seconds after which the load that a target reported counts half."""
REQUEST_WEIGHT = 0.2
"""Weight of a sample in the smoothed latency if the sample is a whole request."""
TOKEN_WEIGHT = 0.02
"""Weight of a sample that is the time between two tokens."""
AFFINITY_LOAD_FACTOR = 1.25
"""A request goes to the preferred target of its prefix while the cost of this target is
at most this multiple of the mean cost."""
EJECT_FAILURES = 3
FIRST_EJECTION = 1.0
LONGEST_EJECTION = 30.0
MAX_EJECTED_SHARE = 0.5
"""Largest share of a domain's targets that may be ejected at the same time."""
UNKNOWN_LATENCY = 0.0001
"""Initial latency in seconds. A low value makes a target without samples attractive,
so that requests are sent to it and its latency is measured."""
LATENCY_DECAY_SECONDS = 10.0
"""Age up to which a latency counts in full. After each further period of this length
it counts half as much, so that a target that was slow once is tried again."""


class TargetLoad(Struct):
    """The load and health of a target as one entry knows them.

    Attributes:
        target: Name of the target.
        domain: Failure domain of the target.
        outstanding: Requests of this entry in progress at the target.
        reported: Requests of all entries at the target, by the last report of
            its agent.
        outstanding_at_report: Requests of this entry at the target when the report
            arrived.
        reported_at: Time at which the report arrived.
        latency: Smoothed seconds per unit of work.
        observed_at: Time of the last latency sample.
        slots: Number of requests that the target runs at once.
        failures: Number of consecutive failures.
        ejections: Number of ejections since the last success.
        ejected_until: Time at which the target may be chosen again.
    """

    target: TargetName
    domain: DomainName
    outstanding: int = 0
    reported: int = 0
    outstanding_at_report: int = 0
    reported_at: Seconds = Seconds(0.0)
    latency: float = UNKNOWN_LATENCY
    observed_at: Seconds = Seconds(0.0)
    slots: int = 8
    failures: int = 0
    ejections: int = 0
    ejected_until: Seconds = Seconds(0.0)

    def load(self, now: Seconds) -> float:
        """Return the estimated number of requests at the target.

        The count of this entry's requests is exact. The requests of other entries
        are known from a report, whose weight decays with its age.
        """
        others = max(0, self.reported - self.outstanding_at_report)
        age = max(0.0, now - self.reported_at)
        return self.outstanding + others * 0.5 ** (age / REPORT_HALF_LIFE)

    def cost(self, now: Seconds) -> float:
        """Return the estimated duration of one more request, in seconds."""
        load = self.load(now)
        batches = max(1.0, (load + 1) / self.slots)
        # The load adds to the cost below saturation too: a fuller batch is slower.
        age = max(0.0, now - self.observed_at - LATENCY_DECAY_SECONDS)
        latency = self.latency * 0.5 ** (age / LATENCY_DECAY_SECONDS)
        return latency * (batches + 0.1 * load / self.slots)

    def is_ejected(self, now: Seconds) -> bool:
        """Check whether the target is ejected because of failures."""
        return now < self.ejected_until

    def record_report(self, in_flight: int, now: Seconds) -> None:
        """Record the agent's count of requests, waiting requests included."""
        self.reported = in_flight
        self.outstanding_at_report = self.outstanding
        self.reported_at = now

    def record_success(self) -> None:
        """Record a completed request."""
        self.failures = 0
        self.ejections = 0

    def record_latency(self, seconds: float, now: Seconds, weight: float) -> None:
        """Record the duration of one unit of work.

        Args:
            seconds: Duration of a whole request, or the time between two tokens of
                an answer in progress. The second shows a slow target within a few
                tokens, long before a request ends.
            now: Current time.
            weight: Weight of this sample, REQUEST_WEIGHT or TOKEN_WEIGHT.
        """
        first = self.latency == UNKNOWN_LATENCY
        self.latency += (1.0 if first else weight) * (seconds - self.latency)
        self.observed_at = now

    def record_failure(self, now: Seconds) -> None:
        """Record a failure caused by the target."""
        self.failures += 1
        if self.failures >= EJECT_FAILURES:
            ejection_seconds = min(LONGEST_EJECTION, FIRST_EJECTION * 2**self.ejections)
            self.ejections += 1
            self.failures = 0
            self.ejected_until = Seconds(now + ejection_seconds)


class Router:
    """Chooses targets for one entry.

    Attributes:
        domain: Failure domain of the entry.
        random: Random number generator for the choices.
    """

    def __init__(self, domain: DomainName, random: Random) -> None:
        self.domain = domain
        self.random = random

    def choose(
        self,
        candidates: Iterable[TargetLoad],
        traffic: Mapping[DomainName, int],
        prefix: str,
        now: Seconds,
    ) -> TargetLoad | None:
        """Return the target for a request, or None if there is none.

        Args:
            candidates: Targets that may serve the request: ready and not leaving.
            traffic: Relative share of each domain; if empty, the nearest domain is
                preferred.
            prefix: Key shared by requests with a common beginning; empty for no
                affinity.
            now: Current time.
        """
        by_domain: dict[DomainName, list[TargetLoad]] = {}
        for candidate in candidates:
            by_domain.setdefault(candidate.domain, []).append(candidate)
        healthy = {
            domain: without_ejected(loads, now) for domain, loads in by_domain.items()
        }
        healthy = {domain: loads for domain, loads in healthy.items() if loads}
        if not healthy:
            return None
        domain = self.choose_domain(healthy, traffic, now)
        return self.choose_within(healthy[domain], prefix, now)

    def choose_domain(
        self,
        healthy: Mapping[DomainName, Sequence[TargetLoad]],
        traffic: Mapping[DomainName, int],
        now: Seconds,
    ) -> DomainName:
        """Return the domain for a request.

        Configured traffic shares decide if there are any. Otherwise the entry's own
        domain is chosen, or the least full domain if all targets of the entry's domain
        are saturated.
        """
        shares = {
            domain: traffic.get(domain, 0)
            for domain in healthy
            if traffic.get(domain, 0) > 0
        }
        if shares:
            domains = sorted(shares)
            weights = [shares[domain] for domain in domains]
            return self.random.choices(domains, weights)[0]
        own_loads = healthy.get(self.domain)
        if own_loads is not None and not all(
            is_saturated(load, now) for load in own_loads
        ):
            return self.domain
        occupancy = {
            domain: mean_occupancy(loads, now) + (domain != self.domain)
            for domain, loads in healthy.items()
        }
        return min(occupancy, key=lambda domain: (occupancy[domain], domain))

    def choose_within(
        self, loads: Sequence[TargetLoad], prefix: str, now: Seconds
    ) -> TargetLoad:
        """Return the target for a request within one domain."""
        if prefix:
            preferred = self.find_affine_target(loads, prefix, now)
            if preferred is not None:
                return preferred
        if len(loads) == 1:
            return loads[0]
        first, second = self.random.sample(loads, 2)
        return first if first.cost(now) <= second.cost(now) else second

    def find_affine_target(
        self, loads: Sequence[TargetLoad], prefix: str, now: Seconds
    ) -> TargetLoad | None:
        """Return a preferred target of a prefix whose cost is bounded, or None.

        The first 2 targets in the prefix's rendezvous order are considered.
        """
        by_name = {str(load.target): load for load in loads}
        mean_cost = sum(load.cost(now) for load in loads) / len(loads)
        cost_limit = AFFINITY_LOAD_FACTOR * mean_cost
        for name in rendezvous_rank(prefix, by_name)[:2]:
            if by_name[name].cost(now) <= cost_limit:
                return by_name[name]
        return None


def without_ejected(loads: Sequence[TargetLoad], now: Seconds) -> list[TargetLoad]:
    """Return the targets that are not ejected, but at least half of all targets."""
    usable = [load for load in loads if not load.is_ejected(now)]
    if len(usable) >= len(loads) * (1 - MAX_EJECTED_SHARE):
        return usable
    return sorted(loads, key=lambda load: load.ejected_until)[: -(-len(loads) // 2)]


def is_saturated(load: TargetLoad, now: Seconds) -> bool:
    """Check whether a request would have to wait for a slot at the target."""
    return load.load(now) >= 2 * load.slots


def mean_occupancy(loads: Sequence[TargetLoad], now: Seconds) -> float:
    """Return the mean load of the targets as a share of their slots."""
    return sum(load.load(now) / load.slots for load in loads) / len(loads)
