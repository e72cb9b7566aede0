"""The agent process: the gate before a target and the weight exchange."""
