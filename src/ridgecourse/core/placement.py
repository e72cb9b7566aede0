"""Where a request would best go: what each engine costs it, in seconds.

Gateways choose by reports that are some 100 ms old, so that all see the same engine
as the best one. Two things keep them from sending all they have there: what a
gateway sent since a report counts several times, for the others will have done the
same, and of engines that cost nearly the same one is taken by chance.
"""

from random import Random

from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.ids import Seconds

REGION_PENALTY_SECONDS = 0.06
"""Wait for which a target of the own region is still preferred to one elsewhere.
Bytes between regions cost some 1.4 in 100 of a request's worth; a wait of this
length moves about as many answers past their objective."""
CROWDING_SECONDS = 0.06
"""Cost of a full batch against an empty one: steps slow down as batches fill."""
SENDERS = 4
"""Gateways that are taken to send to an engine as much as this one does since its
newest report. By ``python -m bench placement`` 4 to 6 of 6 gateways do best."""
FIRST_EVENT_SECONDS = 0.15
"""From an engine's taking up a request to its first event, beyond the reading of
prompts: the rest of the pass in progress and the steps of the next. By the same
benchmark at 65 and 80 requests a second on 6 engines, 0.73 and 0.55 of the requests
are in time with it and 0.61 and 0.44 with 0.06."""
JITTER_SECONDS = 0.06
"""Engines whose costs differ by less are taken by chance: a prompt or two, as may reach
an engine between two reports. The more gateways see the same reports, the more go for
the same engine else. On a model of 32 engines and 37 gateways 0.93 of the answers are
in time for 0.91 with 0.02, with 39 engines 0.985 for 0.976; with 6 of each the same."""


def placement_cost(
    load: EngineLoad, wait: float, slots: int, near: bool, now: Seconds, random: Random
) -> float:
    """Return what it costs a request to go to an engine, in seconds.

    Args:
        load: What is known of the engine's load.
        wait: Estimated seconds until the request would begin there.
        slots: Requests that the engine runs at once.
        near: Whether it stands in the own region.
        now: The present time.
        random: Source of the jitter.
    """
    penalty = 0.0 if near else REGION_PENALTY_SECONDS
    crowding = load.requests(now, SENDERS) / max(1, slots) * CROWDING_SECONDS
    return wait + penalty + crowding + random.random() * JITTER_SECONDS
