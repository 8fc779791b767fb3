"""The size that the users expect in two years, and the limits they hold it to. Pure; the users' figures."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Target:
    """What the system has to carry. Rates are a second unless the name says otherwise."""

    workers: int = 490
    accelerators: int = 930
    jobs_a_day: int = 3500
    starts: float = 28.0  # tasks at the peak
    running: int = 4200  # tasks
    gang: int = 32  # slots of the widest
    tenants: int = 91
    urgent_s: float = 1.0  # until urgent work has started
    regions: int = 2
    zones: int = 6
    changes_a_day: int = 1600
    in_force_s: float = 5.0  # until a change is in force everywhere
    core_share: float = 0.047  # of a core, for control, each scheduler
    memory_mb: float = 64.0  # each scheduler
    traffic_b: float = 19_000.0  # bytes a second for control, each scheduler
    schedulers: int = 9
    failures_a_day: int = 3
    restarts_a_day: int = 150


TARGET = Target()
