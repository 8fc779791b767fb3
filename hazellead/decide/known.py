"""What a dispatcher says of what it has seen, and takes over of what others have.

Imported only where instances learn from each other: a platform's start need not wait for it.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Estimate:
    """A figure, the weight of the evidence behind it (0: none), and when the newest of that was seen."""

    value: float = 0.0
    weight: float = 0.0
    at_us: int = 0


@dataclass(slots=True, frozen=True)
class KnownWorker:
    """What is known of one worker since the start that its list gives it. Spans are in microseconds.

    The last three call for caution: what failures count, that it broke and is cold from ``at_us`` on, and
    that it drains; taken over, a drain keeps new work from it until ``at_us``.
    """

    worker: int
    started_us: int
    pace: Estimate = Estimate()
    delay: Estimate = Estimate()
    slots: Estimate = Estimate()
    blame: Estimate = Estimate()
    broke: Estimate = Estimate()
    drain: Estimate = Estimate()
    own: tuple[float, ...] = ()  # figures as they are, for a process that takes the place of ours


@dataclass(slots=True, frozen=True)
class Known:
    """What a dispatcher has itself seen, as it exports it, or what others have seen, as it takes it over."""

    workers: tuple[KnownWorker, ...] = ()
    runs: tuple[Estimate, ...] = ()  # mean run times by class, in microseconds
    demand: tuple[Estimate, ...] = ()  # slots a second asked for, by tenant
    factor: Estimate = Estimate()  # of the rate
    tokens: tuple[float, ...] = ()  # banked by each tenant; for a process that takes the place of ours
