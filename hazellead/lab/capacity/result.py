"""The result file of the scale tests, from which the page's tables and plots are rendered."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Literal

import msgspec

VERSION = 1
Source = Literal["real", "hollow"]


class ResultError(Exception):
    """The file is unreadable or no result of this version; the message is one line."""


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The values of all repeats at one size."""

    size: float
    values: list[float]


class Sweep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity measured along one axis, with all other sizes constant; a slope needs four points."""

    role: str  # scheduler, member, discovery, worker, configuration
    quantity: str  # such as cpu, memory, descriptors, bytes_out, messages_in
    unit: str
    axis: str  # workers, running, starts, tenants, schedulers, changes, gang
    held: dict[str, float]  # the constant sizes
    source: Source
    points: list[Point]


class Figure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measured figure of a run, with its limit, if any."""

    value: float
    unit: str
    limit: float | None = None  # the figure holds if the value is at most this
    note: str = ""


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run at one size, such as the target itself or one kind of failure."""

    name: str
    source: Source
    sizes: dict[str, float]
    figures: dict[str, Figure]
    seed: int = 1
    broken: list[str] = []  # violations that the rule checker found


class Gap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that was not measured, and the reason."""

    what: str
    reason: str


class Result(msgspec.Struct, forbid_unknown_fields=True):
    """The complete result of one run of the command."""

    version: int = VERSION
    calibration_ms: float = 0.0  # of a fixed Python loop, the speed of the machine behind all absolute times
    cores: int = 0
    python: str = ""
    seconds: float = 0.0
    peak_memory_mib: float = 0.0  # of all processes together
    peak_processes: int = 0
    sweeps: list[Sweep] = []
    runs: list[Run] = []
    gaps: list[Gap] = []

    def sweep(
        self, role: str, quantity: str, unit: str, axis: str, source: Source,
        points: Mapping[float, Iterable[float]], **held: float,
    ) -> None:
        """Add a sweep: one quantity's values by size; ``held`` are the constant sizes."""
        self.sweeps.append(Sweep(role, quantity, unit, axis, held, source,
                                 [Point(size, list(values)) for size, values in sorted(points.items())]))

    def run(
        self, name: str, source: Source, sizes: Mapping[str, float], figures: Mapping[str, Figure],
        seed: int = 1, broken: Iterable[str] = (),
    ) -> None:
        """Add a run."""
        self.runs.append(Run(name, source, dict(sizes), dict(figures), seed, list(broken)))

    def gap(self, what: str, reason: str) -> None:
        """Add something that was not measured, and the reason."""
        self.gaps.append(Gap(what, reason))

    def save(self, path: Path) -> None:
        """Replace the file atomically, so that an interrupted run leaves the previous result unchanged."""
        fresh = path.with_name(f"{path.name}.{os.getpid()}")
        try:
            fresh.write_bytes(msgspec.json.format(msgspec.json.encode(self), indent=1) + b"\n")
            fresh.replace(path)
        finally:
            fresh.unlink(missing_ok=True)


def load(path: Path) -> Result:
    """Read a result file; raises ResultError."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError) as error:
        raise ResultError(f"{path.name}: {error}") from None
    if result.version != VERSION:
        raise ResultError(f"{path.name}: version {result.version}, not {VERSION}")
    return result
