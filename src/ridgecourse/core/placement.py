"""Placement of requests: the estimated cost of sending a request to an engine.

Gateways choose by load reports that are some 100 ms old, so all gateways see the same
engine as the best one. Two rules keep them from all sending to that engine. Requests
that a gateway has sent since the newest report count several times, because the other
gateways are expected to have sent as many. And a random jitter is added to each cost,
so that the choice among engines of nearly the same cost is random.
"""

from random import Random

from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.ids import Seconds

REGION_PENALTY_SECONDS = 0.06
"""Extra cost of a target in another region: a target in the gateway's own region is
preferred up to this much additional wait. Traffic between regions costs about 1.4 in
100 of the value of a request; a wait of this length makes about as many answers miss
their objective."""
OCCUPANCY_COST_SECONDS = 0.06
"""Extra cost of a full batch compared with an empty one: decoding steps take longer as
the batch fills."""
ASSUMED_SENDERS = 4
"""Number of gateways, this one included, that are assumed to have sent as many requests
to an engine since its newest report as this gateway has. In ``python -m bench
placement``, 4 to 6 of 6 gateways give the best results."""
FIRST_EVENT_SECONDS = 0.15
"""Time from the start of a request at an engine to its first event, without prefill:
the rest of the pass in progress and the steps of the next pass. In the same benchmark
at 65 and 80 requests per second on 6 engines, 0.73 and 0.55 of the requests are
answered in time with this value, and 0.61 and 0.44 with 0.06."""
JITTER_SECONDS = 0.06
"""Upper bound of the random jitter in a cost: the prefill time of 1 or 2 prompts, as
many as may reach an engine between two reports. Without jitter, the more gateways see
the same reports, the more of them choose the same engine. In a model of 32 engines and
37 gateways 0.93 of the answers are in time, and 0.91 with a jitter of 0.02; with 39
engines 0.985 and 0.976; with 6 of each there is no difference."""


def placement_cost(
    load: EngineLoad, wait: float, slots: int, near: bool, now: Seconds, random: Random
) -> float:
    """Return the cost of sending a request to an engine, in seconds.

    Args:
        load: Known load of the engine.
        wait: Estimated seconds until the request starts there.
        slots: Number of requests that the engine runs at once.
        near: Whether the engine is in the gateway's own region.
        now: Current time.
        random: Random number generator for the jitter.
    """
    penalty = 0.0 if near else REGION_PENALTY_SECONDS
    occupancy_cost = (
        load.requests(now, ASSUMED_SENDERS) / max(1, slots) * OCCUPANCY_COST_SECONDS
    )
    return wait + penalty + occupancy_cost + random.random() * JITTER_SECONDS
