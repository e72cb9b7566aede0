"""Clients of the log, instance list, origin and engines in our own protocol."""
