"""A seeded soak test: real scheduler processes under random faults, checked by their clients' records."""
