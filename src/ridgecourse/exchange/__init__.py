"""The exchange of weights between the agents of a fleet."""
