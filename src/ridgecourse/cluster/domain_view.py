"""Puts together what a process of a failure domain reads the store's state with."""

from typing import NamedTuple

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.domain_source import DomainSource
from ridgecourse.cluster.keeper import DecisionKeeper
from ridgecourse.cluster.neighbours import Neighbours
from ridgecourse.cluster.read_pace import ReadPace
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import seed_peers
from ridgecourse.core.read_tree import choose_seed
from ridgecourse.core.site import Site
from ridgecourse.net.events import EventStream
from ridgecourse.net.record_source import RecordSource


class StoreRecords(NamedTuple):
    """The records of the platform's store, as its adapter provides them.

    Attributes:
        source: Reads them.
        decoder: Decodes them.
    """

    source: RecordSource
    decoder: RecordDecoder


def open_view(
    site: Site,
    store: StoreRecords,
    neighbours: Neighbours,
    events: EventStream,
    pace: ReadPace,
) -> ClusterView:
    """Return the view of a process that reads from others of its domain."""
    seeds = seed_peers(site.seeds, site.peer_ports[0] + 1)
    keeper = DecisionKeeper(store.source, store.decoder, events)
    seed = choose_seed(site.host, seeds)
    source = DomainSource(keeper, site.host, site.domain, seed, neighbours, events)
    bound = site.bounds.version_seconds
    return ClusterView(source, keeper, store.decoder, events, bound, pace)
