"""Limits of a gateway's weight transfers: memory, rate, concurrency and back-off."""

from ridgecourse.core.fetch_types import Member, PlanPolicy
from ridgecourse.core.ids import TargetName
from ridgecourse.core.site import Site
from ridgecourse.exchange.context import (
    ExchangeContext,
    LinkPolicy,
    sha256_digest,
)
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.net.events import EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.throttle import AdaptiveRate

STORE_BYTES = 64 * 1024 * 1024
"""Memory for chunks: enough for some versions of a few MB."""
REGION_BYTES_PER_S = 1_000_000.0
"""Initial rate of fetches from hubs in other regions: two fifths of the 20 Mbit/s
between two regions, which requests share."""
UPLOAD_SLOTS = 64
"""Concurrent chunk uploads; each loader of the failure domain requests several
chunks."""
ORIGIN_FETCHES = 3
"""Concurrent chunk fetches from the origin: enough to saturate its link, but few, since
chunks in transfer are lost when the origin becomes unreachable."""
FIRST_BACK_OFF_SECONDS = 0.1
MAX_BACK_OFF_SECONDS = 0.25
"""Longest back-off after failures of the origin or another hub. Few processes retry,
and each second without the weights after their bound is a second without service."""


def make_hub_context(
    site: Site, events: EventStream, http: HttpClient
) -> ExchangeContext:
    """Return the resources and limits that a gateway's transfers share.

    Args:
        site: The settings in force.
        events: Receives events and metrics.
        http: Client for all chunk requests.
    """
    return ExchangeContext(
        local=Member(TargetName(site.host), site.domain),
        events=events,
        metrics=Metrics(site.process, None),
        http=http,
        store=ChunkStore(STORE_BYTES),
        link=LinkPolicy(
            upload_slots=UPLOAD_SLOTS,
            upload_queue=UPLOAD_SLOTS,
            uploads_per_chunk=1_000_000,
        ),
        plan=PlanPolicy(
            fetches=4,
            origin_fetches=ORIGIN_FETCHES,
            back_off_seconds=FIRST_BACK_OFF_SECONDS,
            max_back_off_seconds=MAX_BACK_OFF_SECONDS,
        ),
        rate=AdaptiveRate(REGION_BYTES_PER_S),
        source=site.host,
        digest=sha256_digest,
        region=site.region,
    )
