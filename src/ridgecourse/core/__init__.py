"""Decision logic without input or output: state, event and time yield actions."""
