"""Starts a loader from the platform's settings."""

import ridgecourse.net.patch  # noqa: F401, I001

import sys

from ridgecourse.loader.loader import Loader
from ridgecourse.platform.process import run_on_platform

if __name__ == "__main__":
    sys.exit(run_on_platform("ridgecourse-loader", Loader))
