"""Sockets, HTTP, websockets, events, metrics and settings."""
