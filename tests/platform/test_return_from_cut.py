"""A domain that was cut off has the newest decisions soon after its link is back.

What happened: a failure domain of 13 gateways and 13 loaders was cut off for 5 s, in a
storm of configurations of 440 KB. Its link came back at 38.6 s; its processes had the
newest decisions between 43.0 and 44.9 s.

Why: whoever cannot read the store was passed over without limit, and after a cut that
was everybody. So each process read the store by itself as soon as the link was back,
first a configuration that had been replaced meanwhile; a read that had begun was given
up and begun anew once the outage of the other topic ended.

What settled it: in this test the store was asked for 24 copies of 390 KB within 0.9 s
of the end of the cut, by 13 gateways and two loaders, 26 answers at once; the last
process had the newest configuration after 7.8 to 9.1 s. The domain received up to 2.7
MB a second, all that its link carries, for 7 s. With three or four copies it takes 1.3
to 2.2 s (three runs).
"""

from collections.abc import Iterator
from pathlib import Path
from time import sleep, time

import pytest
from test_storm_lag import StormSite

from ridgecourse_standins.platform.store import StoreMode

CUT_AFTER_SECONDS = 1.0
CUT_SECONDS = 5.0
RETURN_SECONDS = 3.0
"""After a cut, from which on processes are bound to decisions again, where that is
shortest."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[StormSite]:
    site = StormSite(tmp_path)
    yield site
    site.ended.set()
    site.close()


def test_a_domain_is_up_to_date_soon_after_a_cut(site) -> None:
    storm = site.begin_storm()
    sleep(CUT_AFTER_SECONDS)
    site.store.set_mode(StoreMode.SILENT)
    sleep(CUT_SECONDS)
    cut_end = time()
    newest = site.version
    site.store.set_mode(StoreMode.UP)
    storm.join()
    site.wait_folded(site.version)
    late = sorted(site.folded_after(newest, cut_end), reverse=True)
    assert late[0][0] < RETURN_SECONDS, late[:10]
