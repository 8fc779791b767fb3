"""Hypothesis settings for all tests."""

from hypothesis import HealthCheck, settings

# The same examples in each run, and no failures by time limits: on a busy machine an example may take over
# 0.2 s, or generating the first ten over a second.
settings.register_profile(
    "steady", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("steady")
