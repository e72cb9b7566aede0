"""Routing: which target gets a request.

Near domains first, two random choices over estimated waiting time, prefix
affinity with bounded load, ejection of targets that fail.
"""

from collections.abc import Iterable, Mapping, Sequence
from random import Random

from msgspec import Struct

from ridgecourse.core.ids import DomainName, Seconds, TargetName
from ridgecourse.core.rendezvous import rendezvous_rank

REPORT_HALF_LIFE = 1.0
"""Seconds after which a target's own load report counts half."""
REQUEST_WEIGHT = 0.2
"""Share of the newest sample in the smoothed time per request."""
TOKEN_WEIGHT = 0.02
"""The same for the time between two tokens."""
AFFINITY_LOAD_FACTOR = 1.25
"""A prefix keeps its target while its load is below this times the mean."""
EJECT_FAILURES = 3
FIRST_EJECTION = 1.0
LONGEST_EJECTION = 30.0
MAX_EJECTED_SHARE = 0.5
"""At most this share of a domain's targets is ejected at a time."""
UNKNOWN_LATENCY = 0.0001
"""A target not yet observed looks fast, so that it is tried and observed."""
FORGET_SECONDS = 10.0
"""A latency not confirmed for this long counts half, after twice as long a
quarter, so that a target that was slow once is tried again."""


class TargetLoad(Struct):
    """What an entry knows of a target's load and health.

    Attributes:
        target: The target.
        domain: Its failure domain.
        outstanding: Requests of this entry in progress there.
        reported: Requests of all entries there, by its agent's last report.
        outstanding_at_report: This entry's own share in that report.
        reported_at: When the report came.
        latency: Smoothed seconds per unit of work.
        observed_at: When the latency was last taken in.
        slots: Requests that the target runs at once.
        failures: Failures in a row.
        ejected_until: When it may be chosen again.
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
        """Return the estimated requests at the target.

        The own count is exact. What others have there is known from a report,
        which counts less the older it is.
        """
        others = max(0, self.reported - self.outstanding_at_report)
        age = max(0.0, now - self.reported_at)
        return self.outstanding + others * 0.5 ** (age / REPORT_HALF_LIFE)

    def cost(self, now: Seconds) -> float:
        """Return the estimated seconds that one more request would take."""
        load = self.load(now)
        waves = max(1.0, (load + 1) / self.slots)
        # A little of the load even below saturation: batches slow down.
        age = max(0.0, now - self.observed_at - FORGET_SECONDS)
        latency = self.latency * 0.5 ** (age / FORGET_SECONDS)
        return latency * (waves + 0.1 * load / self.slots)

    def ejected(self, now: Seconds) -> bool:
        """Tell whether the target is left alone after failures."""
        return now < self.ejected_until

    def report(self, in_flight: int, now: Seconds) -> None:
        """Take in the agent's count of requests, waiting ones included."""
        self.reported = in_flight
        self.outstanding_at_report = self.outstanding
        self.reported_at = now

    def succeeded(self) -> None:
        """Take in a completed request."""
        self.failures = 0
        self.ejections = 0

    def observe(self, seconds: float, now: Seconds, weight: float) -> None:
        """Take in the time of one unit of work.

        Args:
            seconds: Of a whole request, or between two tokens of an answer in
                progress: a slow target shows within a few tokens, long before
                a request ends.
            now: The present time.
            weight: Share of this sample, REQUEST_WEIGHT or TOKEN_WEIGHT.
        """
        first = self.latency == UNKNOWN_LATENCY
        self.latency += (1.0 if first else weight) * (seconds - self.latency)
        self.observed_at = now

    def failed(self, now: Seconds) -> None:
        """Take in a failure that the target is to blame for."""
        self.failures += 1
        if self.failures >= EJECT_FAILURES:
            span = min(LONGEST_EJECTION, FIRST_EJECTION * 2**self.ejections)
            self.ejections += 1
            self.failures = 0
            self.ejected_until = Seconds(now + span)


class Router:
    """Chooses targets for one entry.

    Attributes:
        domain: The entry's own failure domain.
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
        """Return the target for a request, or None where there is none.

        Args:
            candidates: Targets that may serve it: ready and not leaving.
            traffic: Relative share of each domain; empty means nearest first.
            prefix: What requests with a common beginning have in common; empty
                for none.
            now: The present time.
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
        """Return the domain for a request."""
        shares = {d: traffic.get(d, 0) for d in healthy if traffic.get(d, 0) > 0}
        if shares:
            domains = sorted(shares)
            weights = [shares[domain] for domain in domains]
            return self.random.choices(domains, weights)[0]
        own = healthy.get(self.domain)
        if own is not None and not all(is_saturated(load, now) for load in own):
            return self.domain
        fullness = {
            domain: mean_fullness(loads, now) + (domain != self.domain)
            for domain, loads in healthy.items()
        }
        return min(fullness, key=lambda domain: (fullness[domain], domain))

    def choose_within(
        self, loads: Sequence[TargetLoad], prefix: str, now: Seconds
    ) -> TargetLoad:
        """Return the target within one domain."""
        if prefix:
            preferred = self.affine(loads, prefix, now)
            if preferred is not None:
                return preferred
        if len(loads) == 1:
            return loads[0]
        first, second = self.random.sample(loads, 2)
        return first if first.cost(now) <= second.cost(now) else second

    def affine(
        self, loads: Sequence[TargetLoad], prefix: str, now: Seconds
    ) -> TargetLoad | None:
        """Return the first target in the prefix's order that is not too loaded."""
        by_name = {str(load.target): load for load in loads}
        mean_cost = sum(load.cost(now) for load in loads) / len(loads)
        bound = AFFINITY_LOAD_FACTOR * mean_cost
        for name in rendezvous_rank(prefix, by_name)[:2]:
            if by_name[name].cost(now) <= bound:
                return by_name[name]
        return None


def without_ejected(loads: Sequence[TargetLoad], now: Seconds) -> list[TargetLoad]:
    """Return the targets not ejected, but never less than half of them."""
    usable = [load for load in loads if not load.ejected(now)]
    if len(usable) >= len(loads) * (1 - MAX_EJECTED_SHARE):
        return usable
    return sorted(loads, key=lambda load: load.ejected_until)[: -(-len(loads) // 2)]


def is_saturated(load: TargetLoad, now: Seconds) -> bool:
    """Tell whether a request would have to wait for a slot there."""
    return load.load(now) >= 2 * load.slots


def mean_fullness(loads: Sequence[TargetLoad], now: Seconds) -> float:
    """Return the mean load over slots."""
    return sum(load.load(now) / load.slots for load in loads) / len(loads)
