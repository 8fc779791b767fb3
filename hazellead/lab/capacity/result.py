"""What a run of the scale tests gave: one file, from which the page's table and plots are made."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Literal

import msgspec

VERSION = 1
Source = Literal["real", "hollow"]


class ResultError(Exception):
    """The file is no result of this version; the message is one line."""


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The repeats measured at one size."""

    size: float
    values: list[float]


class Sweep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity along one axis, all else held. A slope needs at least four points."""

    role: str  # whose: scheduler, member, discovery, worker, configuration
    quantity: str  # such as cpu, memory, descriptors, bytes_out, messages_in
    unit: str
    axis: str  # workers, running, starts, tenants, schedulers, changes, gang
    held: dict[str, float]
    source: Source
    points: list[Point]


class Figure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of a run, with the bound it is held to, if any."""

    value: float
    unit: str
    limit: float | None = None  # it holds when the value is at most this
    note: str = ""


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One play at one size, such as the target itself or one kind of failure."""

    name: str
    source: Source
    sizes: dict[str, float]
    figures: dict[str, Figure]
    seed: int = 1
    broken: list[str] = []  # the referee's rules that were broken


class Gap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What was not measured, and why."""

    what: str
    reason: str


class Result(msgspec.Struct, forbid_unknown_fields=True):
    """All of one run of the command."""

    version: int = VERSION
    calibration_ms: float = 0.0  # a fixed piece of Python work in this run: absolute times carry this speed
    cores: int = 0
    python: str = ""
    seconds: float = 0.0
    peak_memory_mib: float = 0.0  # of all its processes together
    peak_processes: int = 0
    sweeps: list[Sweep] = []
    runs: list[Run] = []
    gaps: list[Gap] = []

    def sweep(
        self, role: str, quantity: str, unit: str, axis: str, source: Source,
        points: Mapping[float, Iterable[float]], **held: float,
    ) -> None:
        """Note one quantity's values by size."""
        self.sweeps.append(Sweep(role, quantity, unit, axis, held, source,
                                 [Point(size, list(values)) for size, values in sorted(points.items())]))

    def run(
        self, name: str, source: Source, sizes: Mapping[str, float], figures: Mapping[str, Figure],
        seed: int = 1, broken: Iterable[str] = (),
    ) -> None:
        """Note one play."""
        self.runs.append(Run(name, source, dict(sizes), dict(figures), seed, list(broken)))

    def gap(self, what: str, reason: str) -> None:
        """Note what was not measured."""
        self.gaps.append(Gap(what, reason))

    def save(self, path: Path) -> None:
        """Write it whole or not at all: a run that breaks off leaves the last good file as it was."""
        fresh = path.with_name(f"{path.name}.{os.getpid()}")
        try:
            fresh.write_bytes(msgspec.json.format(msgspec.json.encode(self), indent=1) + b"\n")
            fresh.replace(path)
        finally:
            fresh.unlink(missing_ok=True)


def load(path: Path) -> Result:
    """Read a file; raises ResultError."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError) as error:
        raise ResultError(f"{path.name}: {error}") from None
    if result.version != VERSION:
        raise ResultError(f"{path.name}: version {result.version}, not {VERSION}")
    return result
