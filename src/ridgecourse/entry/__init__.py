"""The entry process: callers, administration and routing."""
