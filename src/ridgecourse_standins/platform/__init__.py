"""Stand-ins for the users' platform: its store, engines and origin of weights."""
