"""Adapter for the users' platform.

Translates the platform's names, message formats and calls into the project's own types
and interfaces. Decisions are made in the other packages.
"""
