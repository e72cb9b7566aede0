"""Command ``ridgecourse-agent``."""

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402

from ridgecourse.agent.agent import Agent  # noqa: E402
from ridgecourse.agent.settings import AgentSettings  # noqa: E402
from ridgecourse.net.process import make_parser, run_process  # noqa: E402

DESCRIPTION = "Gate before one target, and its part in the exchange of weights."


def main(arguments: list[str] | None = None) -> int:
    """Run an agent; return the exit code."""
    parser = make_parser("ridgecourse-agent", DESCRIPTION)
    return run_process(parser.parse_args(arguments), AgentSettings, Agent)


if __name__ == "__main__":
    sys.exit(main())
