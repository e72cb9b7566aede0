"""Stand-ins for the platform of the users: store, engines and origin of weights."""
