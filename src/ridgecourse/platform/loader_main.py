"""Entry point of a loader on the platform: reads the settings file and runs."""

import ridgecourse.net.import_pause  # noqa: F401, I001
import ridgecourse.net.patch  # noqa: F401

import sys

from ridgecourse.core.site import Site
from ridgecourse.loader.loader import Loader
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.import_pause import end_import_pause
from ridgecourse.platform.engine import PlatformEngine
from ridgecourse.platform.origin import PlatformOrigin
from ridgecourse.platform.process import run_on_platform
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse.platform.store import PlatformStore

end_import_pause()


def make_loader(site: Site) -> Loader:
    """Return a loader that uses the platform's protocols."""
    assert site.target is not None
    http = HttpClient(source=site.host)
    return Loader(
        site,
        PlatformStore(site.store, http),
        PlatformRecordDecoder(),
        PlatformEngine(site.target.address, http, site.host),
        PlatformOrigin(http),
        http,
    )


def main() -> int:
    """Run a loader and return the process's exit code."""
    return run_on_platform("ridgecourse-loader", make_loader)


if __name__ == "__main__":
    sys.exit(main())
