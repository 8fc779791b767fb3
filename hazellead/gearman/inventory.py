"""The worker inventory: a file of workers, polled for changes; inventory_formats.py reads its two forms."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime
from pathlib import Path

import structlog
from tornado.ioloop import PeriodicCallback

from hazellead.core.clock import EPOCH, Clock, to_us
from hazellead.decide import interface as api
from hazellead.gearman.inventory_formats import LineError, csv_rows, yaml_rows
from hazellead.limits import Limits
from hazellead.platform.config import ConfigError, Names, address, name_index
from hazellead.platform.server_list import kind_number, zone_number
from hazellead.platform.workers import WorkerEndpoint

log = structlog.get_logger()

_STATES = {"": api.Phase.READY, "up": api.Phase.READY, "draining": api.Phase.DRAINING, "down": api.Phase.GONE}


@dataclass(slots=True, frozen=True)
class Host:
    """One worker of the inventory; the worker number in ``entry`` is not set yet."""

    name: str
    protocol: str
    entry: api.WorkerEntry
    endpoint: WorkerEndpoint | None  # None unless the protocol is HTTP
    zone: str  # kept by name, since new settings may renumber zones and kinds
    kind: str

    def numbered(self, names: Names) -> "Host":
        """Return this host with the numbers that these names give to its zone and kind."""
        zone, kind = zone_number(names, self.zone), kind_number(names, self.kind)
        return replace(self, entry=replace(self.entry, zone=zone, kind=kind))


def read(path: Path, names: Names, limits: Limits) -> list[Host]:
    """Read an inventory; raises ConfigError with the file and line of the error."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    if len(data) > limits.inventory:
        raise ConfigError(f"{path}: larger than {limits.inventory} bytes")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data[:error.start].count(b"\n") + 1
        raise ConfigError(f"{path}:{line}: not UTF-8") from None
    rows = yaml_rows if path.suffix in (".yml", ".yaml") else csv_rows
    hosts: dict[str, Host] = {}
    try:
        for line, row in rows(text, limits):
            host = _host(line, row, names)
            if host.name in hosts:
                raise LineError(line, f"{host.name} is listed twice")
            hosts[host.name] = host
    except LineError as error:
        raise ConfigError(f"{path}:{error.line}: {error}") from None
    return list(hosts.values())


def _host(line: int, row: dict[str, str], names: Names) -> Host:
    name, protocol, state = row["name"], row.get("protocol", "") or "gearman", row.get("state", "")
    if not name or not name.isprintable() or " " in name:
        raise LineError(line, "name is missing or has blanks")
    if protocol not in ("gearman", "http"):
        raise LineError(line, f"protocol must be gearman or http, not {protocol}")
    if state not in _STATES:
        raise LineError(line, f"state must be up, draining or down, not {state}")
    zone, kind = row.get("zone", ""), row.get("model", "")
    for column, value, known in (("zone", zone, names.zones), ("model", kind, names.kinds)):
        if value and name_index(known, value) < 0:
            raise LineError(line, f"{column} {value} is not in the settings")
    endpoint = None
    if protocol == "http":
        try:
            endpoint = WorkerEndpoint(name, *address(row.get("address", ""), "address"))
        except ConfigError as error:
            raise LineError(line, str(error)) from None
    entry = api.WorkerEntry(0, location=api.Location(zone or None), phase=_STATES[state])
    return Host(name, protocol, entry, endpoint, zone, kind).numbered(names)


def _signature(path: Path) -> tuple[int, int, int] | None:
    try:
        stat = path.stat()
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


