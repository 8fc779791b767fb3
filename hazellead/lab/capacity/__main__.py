"""Measures what the program costs at the users' size, writes the result file and renders docs/CAPACITY.md.

Run it with ``make capacity``, under 20 minutes. Exit code 0 when all was measured and written, 1 when a bound
on time, memory or processes was passed or (``--check``) the page differs, 2 for bad arguments or files, 130
when interrupted, 143 on SIGTERM. Whatever ends it early leaves the last good files as they were and nothing
running.
"""

import argparse
import importlib
import os
import platform
import signal
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from types import FrameType
from typing import Any, NoReturn, Protocol

from hazellead.lab.capacity import page, table
from hazellead.lab.capacity.peaks import GRACE_S, Peaks
from hazellead.lab.capacity.result import Result, ResultError, load

DOCS = Path(__file__).parents[3] / "docs"
MOST_S = 1190.0  # under 20 minutes, the end included
MOST_MIB = 12 * 1024.0
MOST_PROCESSES = 300
PASSED, BAD, INTERRUPTED, TERMINATED = 1, 2, 130, 143
PIECE = 40_000  # turns of the calibration's loop, some ten milliseconds
PIECES = 9


class Part(Protocol):
    """One part of the measurement; adds to the result."""

    def __call__(
        self,
        result: Result,
        *,
        small: bool,
        seed: int,
        say: Callable[[str], None],
        track: Callable[[int], None],
    ) -> None:
        """Measure; ``say`` prints progress, ``track`` names a process that was started."""


def _real(result: Result, **given: Any) -> None:
    importlib.import_module("hazellead.lab.capacity.real").measure(result, **given)


def _hollow(result: Result, *, track: Callable[[int], None], **given: Any) -> None:
    importlib.import_module("hazellead.lab.capacity.hollow").measure(result, **given)


PARTS: Mapping[str, Part] = {"real": _real, "hollow": _hollow}  # the second compares with the first


class BadError(Exception):
    """Arguments or files that can't be used; the message is one line."""


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise BadError(message)


class Interruption:
    """What has ended a run early: a signal, or a bound that was passed. It rises as KeyboardInterrupt.

    A part that doesn't end within the grace finds its processes ended; after as long again this one ends too.
    """

    def __init__(self) -> None:
        """Nothing yet."""
        self.code, self.words = 0, ""
        self.peaks: Peaks | None = None
        self._held, self._done = False, threading.Event()
        self._before: dict[int, Any] = {}

    def listen(self) -> None:
        """Take SIGINT, also where it was ignored at the start, as in a shell's background, and SIGTERM."""
        for number in (signal.SIGINT, signal.SIGTERM):
            self._before[number] = signal.signal(number, self._came)

    def done(self) -> None:
        """Listen no more."""
        self._done.set()
        for number, handler in self._before.items():
            signal.signal(number, handler)

    @contextmanager
    def held(self) -> Iterator[None]:
        """Let what is done here come to its end first."""
        self._held = True
        try:
            yield
        finally:
            self._held = False
        if self.code:
            raise KeyboardInterrupt

    def passed(self, words: str) -> None:
        """End the run, from another thread, since a bound was passed."""
        self._note(PASSED, f"stopped: {words}")
        signal.pthread_kill(threading.main_thread().ident or 0, signal.SIGINT)

    def _came(self, number: int, frame: FrameType | None) -> None:
        if number == signal.SIGTERM:
            self._note(TERMINATED, "ended by SIGTERM")
        else:
            self._note(INTERRUPTED, "interrupted")
        if not self._held:
            raise KeyboardInterrupt

    def _note(self, code: int, words: str) -> None:
        if not self.code:
            self.code, self.words = code, words
            threading.Thread(target=self._insist, name="insist", daemon=True).start()

    def _insist(self) -> None:
        for last in (False, True):
            if self._done.wait(GRACE_S):
                return
            if self.peaks:
                self.peaks.end_all(1.0)
            if last:
                print(f"capacity: {self.words}; a part did not end by itself", file=sys.stderr, flush=True)
                os._exit(self.code)


