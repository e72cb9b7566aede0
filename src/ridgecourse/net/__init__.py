"""Sockets, HTTP, websockets, events, metrics, settings and process start-up."""
