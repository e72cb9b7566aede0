"""Stand-ins for the systems outside ridgecourse, for the demo, tests and benchmarks."""
