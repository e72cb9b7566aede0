"""Command ``ridgecourse-agent``."""

import ridgecourse.net.import_pause  # noqa: F401, I001
import ridgecourse.net.patch  # noqa: F401

import sys

from ridgecourse.agent.agent import Agent
from ridgecourse.agent.settings import AgentSettings
from ridgecourse.net.import_pause import end_import_pause
from ridgecourse.net.program import make_parser, run_process

end_import_pause()

DESCRIPTION = "Controls admission to one target and takes part in the weight exchange."


def main(arguments: list[str] | None = None) -> int:
    """Run an agent process and return its exit code."""
    parser = make_parser("ridgecourse-agent", DESCRIPTION)
    return run_process(parser.parse_args(arguments), AgentSettings, Agent)


if __name__ == "__main__":
    sys.exit(main())
