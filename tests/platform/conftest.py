from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import GatewaySite


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    site = GatewaySite(tmp_path)
    yield site
    site.close()
