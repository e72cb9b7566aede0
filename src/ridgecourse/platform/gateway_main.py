"""Entry point of a gateway on the platform: reads the settings file and runs."""

import ridgecourse.net.import_pause  # noqa: F401, I001
import ridgecourse.net.patch  # noqa: F401

import sys

from ridgecourse.core.site import Site
from ridgecourse.gateway.gateway import Gateway
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.import_pause import end_import_pause
from ridgecourse.platform.names import READY_PATH
from ridgecourse.platform.origin import PlatformOrigin
from ridgecourse.platform.process import run_on_platform
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse.platform.requests import PlatformRequestProtocol
from ridgecourse.platform.store import PlatformStore

end_import_pause()


def make_gateway(site: Site) -> Gateway:
    """Return a gateway that uses the platform's protocols."""
    http = HttpClient(source=site.host)
    return Gateway(
        site,
        PlatformStore(site.store, http),
        PlatformRecordDecoder(),
        PlatformRequestProtocol(),
        PlatformOrigin(http),
        http,
        READY_PATH,
    )


def main() -> int:
    """Run a gateway and return the process's exit code."""
    return run_on_platform("ridgecourse-gateway", make_gateway)


if __name__ == "__main__":
    sys.exit(main())
