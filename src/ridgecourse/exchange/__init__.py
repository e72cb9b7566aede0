"""Peer-to-peer distribution of model weights between the agents of a fleet."""