def arguments(argv: Sequence[str] | None, names: Sequence[str]) -> argparse.Namespace:
    """Read the arguments; raises BadError."""
    parser = _Parser(
        prog="capacity", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--only", choices=names, help="measure one part; needs --out")
    parser.add_argument("--small", action="store_true", help="small sizes, some seconds; needs --out")
    parser.add_argument("--seed", type=int, default=1, help="of everything that is drawn (default 1)")
    parser.add_argument(
        "--out", type=Path, metavar="FILE", help="write the result there and leave the page alone"
    )
    which = parser.add_mutually_exclusive_group()
    which.add_argument("--render", action="store_true", help="only render the page from the result file")
    which.add_argument(
        "--check", action="store_true", help="only say whether the page is what the file gives"
    )
    given = parser.parse_args(argv)
    if given.seed < 0:
        raise BadError("argument --seed: is below 0")
    if (given.render or given.check) and (given.only or given.small or given.out or given.seed != 1):
        raise BadError("--render and --check take no other argument")
    if (given.only or given.small) and not given.out:
        raise BadError("--only and --small need --out FILE: the page's file is of a whole run at full size")
    return given


def calibration_ms() -> float:
    """Time a fixed piece of pure Python, in milliseconds, the best of several: the machine's speed."""
    best = float("inf")
    for _ in range(PIECES):
        began = time.perf_counter()
        seen: dict[int, int] = {}
        value = 1
        for i in range(PIECE):
            value = value * 48_271 % 2_147_483_647
            seen[value & 1023] = seen.get(value & 1023, 0) + (i & 7)
        best = min(best, time.perf_counter() - began)
    return best * 1000


def _whole(path: Path, data: bytes) -> None:
    """Write a file whole or not at all."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        fresh.write_bytes(data)
        fresh.replace(path)
    finally:
        fresh.unlink(missing_ok=True)


class Place:
    """Where the page, its plots and the result file are."""

    def __init__(self, docs: Path) -> None:
        """Keep the paths."""
        self.page, self.folder = docs / "CAPACITY.md", docs / "capacity"
        self.result = self.folder / "result.json"
        self.before = self.folder / "before.json"  # from before the mechanisms that the page tells of

    def read(self) -> Result:
        """Return the last good result, or an empty one before the first run; raises ResultError."""
        return load(self.result) if self.result.exists() else Result()

    def text(self, result: Result) -> str:
        """Return the page with its parts made anew; raises BadError, or ResultError for the one before."""
        before = load(self.before) if self.before.exists() else None
        try:
            return page.insert(self.page.read_text(), page.parts(result, before))
        except (OSError, UnicodeDecodeError) as error:
            raise BadError(f"{self.page.name}: {error}") from None
        except page.PageError as error:
            raise BadError(str(error)) from None

    def render(self, result: Result) -> page.Rendered:
        """Return page and plots; raises BadError."""
        return page.Rendered(self.text(result), page.draw(result))

    def write(self, rendered: page.Rendered, result: Result | None = None) -> None:
        """Write the result if there is a new one, then plots and page; raises BadError."""
        try:
            self.folder.mkdir(exist_ok=True)
            if result is not None:
                result.save(self.result)
            for name, data in rendered.plots.items():
                _whole(self.folder / name, data)
            for path in self.folder.glob("*.svg"):
                if path.name not in rendered.plots:
                    path.unlink()
            _whole(self.page, rendered.text.encode())
        except OSError as error:
            raise BadError(str(error)) from None

    def differs(self, rendered: page.Rendered) -> list[str]:
        """Name the files that are not what was rendered."""
        there = {path.name: path.read_bytes() for path in self.folder.glob("*.svg")}
        odd = [
            name
            for name in sorted(there.keys() | rendered.plots.keys())
            if there.get(name) != rendered.plots.get(name)
        ]
        return ([self.page.name] if self.page.read_text() != rendered.text else []) + odd


def _measure(
    given: argparse.Namespace, parts: Mapping[str, Part], interruption: Interruption, most_s: float
) -> Result:
    peaks = Peaks(MOST_MIB, MOST_PROCESSES, most_s, interruption.passed)
    interruption.peaks = peaks

    def say(text: str) -> None:
        print(f"{peaks.passed_s:7.1f} s  {text}", flush=True)

    result = Result(cores=os.cpu_count() or 0, python=platform.python_version())
    peaks.start()
    try:
        result.calibration_ms = calibration_ms()
        say(f"a fixed piece of Python takes {result.calibration_ms:.2f} ms here")
        for name, part in parts.items():
            if given.only in (None, name):
                say(f"{name}: begins")
                part(result, small=given.small, seed=given.seed, say=say, track=peaks.track)
                say(f"{name}: done")
        result.calibration_ms = min(result.calibration_ms, calibration_ms())
        peaks.sample()
    finally:
        with interruption.held():
            left = peaks.close()
            if left:
                say(f"ended {len(left)} processes that were left")
            say(f"peaks: {peaks.memory_mib:.0f} MiB resident, {peaks.processes} processes together")
    result.seconds = round(peaks.passed_s, 1)
    result.peak_memory_mib, result.peak_processes = round(peaks.memory_mib, 1), peaks.processes
    return result


def _conclude(result: Result) -> None:
    for pair in table.pairs(result):
        print(
            f"           {pair.run}, {pair.key}: real {pair.real:.4g}, hollow {pair.hollow:.4g}, "
            f"apart {pair.apart:+.1%}",
            flush=True,
        )
    counts = table.tally(row.verdict for row in table.rows(result))
    runs = table.tally(
        table.judge_figure(f) for r in result.runs for f in r.figures.values() if f.limit is not None
    )
    for what, some in (("rows", counts), ("runs' figures", runs)):
        print(
            f"           {what}: {some[table.Verdict.HOLDS]} hold, {some[table.Verdict.FAILS]} fail, "
            f"{some[table.Verdict.NOT_MEASURED]} not measured",
            flush=True,
        )


def _run(
    argv: Sequence[str] | None,
    parts: Mapping[str, Part],
    place: Place,
    interruption: Interruption,
    most_s: float,
) -> int:
    given = arguments(argv, list(parts))
    held = place.read() if not given.out else Result()
    if given.out and (given.out.is_dir() or not given.out.parent.is_dir()):
        raise BadError(f"argument --out: {given.out} can't be written")
    if given.out and given.out.resolve() == place.result.resolve():
        raise BadError("argument --out: the page's own file is written by a whole run only")
    if given.check:
        odd = place.differs(place.render(held))
        print(
            f"capacity: differs from the file: {', '.join(odd)}"
            if odd
            else "capacity: the page is as the file"
        )
        return 1 if odd else 0
    if given.render:
        rendered = place.render(held)
        with interruption.held():
            place.write(rendered)
        return 0
    place.text(held)  # a page that can't take its parts is found before anything is measured
    result = _measure(given, parts, interruption, most_s)
    if given.out:
        try:
            result.save(given.out)
        except OSError as error:
            raise BadError(f"argument --out: {error}") from None
    else:
        fresh = place.render(result)
        with interruption.held():
            place.write(fresh, result)
    _conclude(result)
    return 0


def main(
    argv: Sequence[str] | None = None,
    parts: Mapping[str, Part] = PARTS,
    docs: Path = DOCS,
    most_s: float = MOST_S,
) -> int:
    """Do what the arguments say; return the exit code. ``parts`` and ``docs`` can be others, for tests."""
    interruption = Interruption()
    interruption.listen()
    try:
        return _run(argv, parts, Place(docs), interruption, most_s)
    except (BadError, ResultError) as error:
        print(f"capacity: {' '.join(str(error).split())}", file=sys.stderr)
        return BAD
    except KeyboardInterrupt:
        print(f"capacity: {interruption.words or 'interrupted'}", file=sys.stderr)
        return interruption.code or INTERRUPTED
    finally:
        interruption.done()


if __name__ == "__main__":
    sys.exit(main())
