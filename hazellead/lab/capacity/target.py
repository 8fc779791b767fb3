"""The system size that the users expect in two years, and their limits; all figures are the users'."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Target:
    """The expected load and the limits. Rates are per second unless the name says otherwise."""

    workers: int = 490
    accelerators: int = 930
    jobs_a_day: int = 3500
    starts: float = 28.0  # tasks started at the peak
    running: int = 4200  # concurrent tasks
    gang: int = 32  # slots of the widest gang
    tenants: int = 91
    urgent_s: float = 1.0  # within which urgent tasks must start
    regions: int = 2
    zones: int = 6
    changes_a_day: int = 1600
    in_force_s: float = 5.0  # within which a change must be in force everywhere
    core_share: float = 0.047  # of a core, for control, of each scheduler
    memory_mb: float = 64.0  # of each scheduler
    traffic_b: float = 19_000.0  # bytes a second for control, of each scheduler
    schedulers: int = 9
    failures_a_day: int = 3
    restarts_a_day: int = 150


TARGET = Target()
