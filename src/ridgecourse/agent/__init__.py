"""The agent process: admission control for a target and weight distribution."""
