"""Entry point of ``ridgecourse-ctl``, the command-line tool for operators."""

import sys

from ridgecourse.ctl.arguments import make_parser
from ridgecourse.ctl.client import AdminClient
from ridgecourse.ctl.commands import Commands
from ridgecourse.ctl.output import Output
from ridgecourse.net.address import parse_address
from ridgecourse.net.exit_code import EXIT_OK, EXIT_USAGE


def main(arguments: list[str] | None = None) -> int:
    """Execute one verb and return the exit code."""
    parser = make_parser()
    options = parser.parse_args(arguments)
    output = Output(options.json)
    try:
        address = str(parse_address(options.entry))
    except ValueError as error:
        output.error(f"--entry: {error}", "pass the address of an entry as HOST:PORT")
        return EXIT_USAGE
    if options.check:
        return EXIT_OK
    if options.noun is None:
        parser.print_help(sys.stderr)
        return EXIT_USAGE
    return Commands(AdminClient(address, options.token), output).run(options)


if __name__ == "__main__":
    sys.exit(main())
