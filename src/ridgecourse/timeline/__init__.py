"""The merged time line of all processes."""
