"""Gateway program: route clients' HTTP requests to targets by configuration."""
