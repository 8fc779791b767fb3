"""A scheduler's life from its start to its end, and the passing of its work from one process to the next."""
