"""Loader: process beside a model engine that fetches weights and starts the engine."""
