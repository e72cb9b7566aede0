"""HTTP clients for the log, the instance list, the origin and the engines."""
