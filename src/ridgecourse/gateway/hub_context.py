"""A gateway's part in the exchange of weights: its memory, links and retries."""

from ridgecourse.core.fetches import Member, PlanPolicy
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
"""Memory for chunks: some versions of a few MB."""
REGION_BYTES_PER_S = 1_000_000.0
"""Asked of hubs elsewhere: two fifths of the 20 Mbit/s between two regions, which
requests share."""
UPLOAD_SLOTS = 64
"""Chunks sent at a time: each loader of the domain asks for some."""
ORIGIN_FETCHES = 3
"""Chunks drawn from the origin at a time: enough to keep its link busy, and few, for
what is under way is lost when the origin goes away."""
FIRST_BACK_OFF_SECONDS = 0.1
LONGEST_BACK_OFF_SECONDS = 0.25
"""After failures of the origin or another hub. Few ask, and each second without the
weights after their bound is one without service."""


def make_hub_context(
    site: Site, events: EventStream, http: HttpClient
) -> ExchangeContext:
    """Return what a gateway's transfers share.

    Args:
        site: The settings in force.
        events: Takes events and figures.
        http: Client for all chunks.
    """
    return ExchangeContext(
        me=Member(TargetName(site.host), site.domain),
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
            max_back_off_seconds=LONGEST_BACK_OFF_SECONDS,
        ),
        rate=AdaptiveRate(REGION_BYTES_PER_S),
        source=site.host,
        digest=sha256_digest,
        region=site.region,
    )