class Inventory:
    """The worker directory of the Gearman frontend; it publishes the worker list whenever it changes.

    A Gearman worker whose state is up is published as GONE while it is not connected.
    """

    def __init__(
        self, path: Path, names: Names, limits: Limits, clock: Clock,
        listener: Callable[[api.WorkerList], None], on_change: Callable[[], None],
    ) -> None:
        """Read the file and pass ``listener`` the list; raises ConfigError.

        From then on the file is polled. Each later list goes to ``listener``, followed by ``on_change``.
        """
        self._path, self._names, self._limits, self._clock = path, names, limits, clock
        self._listener, self._on_change = listener, on_change
        self._started = clock.now()
        self._numbers: dict[str, int] = {}
        self._hosts: dict[int, Host] = {}
        self._connected: dict[str, datetime] = {}  # by worker name, when it connected
        self._last_signature = self._read_signature = _signature(path)
        self._merge(read(path, names, limits))
        self._listener(api.WorkerList(api.ListKind.CACHED, self._entries()))
        self._poller = PeriodicCallback(self.poll, limits.inventory_poll)
        self._poller.start()

    def endpoint(self, worker: int) -> WorkerEndpoint | None:
        """Return the address of an HTTP worker; None for other and unknown workers."""
        return self._hosts[worker].endpoint if worker in self._hosts else None

    def name(self, worker: int) -> str:
        """Return a worker's name; empty if it is unknown."""
        return self._hosts[worker].name if worker in self._hosts else ""

    def has_gearman_worker(self, name: str) -> bool:
        """Return whether the file lists, or has listed, a Gearman worker of this name."""
        return any(h.name == name and h.protocol == "gearman" for h in self._hosts.values())

    def list_expired(self) -> bool:
        """Return False: the file is polled ten times a second, and the last list stays valid on errors."""
        return False

    def subscribe(self) -> None:
        """Publish the current list; changes are published in any case."""
        self._publish()

    def fetch(self) -> None:
        """Publish the current list."""
        self._publish()

    def set_connected(self, name: str, connected: bool) -> None:
        """Record that a Gearman worker has connected, or that its last connection has closed."""
        if connected:
            self._connected[name] = self._clock.now()
        else:
            self._connected.pop(name, None)
        if self.has_gearman_worker(name):
            self._publish()
        elif connected:
            log.warning("gearman_worker_unknown", worker=name)

    def poll(self) -> None:
        """Read the file again once it has changed and then stayed the same for a whole poll interval.

        A half-written file would otherwise be read as a fleet that has shrunk. Two polls take much less time
        than a drain may.
        """
        previous, self._last_signature = self._last_signature, _signature(self._path)
        if self._last_signature == self._read_signature or self._last_signature != previous:
            return
        self._read_signature = self._last_signature
        try:
            hosts = read(self._path, self._names, self._limits)
        except ConfigError as error:
            log.error("inventory_kept", reason=str(error))
            return
        self._apply(hosts)

    def _apply(self, hosts: list[Host]) -> None:
        self._merge(hosts)
        log.info("inventory_read", workers=len(hosts))
        self._publish()

    def switch(self, path: Path, names: Names) -> None:
        """Switch to another file and other names of zones and kinds.

        If the file cannot be used with them, ConfigError is raised and nothing changes.
        """
        if path == self._path and names.same_zones_and_kinds(self._names):
            return
        signature = _signature(path)
        hosts = read(path, names, self._limits)
        self._path, self._last_signature, self._read_signature = path, signature, signature
        self._names = names
        self._hosts = {number: host.numbered(names) for number, host in self._hosts.items()}
        self._apply(hosts)

    def close(self) -> None:
        """Stop polling the file."""
        self._poller.stop()

    def _merge(self, hosts: list[Host]) -> None:
        for host in hosts:
            self._numbers.setdefault(host.name, len(self._numbers) + 1)
        listed = {self._numbers[h.name]: h for h in hosts}
        # Removed workers stay known as GONE, since attempts on them may still be unfinished.
        gone = {n: replace(h, entry=replace(h.entry, phase=api.Phase.GONE)) for n, h in self._hosts.items()}
        self._hosts = gone | listed

    def _entries(self) -> tuple[api.WorkerEntry, ...]:
        return tuple(replace(self._entry(host), worker=number) for number, host in self._hosts.items())

    def _entry(self, host: Host) -> api.WorkerEntry:
        if host.protocol == "http" or host.entry.phase is not api.Phase.READY:
            return host.entry
        since = self._connected.get(host.name)
        if since is None:
            return replace(host.entry, phase=api.Phase.GONE)
        # A worker that connects long after this process started has itself just started: it is cold, and
        # gets fewer jobs at first.
        cold = since - self._started > self._limits.worker_return
        return replace(host.entry, started_us=to_us(since - EPOCH) if cold else 0)

    def _publish(self) -> None:
        self._listener(api.WorkerList(api.ListKind.FULL, self._entries()))
        self._on_change()
