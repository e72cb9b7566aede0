"""Exit codes of all programs."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
