"""What holds for all tests."""

from hypothesis import HealthCheck, settings

# The same examples each time, and no verdict by the clock: on a busy machine an example may take over 0.2 s,
# or the first ten over a second to be made.
settings.register_profile(
    "steady", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("steady")
