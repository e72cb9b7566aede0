"""Exit codes of all programs: success, failure, wrong arguments or settings."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
