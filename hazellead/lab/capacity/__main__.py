"""Measures the program's resource use at the users' size, writes the result file, renders docs/CAPACITY.md.

Run it with ``make capacity``; it takes under 20 minutes. Exit codes: 0 everything was measured and written;
1 a limit on time, memory or processes was exceeded, or (``--check``) the page differs from the result file;
2 invalid arguments or files; 130 interrupted; 143 SIGTERM. A run that ends early leaves the previous result
and page unchanged and no process running.
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
MAX_RUN_S = 1190.0  # under 20 minutes, including the shutdown
MAX_MEMORY_MIB = 12 * 1024.0
MAX_PROCESSES = 300
LIMIT_EXCEEDED, INVALID_USAGE, INTERRUPTED, TERMINATED = 1, 2, 130, 143
CALIBRATION_ITERATIONS = 40_000  # about ten milliseconds
CALIBRATION_REPEATS = 9


class Part(Protocol):
    """A function that measures one part and adds its results to ``result``."""

    def __call__(
        self,
        result: Result,
        *,
        small: bool,
        seed: int,
        say: Callable[[str], None],
        track: Callable[[int], None],
    ) -> None:
        """Run the part; ``say`` prints progress, ``track`` registers the id of each process it starts."""


def _real(result: Result, **options: Any) -> None:
    importlib.import_module("hazellead.lab.capacity.real").measure(result, **options)


def _hollow(result: Result, *, track: Callable[[int], None], **options: Any) -> None:
    importlib.import_module("hazellead.lab.capacity.hollow").measure(result, **options)


PARTS: Mapping[str, Part] = {"real": _real, "hollow": _hollow}  # in this order: hollow is compared with real


class UsageError(Exception):
    """Invalid arguments or unusable files; the message is one line."""


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise UsageError(message)


class Interruption:
    """Ends a run early on a signal or an exceeded limit, by raising KeyboardInterrupt in the main thread.

    If a part is still running after ``GRACE_S``, its processes are ended; after another ``GRACE_S`` this
    process exits as well.
    """

    def __init__(self) -> None:
        """Start without an interruption."""
        self.exit_code, self.reason = 0, ""
        self.peaks: Peaks | None = None
        self._deferring, self._finished = False, threading.Event()
        self._previous_handlers: dict[int, Any] = {}

    def install_handlers(self) -> None:
        """Handle SIGTERM and SIGINT, the latter also where a shell's background job ignores it."""
        for number in (signal.SIGINT, signal.SIGTERM):
            self._previous_handlers[number] = signal.signal(number, self._on_signal)

    def restore_handlers(self) -> None:
        """Restore the previous signal handlers and cancel the forced exit."""
        self._finished.set()
        for number, handler in self._previous_handlers.items():
            signal.signal(number, handler)

    @contextmanager
    def deferred(self) -> Iterator[None]:
        """Defer KeyboardInterrupt until the block has ended."""
        self._deferring = True
        try:
            yield
        finally:
            self._deferring = False
        if self.exit_code:
            raise KeyboardInterrupt

    def limit_exceeded(self, reason: str) -> None:
        """End the run because a limit was exceeded; called from another thread."""
        self._record(LIMIT_EXCEEDED, f"stopped: {reason}")
        signal.pthread_kill(threading.main_thread().ident or 0, signal.SIGINT)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        if number == signal.SIGTERM:
            self._record(TERMINATED, "ended by SIGTERM")
        else:
            self._record(INTERRUPTED, "interrupted")
        if not self._deferring:
            raise KeyboardInterrupt

    def _record(self, code: int, reason: str) -> None:
        if not self.exit_code:
            self.exit_code, self.reason = code, reason
            threading.Thread(target=self._force_exit, name="force-exit", daemon=True).start()

    def _force_exit(self) -> None:
        for last in (False, True):
            if self._finished.wait(GRACE_S):
                return
            if self.peaks:
                self.peaks.end_all(1.0)
            if last:
                print(f"capacity: {self.reason}; a part did not stop in time", file=sys.stderr, flush=True)
                os._exit(self.exit_code)


