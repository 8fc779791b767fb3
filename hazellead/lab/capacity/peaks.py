"""Memory and count of a measurement's own processes, from /proc; ends them and a run that grows too large."""

import os
import signal
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

MIB = 1024 * 1024
PAGE = os.sysconf("SC_PAGE_SIZE")
EVERY_S = 0.25
GRACE_S = 5.0  # for a part to end its own processes after an interruption; then they are ended here

Process = tuple[int, int]  # id and start time: an id alone may come to name somebody else's process


def _identify(pid: int) -> Process | None:
    """Return a live process of that id; None if there is none, or if it has ended and waits to be reaped."""
    with suppress(OSError, ValueError, IndexError):
        rest = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        if rest[0] not in "ZX":
            return pid, int(rest[19])
    return None


def _children(pid: int) -> list[int]:
    found = []
    with suppress(OSError):
        for task in os.listdir(f"/proc/{pid}/task"):
            with suppress(OSError):
                found += [int(c) for c in Path(f"/proc/{pid}/task/{task}/children").read_text().split()]
    return found


def _resident_mib(pid: int) -> float:
    """Return what is resident; what processes share counts in each, so that sums are at most too large."""
    with suppress(OSError, ValueError, IndexError):
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / MIB
    return 0.0


class Peaks:
    """Samples this process and all it has started, and calls out when they pass their bounds.

    Only processes that descend from this one, or that were named to ``track``, are looked at.
    """

    def __init__(
        self, most_mib: float, most_processes: int, most_s: float, call: Callable[[str], None]
    ) -> None:
        """Bound the resident memory, the processes and the time; ``call`` is called once, from a thread."""
        self.memory_mib, self.processes = 0.0, 0
        self._most = (most_mib, most_processes, most_s)
        self._call, self._began = call, time.monotonic()
        self._known: set[Process] = set()
        self._lock, self._stop = threading.Lock(), threading.Event()
        self._thread = threading.Thread(target=self._run, name="peaks", daemon=True)

    @property
    def passed_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def start(self) -> None:
        """Begin to sample."""
        self._thread.start()

    def track(self, pid: int) -> None:
        """Count a process and all it starts, whoever its parent is."""
        if (process := _identify(pid)) is not None:
            with self._lock:
                self._known.add(process)

    def sample(self) -> None:
        """Take one sample."""
        live = self._live()
        memory = sum(_resident_mib(pid) for pid, _ in live) + _resident_mib(os.getpid())
        self.memory_mib = max(self.memory_mib, memory)
        self.processes = max(self.processes, len(live) + 1)

    def _live(self) -> set[Process]:
        """Return all live processes but this one, and remember them: a parent may end before its child."""
        with self._lock:
            live = {p for p in self._known if _identify(p[0]) == p}
            pids = [os.getpid(), *(pid for pid, _ in live)]
            seen = set(pids)
            while pids:
                for child in _children(pids.pop()):
                    if child not in seen and (process := _identify(child)) is not None:
                        seen.add(child)
                        pids.append(child)
                        live.add(process)
            self._known = live
            return set(live)

    def _run(self) -> None:
        while not self._stop.wait(EVERY_S):
            self.sample()
            mib, processes, seconds = self._most
            for over, words in (
                (self.memory_mib > mib, f"over {mib:,.0f} MiB"),
                (self.processes > processes, f"over {processes} processes"),
                (self.passed_s > seconds, f"over {seconds:,.0f} s"),
            ):
                if over:
                    self._call(f"{words} after {self.passed_s:.0f} s")
                    return

    def close(self) -> list[int]:
        """End all processes that are left, by SIGTERM and after 2 s by SIGKILL; return their ids."""
        self._stop.set()
        if self._thread.ident is not None and threading.current_thread() is not self._thread:
            self._thread.join()
        return self.end_all(2.0)

    def end_all(self, patience_s: float) -> list[int]:
        """End what is left; return the ids."""
        left = {pid for pid, _ in self._live()}
        for number, wait_s in ((signal.SIGTERM, patience_s), (signal.SIGKILL, 2.0)):
            until = time.monotonic() + wait_s
            for process in self._live():
                with suppress(ProcessLookupError):
                    os.kill(process[0], number)
            while self._live() and time.monotonic() < until:
                time.sleep(0.02)
        return sorted(left)
