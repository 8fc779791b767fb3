"""A seeded soak test: real scheduler processes under drawn faults, judged from the outside."""
