"""What lay staged was read back over and over while a version waited for its turn.

Half of a domain's engines take new weights as late as they may. Their loaders had the
version staged for seconds by then and read all of it back at each look, twice a second
and at each change besides: 96 chunks at 1.5 ms each are 0.3 of a processor, by
arithmetic, on all loaders of that half at once.

What settled it: 96 reads of a staging area of twelve chunks for one version, 60 of
them in a wait of 3 s, with `rollout-phase` going from `staging` to `manifest` and back
at each look; and `version-started` 1.2 s after the turn, two readings later.
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
"""From a version's name until it is required: 3 s more than until it is staged here."""
KEY = f"{(MODEL, 2)}/start"
HOST = "127.0.0.1"
READINGS = 3
"""Of the staging area: for chunks that lie there, once staged, and before the start."""


def host_that_goes_first() -> str:
    """Return the host of an engine of the half that takes version 2 before ours."""
    others = (f"127.0.1.{number}" for number in count(1))
    return next(
        host for host in others if rendezvous_rank(KEY, [HOST, host])[1] == HOST
    )


class LateSite(LoaderSite):
    """A loader whose engine is of the half that takes new weights late."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        path = directory / "node.json"
        settings = decode(path.read_bytes())
        settings["bounds"]["version_ms"] = REQUIRED_MS
        path.write_bytes(encode(settings))

    def list_other(self) -> None:
        address = f"{host_that_goes_first()}:1"
        self.store.put_target("i-9", make_engine_entry(address, "a"))

    def readings(self) -> int:
        """Return how many chunks of the staging area have been read so far."""
        return sum(path.startswith(STAGE_GET_PATH) for _, path in self.engine.calls)


@pytest.fixture
def late_site(tmp_path: Path) -> Iterator[LateSite]:
    site = LateSite(tmp_path)
    yield site
    site.close()


def test_what_is_staged_is_not_read_again_while_it_waits(late_site) -> None:
    late_site.list_engine()
    late_site.list_other()
    late_site.start()
    late_site.wait_serving(1)
    before = late_site.readings()
    late_site.store.put_version(MODEL, 2)
    late_site.wait_serving(2)
    assert late_site.readings() - before <= READINGS * CHUNKS


def test_what_turns_bad_while_it_waits_is_repaired_before_the_start(late_site) -> None:
    late_site.list_engine()
    late_site.list_other()
    late_site.start()
    late_site.wait_serving(1)
    late_site.store.put_version(MODEL, 2)
    engine = late_site.engine
    chunks = late_site.origin.versions[2]
    engine.wait_until(lambda: [engine.staged.get(n) for n in range(CHUNKS)] == chunks)
    with engine.changed:
        engine.staged[4] = b""
    late_site.wait_serving(2)
