"""Slow responses of the store do not make all processes of a domain read the store.

The tests guard against a failure in which configurations of 440 KB followed each other
every 1.8 s while a third of the gateways had just been restarted. For seconds no
gateway of a region had a configuration within the allowed 3 s; some rejected clients by
a configuration that was 5 s old.

A gateway that reads for others reports when the store last confirmed its data. A
response of 440 KB took longer than the age that the other gateways allow, so each of
them read the store directly, over the same link. Each additional reader delayed all
responses further.

The events of this failure are "parent-avoided" with "heard of the store 3.38 s ago" at
all gateways of the region within half a second, then "log-lost" with timeouts of
connections to the store at most of them for 4 s.
"""

from collections.abc import Iterator
from pathlib import Path
from time import monotonic, sleep

import pytest
from gateway_site import make_config, make_large_config
from msgspec.json import encode
from test_domain_reads import (
    CONFIG_SECONDS,
    GATEWAYS,
    LOADER,
    QUIET_SECONDS,
    DomainSite,
)

from ridgecourse.core.read_tree import TREE_KEY
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.platform.names import DECISIONS_TOPIC

SINGLE_READER_SECONDS = 1.6
"""Time that the configuration takes to reach a single reader."""
MAX_READERS = 3
NARROW_LINK_SECONDS = 6.0
"""Time that the configuration takes to reach a reader whose own link is narrow."""
MAX_AVOIDED = 3
"""Number of times that a reader may count as stale in 3 quiet intervals: a busy machine
adds to the age of the reported data. With the fault it is several hundred."""
LARGE_CONFIG_SECONDS = 3.0
"""Time in which a configuration of this size must be in force."""
SLOW_ANSWER_SECONDS = 0.35
"""Response time of a slow store."""
LATE_IN_WAIT_SECONDS = 0.36
"""Time after the start of a read that waits 0.4 s for a record."""


@pytest.fixture
def domain(tmp_path: Path) -> Iterator[DomainSite]:
    site = DomainSite(tmp_path)
    yield site
    site.close()


def test_few_processes_read_store_while_its_responses_are_slow(domain) -> None:
    domain.start()
    version = domain.publish_until_single_reader() + 1
    large = make_large_config(version)
    domain.store.bytes_per_s = len(encode(large)) / SINGLE_READER_SECONDS
    started_at = monotonic()
    for number in (version, version + 1):
        domain.store.put_config({**large, "version": number})
        domain.wait_applied(number)
    seconds = monotonic() - started_at
    readers = domain.hosts_that_read(version) | domain.hosts_that_read(version + 1)
    assert len(readers) <= MAX_READERS
    assert seconds < 2 * MAX_READERS * SINGLE_READER_SECONDS


def test_narrow_link_of_reader_delays_no_other_process(domain) -> None:
    """Guard against all processes waiting for this reader's response for 6 s."""
    domain.start()
    version = domain.publish_until_single_reader() + 1
    reader = domain.hosts_that_read(version - 1).pop()
    large = make_large_config(version)
    domain.store.reader_rates[reader] = len(encode(large)) / NARROW_LINK_SECONDS
    started_at = monotonic()
    domain.store.put_config(large)
    domain.wait_applied(version, set(domain.processes) - {reader})
    assert monotonic() - started_at < LARGE_CONFIG_SECONDS


@pytest.mark.parametrize("count", [1, 3, 5])
def test_others_read_store_if_it_rejects_first_readers(domain, count) -> None:
    """Guard against a delay of 5 s at the others if the first 5 are rejected."""
    domain.start()
    version = domain.publish_until_single_reader() + 1
    rejected_hosts = rendezvous_rank(TREE_KEY, GATEWAYS)[:count]
    domain.store.refused_readers.update(rejected_hosts)
    for host in rejected_hosts:
        domain.processes[host].wait_event("log-lost")
    started_at = monotonic()
    domain.store.put_config(make_config(version))
    domain.wait_applied(version)
    assert monotonic() - started_at < CONFIG_SECONDS


def test_a_store_that_answers_late_is_read_by_one_process(domain) -> None:
    """Guard against a reader that counts as stale 65 times in 6 s without changes."""
    domain.start()
    version = domain.publish_until_single_reader() + 1
    domain.store.answer_delay_seconds = SLOW_ANSWER_SECONDS
    # Reads in progress are answered without the delay.
    domain.store.put_config(make_config(version))
    domain.wait_applied(version)
    avoided = domain.count_avoided_parents()
    for number in range(version + 1, version + 4):
        # No event marks a quiet interval, so the test waits for the time itself.
        sleep(QUIET_SECONDS)
        domain.store.put_config(make_config(number))
        domain.wait_applied(number)
        assert len(domain.hosts_that_read(number)) == 1
    assert domain.count_avoided_parents() - avoided <= MAX_AVOIDED


def wait_for_decision_read(domain: DomainSite) -> None:
    """Wait until the store has just received a read of decisions."""
    reads = domain.store.offset_reads
    read_count = len(reads)
    deadline = monotonic() + 10.0
    while not any(DECISIONS_TOPIC in read for read in reads[read_count:]):
        assert monotonic() < deadline
        sleep(0.005)


def test_record_late_in_a_wait_of_a_slow_store_leaves_the_reader_in_use(domain) -> None:
    # The record confirmed only the state at the start of the wait. The reader waited
    # once more, its data grew older than 1.4 s, and the whole domain avoided it.
    domain.start()
    version = domain.publish_until_single_reader() + 1
    domain.store.answer_delay_seconds = SLOW_ANSWER_SECONDS
    domain.store.put_config(make_config(version))
    domain.wait_applied(version)
    avoided = domain.count_avoided_parents()
    for number in range(version + 1, version + 6):
        sleep(QUIET_SECONDS)
        wait_for_decision_read(domain)
        sleep(LATE_IN_WAIT_SECONDS)
        domain.store.put_config(make_config(number))
        domain.wait_applied(number)
    sleep(QUIET_SECONDS)
    assert domain.count_avoided_parents() - avoided <= MAX_AVOIDED


def newest_readers(domain: DomainSite) -> set[str]:
    """Return the hosts that asked the store for the newest decisions."""
    reads = list(domain.store.newest_reads)
    return {host for host, topic in reads if topic == DECISIONS_TOPIC}


def test_starting_process_waits_for_response_that_its_seed_receives(domain) -> None:
    """Guard against each starting process reading the same response over one link."""
    for host in (*GATEWAYS[1:], LOADER):
        domain.change_settings(host, seed_nodes=[f"{GATEWAYS[0]}:1"])
    large = make_large_config(1)
    domain.store.bytes_per_s = len(encode(large)) / SINGLE_READER_SECONDS
    domain.store.put_config(large)
    domain.gateway.start()
    domain.wait_until(lambda: newest_readers(domain) == {GATEWAYS[0]})
    for host, process in domain.processes.items():
        if host != GATEWAYS[0]:
            process.start()
    domain.wait_applied(1)
    assert newest_readers(domain) == {GATEWAYS[0]}
