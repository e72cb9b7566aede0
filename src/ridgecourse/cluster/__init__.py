"""What a process believes of the cluster, read from the platform's store."""
