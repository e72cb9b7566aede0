"""Benchmarks; each command prints its results as JSON, one object per line."""
