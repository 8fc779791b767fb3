"""The knowledge of an instance as a file, for a start at which nobody answers. Off where there is no disk."""
