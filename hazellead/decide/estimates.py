"""Estimates that dispatchers exchange: with each other, and from a process to its successor.

Imported only where estimates are exchanged, so that a platform's start need not wait for it.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Estimate:
    """A value, the weight of the evidence behind it (0: none) and the time of the newest evidence."""

    value: float = 0.0
    weight: float = 0.0
    at_us: int = 0


@dataclass(slots=True, frozen=True)
class WorkerEstimates:
    """Estimates of one worker since its start at ``started_us``. Durations are in microseconds.

    ``pace`` is its run times over those of all workers, ``delay`` the wait of jobs for their start there.
    ``blame``, ``broke`` and ``drain`` call for caution: blame for faults; since ``broke.at_us`` it counts as
    restarted and cold; a drain, once adopted, keeps new work from it until ``drain.at_us``.
    """

    worker: int
    started_us: int
    pace: Estimate = Estimate()
    delay: Estimate = Estimate()
    slots: Estimate = Estimate()
    blame: Estimate = Estimate()
    broke: Estimate = Estimate()
    drain: Estimate = Estimate()
    own: tuple[float, ...] = ()  # values of records.INHERITED_FIELDS, for a successor process


@dataclass(slots=True, frozen=True)
class SharedEstimates:
    """All estimates of one dispatcher, as it exports them or adopts them from others."""

    workers: tuple[WorkerEstimates, ...] = ()
    runs: tuple[Estimate, ...] = ()  # mean run times by class, in microseconds
    demand: tuple[Estimate, ...] = ()  # slots asked for per second, by tenant
    factor: Estimate = Estimate()  # of the token rate
    tokens: tuple[float, ...] = ()  # banked tokens by tenant, for a successor process
