"""Monitors memory and number of a measurement's processes through /proc, and ends them."""

import os
import signal
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

MIB = 1024 * 1024
PAGE = os.sysconf("SC_PAGE_SIZE")
SAMPLE_INTERVAL_S = 0.25
GRACE_S = 5.0  # for a part to end its own processes after an interruption, before they are killed

Process = tuple[int, int]  # id and start time, since the system may reuse the id alone


def _identify(pid: int) -> Process | None:
    """Return the live process with that id; None if there is none or it is a zombie."""
    with suppress(OSError, ValueError, IndexError):
        rest = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        if rest[0] not in "ZX":
            return pid, int(rest[19])
    return None


def _children(pid: int) -> list[int]:
    children = []
    with suppress(OSError):
        for task in os.listdir(f"/proc/{pid}/task"):
            with suppress(OSError):
                children += [int(c) for c in Path(f"/proc/{pid}/task/{task}/children").read_text().split()]
    return children


def _resident_mib(pid: int) -> float:
    """Return the resident memory. Shared pages count in each process, so that sums are upper bounds."""
    with suppress(OSError, ValueError, IndexError):
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / MIB
    return 0.0


class Peaks:
    """Records the peak memory and number of this process and its descendants, and reports exceeded limits.

    Processes passed to ``track`` and their descendants are included.
    """

    def __init__(
        self, max_memory_mib: float, max_processes: int, max_s: float, on_exceeded: Callable[[str], None]
    ) -> None:
        """Set the limits; ``on_exceeded`` is called once, from the sampling thread."""
        self.memory_mib, self.processes = 0.0, 0
        self._limits = (max_memory_mib, max_processes, max_s)
        self._on_exceeded, self._started_at = on_exceeded, time.monotonic()
        self._known: set[Process] = set()
        self._lock, self._stop = threading.Lock(), threading.Event()
        self._thread = threading.Thread(target=self._run, name="peaks", daemon=True)

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since this object was created."""
        return time.monotonic() - self._started_at

    def start(self) -> None:
        """Start the sampling thread."""
        self._thread.start()

    def track(self, pid: int) -> None:
        """Include a process and its descendants, even if it is not a descendant of this one."""
        if (process := _identify(pid)) is not None:
            with self._lock:
                self._known.add(process)

    def sample(self) -> None:
        """Update the peaks with the current values."""
        live = self._live()
        memory = sum(_resident_mib(pid) for pid, _ in live) + _resident_mib(os.getpid())
        self.memory_mib = max(self.memory_mib, memory)
        self.processes = max(self.processes, len(live) + 1)

    def _live(self) -> set[Process]:
        """Return the live processes except this one.

        They are kept for the next call, since a parent may end before its child.
        """
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
        while not self._stop.wait(SAMPLE_INTERVAL_S):
            self.sample()
            mib, processes, seconds = self._limits
            for exceeded, reason in (
                (self.memory_mib > mib, f"over {mib:,.0f} MiB"),
                (self.processes > processes, f"over {processes} processes"),
                (self.elapsed_s > seconds, f"over {seconds:,.0f} s"),
            ):
                if exceeded:
                    self._on_exceeded(f"{reason} after {self.elapsed_s:.0f} s")
                    return

    def close(self) -> list[int]:
        """Stop sampling, end all remaining processes with a grace of 2 s, and return their ids."""
        self._stop.set()
        if self._thread.ident is not None and threading.current_thread() is not self._thread:
            self._thread.join()
        return self.end_all(2.0)

    def end_all(self, grace_s: float) -> list[int]:
        """Send SIGTERM, after ``grace_s`` SIGKILL, to all remaining processes; return their ids."""
        left = {pid for pid, _ in self._live()}
        for number, wait_s in ((signal.SIGTERM, grace_s), (signal.SIGKILL, 2.0)):
            until = time.monotonic() + wait_s
            for process in self._live():
                with suppress(ProcessLookupError):
                    os.kill(process[0], number)
            while self._live() and time.monotonic() < until:
                time.sleep(0.02)
        return sorted(left)