def parse_arguments(argv: Sequence[str] | None, names: Sequence[str]) -> argparse.Namespace:
    """Parse and check the arguments; raises UsageError."""
    parser = _Parser(
        prog="capacity", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--only", choices=names, help="measure one part; needs --out")
    parser.add_argument("--small", action="store_true", help="small sizes, takes a few seconds; needs --out")
    parser.add_argument("--seed", type=int, default=1, help="seed of all random draws (default 1)")
    parser.add_argument(
        "--out", type=Path, metavar="FILE", help="write the result to FILE and do not render the page"
    )
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument("--render", action="store_true", help="only render the page from the result file")
    modes.add_argument(
        "--check", action="store_true", help="only check that the page matches the result file"
    )
    options = parser.parse_args(argv)
    if options.seed < 0:
        raise UsageError("argument --seed: must not be negative")
    if (options.render or options.check) and (
        options.only or options.small or options.out or options.seed != 1
    ):
        raise UsageError("--render and --check cannot be combined with other arguments")
    if (options.only or options.small) and not options.out:
        raise UsageError("--only and --small need --out FILE: the page needs a complete run at full size")
    return options


def calibration_ms() -> float:
    """Return the best time, in milliseconds, of a fixed pure Python loop, as a measure of machine speed."""
    best = float("inf")
    for _ in range(CALIBRATION_REPEATS):
        began = time.perf_counter()
        seen: dict[int, int] = {}
        value = 1
        for i in range(CALIBRATION_ITERATIONS):
            value = value * 48_271 % 2_147_483_647
            seen[value & 1023] = seen.get(value & 1023, 0) + (i & 7)
        best = min(best, time.perf_counter() - began)
    return best * 1000


def _write_atomically(path: Path, data: bytes) -> None:
    """Replace a file atomically."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        fresh.write_bytes(data)
        fresh.replace(path)
    finally:
        fresh.unlink(missing_ok=True)


class PageFiles:
    """The files of the page: its text, its plots and the results it is rendered from."""

    def __init__(self, docs: Path) -> None:
        """Derive the paths from the documentation folder."""
        self.page, self.folder = docs / "CAPACITY.md", docs / "capacity"
        self.result = self.folder / "result.json"
        # Measured before the mechanisms that the page describes.
        self.earlier_result = self.folder / "before.json"

    def read(self) -> Result:
        """Return the stored result, or an empty one if there is none yet; raises ResultError."""
        return load(self.result) if self.result.exists() else Result()

    def text(self, result: Result) -> str:
        """Return the page with its generated parts replaced.

        Raises UsageError for an unusable page, ResultError for an unusable earlier result.
        """
        before = load(self.earlier_result) if self.earlier_result.exists() else None
        try:
            return page.insert(self.page.read_text(), page.parts(result, before))
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{self.page.name}: {error}") from None
        except page.PageError as error:
            raise UsageError(str(error)) from None

    def render(self, result: Result) -> page.Rendered:
        """Render the page and its plots; raises UsageError."""
        return page.Rendered(self.text(result), page.draw(result))

    def write(self, rendered: page.Rendered, result: Result | None = None) -> None:
        """Write the result, if given, then plots and page, and delete stale plots; raises UsageError."""
        try:
            self.folder.mkdir(exist_ok=True)
            if result is not None:
                result.save(self.result)
            for name, data in rendered.plots.items():
                _write_atomically(self.folder / name, data)
            for path in self.folder.glob("*.svg"):
                if path.name not in rendered.plots:
                    path.unlink()
            _write_atomically(self.page, rendered.text.encode())
        except OSError as error:
            raise UsageError(str(error)) from None

    def differing_files(self, rendered: page.Rendered) -> list[str]:
        """Return the names of the files that differ from what was rendered."""
        existing = {path.name: path.read_bytes() for path in self.folder.glob("*.svg")}
        differing = [
            name
            for name in sorted(existing.keys() | rendered.plots.keys())
            if existing.get(name) != rendered.plots.get(name)
        ]
        return ([self.page.name] if self.page.read_text() != rendered.text else []) + differing


def _measure(
    options: argparse.Namespace, parts: Mapping[str, Part], interruption: Interruption, max_run_s: float
) -> Result:
    peaks = Peaks(MAX_MEMORY_MIB, MAX_PROCESSES, max_run_s, interruption.limit_exceeded)
    interruption.peaks = peaks

    def say(text: str) -> None:
        print(f"{peaks.elapsed_s:7.1f} s  {text}", flush=True)

    result = Result(cores=os.cpu_count() or 0, python=platform.python_version())
    peaks.start()
    try:
        result.calibration_ms = calibration_ms()
        say(f"calibration loop: {result.calibration_ms:.2f} ms")
        for name, part in parts.items():
            if options.only in (None, name):
                say(f"{name}: started")
                part(result, small=options.small, seed=options.seed, say=say, track=peaks.track)
                say(f"{name}: done")
        result.calibration_ms = min(result.calibration_ms, calibration_ms())
        peaks.sample()
    finally:
        with interruption.deferred():
            left = peaks.close()
            if left:
                say(f"ended {len(left)} processes that were still running")
            say(f"peaks: {peaks.memory_mib:.0f} MiB resident, {peaks.processes} processes together")
    result.seconds = round(peaks.elapsed_s, 1)
    result.peak_memory_mib, result.peak_processes = round(peaks.memory_mib, 1), peaks.processes
    return result


def _print_summary(result: Result) -> None:
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
    files: PageFiles,
    interruption: Interruption,
    max_run_s: float,
) -> int:
    options = parse_arguments(argv, list(parts))
    stored = files.read() if not options.out else Result()
    if options.out and (options.out.is_dir() or not options.out.parent.is_dir()):
        raise UsageError(f"argument --out: {options.out} cannot be written")
    if options.out and options.out.resolve() == files.result.resolve():
        raise UsageError("argument --out: the page's result file is only written by a complete run")
    if options.check:
        differing = files.differing_files(files.render(stored))
        print(
            f"capacity: differs from the result file: {', '.join(differing)}"
            if differing
            else "capacity: the page matches the result file"
        )
        return 1 if differing else 0
    if options.render:
        rendered = files.render(stored)
        with interruption.deferred():
            files.write(rendered)
        return 0
    files.text(stored)  # detects an unusable page before the long measurement
    result = _measure(options, parts, interruption, max_run_s)
    if options.out:
        try:
            result.save(options.out)
        except OSError as error:
            raise UsageError(f"argument --out: {error}") from None
    else:
        fresh = files.render(result)
        with interruption.deferred():
            files.write(fresh, result)
    _print_summary(result)
    return 0


def main(
    argv: Sequence[str] | None = None,
    parts: Mapping[str, Part] = PARTS,
    docs: Path = DOCS,
    max_run_s: float = MAX_RUN_S,
) -> int:
    """Run the command and return its exit code; tests pass their own ``parts``, ``docs`` and time limit."""
    interruption = Interruption()
    interruption.install_handlers()
    try:
        return _run(argv, parts, PageFiles(docs), interruption, max_run_s)
    except (UsageError, ResultError) as error:
        print(f"capacity: {' '.join(str(error).split())}", file=sys.stderr)
        return INVALID_USAGE
    except KeyboardInterrupt:
        print(f"capacity: {interruption.reason or 'interrupted'}", file=sys.stderr)
        return interruption.exit_code or INTERRUPTED
    finally:
        interruption.restore_handlers()


if __name__ == "__main__":
    sys.exit(main())
