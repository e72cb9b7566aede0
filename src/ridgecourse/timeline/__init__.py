"""Timeline tool, which merges the event streams of all processes."""
