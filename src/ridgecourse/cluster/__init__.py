"""The view of the cluster that a process builds from the platform's store."""
