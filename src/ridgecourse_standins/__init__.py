"""Test doubles of the systems outside ridgecourse: demo, tests and benchmarks."""
