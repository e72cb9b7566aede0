"""Clients of the platform: log service, weight origin, engine."""
