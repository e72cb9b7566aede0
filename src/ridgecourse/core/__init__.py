"""Decisions without input or output: state plus event plus time gives actions."""
