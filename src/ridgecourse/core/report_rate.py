"""Rate at which a loader reports its engine's load to the gateways that watch it.

Each gateway chooses among engines by their newest reports. At full load, reports that
are 0.1 s older make gateways send too many requests to the same engine. Every gateway
watches every engine, so the number of reports grows with the product of both numbers,
and over the link between two regions reports compete with requests, configurations and
weights. So gateways in the engine's region, which send most of its requests, get a
report after every poll of the engine. All other gateways share a fixed number of
reports per second. A poll whose result gateways already expect is not reported.
"""

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import Seconds

NEAR_INTERVAL_SECONDS = 0.05
"""Time between two reports within a region: the interval at which a loaded engine is
polled."""
FAR_INTERVAL_SECONDS = 0.1
"""Shortest time between two reports to a gateway in another region, where bandwidth is
expensive."""
FAR_REPORTS_PER_S = 60.0
"""Reports per second about one engine to all gateways in other regions together: 6
gateways get a report every 0.1 s. At 180 bytes with headers, 40 engines cause 1.1
Mbit/s on each of 6 links between 3 regions."""

NEAR_HEARTBEAT_SECONDS = 1.0
"""Time between two heartbeats on the connection to a gateway in the same region. A
heartbeat shows that both sides are alive; the load itself is sent in datagrams."""
FAR_HEARTBEAT_SECONDS = 4.0
"""Time between two heartbeats on the connection to a gateway in another region. Such a
gateway may detect the end of a loader later, because the list of targets shows the end
of the loader's engine. A message on a connection costs several times as much as a
datagram. With 1 heartbeat per second, 98 gateways and 142 loaders sent 11,000 messages
per second over the links between 5 regions."""
MISSED_HEARTBEATS = 2.5
"""Number of heartbeat intervals without a message after which a loader or its link
counts as lost."""
PREFILL_MARGIN_SECONDS = 0.01
"""Largest difference in the remaining prefill time that causes no report; smaller than
the jitter in the choice of engines."""


def differs_from_reported(
    reported: EngineStatus | None,
    reported_at: Seconds,
    status: EngineStatus,
    now: Seconds,
) -> bool:
    """Check whether a load differs from what gateways expect after the last report.

    Gateways count down the remaining prefill time. They do not use the occupied cache
    memory, which grows with every token.

    Args:
        reported: Load in the last report; None if there was no report.
        reported_at: Time of the last report.
        status: Load of the engine now.
        now: Current time.
    """
    if reported is None:
        return True
    expected = max(0.0, reported.prefill_backlog - (now - reported_at))
    if abs(status.prefill_backlog - expected) > PREFILL_MARGIN_SECONDS:
        return True
    return _unchanged_values(reported) != _unchanged_values(status)


def _unchanged_values(status: EngineStatus) -> tuple[object, ...]:
    """Return the values of a load that gateways use unchanged."""
    return (
        status.version,
        status.busy,
        status.queued,
        status.active,
        status.slowdown,
        status.link_share,
        status.started,
        status.leaving,
        status.cold is not None and status.cold.remaining > 0.0,
    )


def heartbeat_interval(near: bool) -> float:
    """Return the time between two heartbeats on a connection, in seconds.

    Args:
        near: Whether the gateway is in the engine's region.
    """
    return NEAR_HEARTBEAT_SECONDS if near else FAR_HEARTBEAT_SECONDS


def silence_limit(near: bool) -> float:
    """Return the longest time without a message on a connection, in seconds.

    Args:
        near: Whether the gateway is in the engine's region.
    """
    return heartbeat_interval(near) * MISSED_HEARTBEATS


def report_interval(near: bool, far_watchers: int) -> float:
    """Return the shortest time between two reports to one gateway, in seconds.

    Args:
        near: Whether the gateway is in the engine's region.
        far_watchers: Number of gateways in other regions that watch the engine.
    """
    if near:
        return NEAR_INTERVAL_SECONDS
    return max(FAR_INTERVAL_SECONDS, far_watchers / FAR_REPORTS_PER_S)
