"""Program at the entry: takes callers' HTTP requests to targets by route."""
