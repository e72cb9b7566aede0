"""Benchmarks: each command prints one JSON line."""
