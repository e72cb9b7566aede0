"""How often a loader tells its engine's load to the gateways that watch it.

Load pattern: each gateway chooses among engines by their newest reports, and at full
load a report that is 0.1 s older sends too many requests to the same engine. Every
gateway watches every engine, so reports grow with the product of both numbers; over
the link between two regions they compete with requests, configurations and weights.
So gateways of the engine's region, which send it most of its requests, are told as
often as it is looked at. All others share a fixed number of reports a second. A look
that finds what gateways reckon with anyway is not told.
"""

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import Seconds

NEAR_INTERVAL_SECONDS = 0.05
"""Between two reports within a region: as often as a crowded engine is looked at."""
FAR_INTERVAL_SECONDS = 0.1
"""Shortest time between two reports to a gateway elsewhere, where bytes are dear."""
FAR_REPORTS_PER_S = 60.0
"""Reports that one engine sends to other regions in a second, all gateways there
together: 6 of them are told each 0.1 s. At 180 bytes with headers, 40 engines put
1.1 Mbit/s on each of six links between three regions."""

NEAR_HEARTBEAT_SECONDS = 1.0
"""Between two messages on the connection to a gateway of the region, which show that
both sides live; the load itself goes in datagrams."""
FAR_HEARTBEAT_SECONDS = 4.0
"""The same to gateways elsewhere. They lose little by a loader that has gone unseen for
longer, for the list of targets tells of its engine. A message on a connection costs
several times what a datagram does, and 98 gateways and 142 loaders passed 11,000 of
them a second over the links between five regions, with one a second."""
MISSED_HEARTBEATS = 2.5
"""Heartbeats after which a loader that tells nothing has gone, or its link has."""
UNREAD_MARGIN_SECONDS = 0.01
"""Difference in the time for which an engine still reads prompts that is worth no
report: less than the jitter by which engines are chosen."""


def tells_more(
    told: EngineStatus | None, told_at: Seconds, status: EngineStatus, now: Seconds
) -> bool:
    """Tell whether a load differs from what gateways reckon by an earlier report.

    They count down the time for which prompts are read, and have no use for the memory
    that is taken: it grows with every token.

    Args:
        told: The earlier load; None for none.
        told_at: When it was told.
        status: The load now.
        now: The present time.
    """
    if told is None:
        return True
    reckoned = max(0.0, told.unread - (now - told_at))
    if abs(status.unread - reckoned) > UNREAD_MARGIN_SECONDS:
        return True
    return _counted(told) != _counted(status)


def _counted(status: EngineStatus) -> tuple[object, ...]:
    """Return what gateways use of a load as it stands."""
    return (
        status.version,
        status.busy,
        status.queued,
        status.active,
        status.pace,
        status.link,
        status.started,
    )


def heartbeat_interval(near: bool) -> float:
    """Return the time between two heartbeats on a connection, in seconds."""
    return NEAR_HEARTBEAT_SECONDS if near else FAR_HEARTBEAT_SECONDS


def silence_limit(near: bool) -> float:
    """Return for how long a connection may be silent, in seconds."""
    return heartbeat_interval(near) * MISSED_HEARTBEATS


def report_interval(near: bool, far_watchers: int) -> float:
    """Return the shortest time between two reports to one gateway, in seconds.

    Args:
        near: Whether the gateway stands in the engine's region.
        far_watchers: Gateways elsewhere that watch the engine.
    """
    if near:
        return NEAR_INTERVAL_SECONDS
    return max(FAR_INTERVAL_SECONDS, far_watchers / FAR_REPORTS_PER_S)
