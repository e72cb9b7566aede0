"""A staged version is not read back repeatedly while it waits for its turn.

Half of the engines of a domain switch to new weights as late as allowed. Their loaders
have the version staged for seconds by then. The tests guard against a failure in which
they read all of it back at each poll, 2 times a second and at each change besides: 96
chunks at 1.5 ms each are 0.3 of a processor, by arithmetic, on all loaders of this half
at once.

With this fault, a staging area of 12 chunks was read 96 times for one version, 60 of
them in a wait of 3 s, with `rollout-phase` alternating between `staging` and `manifest`
at each poll; and `version-started` came 1.2 s after the turn, 2 reads later.
"""

from collections.abc import Iterator
from itertools import count
from pathlib import Path

import pytest
from gateway_site import MODEL, make_engine_entry
from msgspec.json import decode, encode
from test_loader import CHUNKS, LoaderSite

from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.platform.names import STAGE_GET_PATH

REQUIRED_MS = 14_000
"""Time from the naming of a version until it is required: 3 s more than until the
local loader has staged it."""
KEY = f"{(MODEL, 2)}/start"
HOST = "127.0.0.1"
MAX_STAGING_READS = 3
"""Reads of the staging area: for chunks that are already there, after staging, and
before the start."""


def early_switch_host() -> str:
    """Return the host of an engine that switches to version 2 before the tested one."""
    others = (f"127.0.1.{number}" for number in count(1))
    return next(
        host for host in others if rendezvous_rank(KEY, [HOST, host])[1] == HOST
    )


class LateSwitchSite(LoaderSite):
    """A loader whose engine is in the half that switches to new weights late."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        path = directory / "node.json"
        settings = decode(path.read_bytes())
        settings["bounds"]["version_ms"] = REQUIRED_MS
        path.write_bytes(encode(settings))

    def list_early_engine(self) -> None:
        address = f"{early_switch_host()}:1"
        self.store.put_target("i-9", make_engine_entry(address, "a"))

    def staging_reads(self) -> int:
        """Return the number of chunks read from the staging area so far."""
        return sum(path.startswith(STAGE_GET_PATH) for _, path in self.engine.calls)


@pytest.fixture
def late_switch_site(tmp_path: Path) -> Iterator[LateSwitchSite]:
    site = LateSwitchSite(tmp_path)
    yield site
    site.close()


def test_staged_version_is_not_read_again_while_it_waits(late_switch_site) -> None:
    late_switch_site.register_engine()
    late_switch_site.list_early_engine()
    late_switch_site.start()
    late_switch_site.wait_serving(1)
    reads_before = late_switch_site.staging_reads()
    late_switch_site.store.put_version(MODEL, 2)
    late_switch_site.wait_serving(2)
    assert late_switch_site.staging_reads() - reads_before <= MAX_STAGING_READS * CHUNKS


def test_staged_chunk_corrupted_while_waiting_is_repaired_before_start(
    late_switch_site,
) -> None:
    late_switch_site.register_engine()
    late_switch_site.list_early_engine()
    late_switch_site.start()
    late_switch_site.wait_serving(1)
    late_switch_site.store.put_version(MODEL, 2)
    engine = late_switch_site.engine
    chunks = late_switch_site.origin.versions[2]
    engine.wait_until(lambda: [engine.staged.get(n) for n in range(CHUNKS)] == chunks)
    with engine.changed:
        engine.staged[4] = b""
    late_switch_site.wait_serving(2)


def test_chunk_whose_repair_was_lost_is_repaired_before_start(late_switch_site) -> None:
    # Guards against a start with a chunk whose write is answered but was not carried
    # out, as when the answer is a late one to an earlier write.
    late_switch_site.register_engine()
    late_switch_site.list_early_engine()
    late_switch_site.start()
    late_switch_site.wait_serving(1)
    late_switch_site.store.put_version(MODEL, 2)
    engine = late_switch_site.engine
    chunks = late_switch_site.origin.versions[2]
    engine.wait_until(lambda: [engine.staged.get(n) for n in range(CHUNKS)] == chunks)
    lost_repairs = []

    def lose_repair(staged: dict[int, bytes]) -> None:
        if not lost_repairs:
            lost_repairs.append(staged[4])
            staged[4] = b""

    with engine.changed:
        engine.staged[4] = b""
        engine.corrupt_staged = lose_repair
    late_switch_site.wait_serving(2)
    assert lost_repairs == [chunks[4]]
    assert [engine.staged_at_start[2][n] for n in range(CHUNKS)] == chunks
