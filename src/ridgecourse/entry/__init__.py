"""The entry process: client requests, the administration API and routing."""
