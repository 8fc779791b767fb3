"""The workers as a configuration tool keeps them: a CSV table, or YAML as Ansible has it.

CSV: a header line with the columns of ``FIELDS``. YAML: groups with ``hosts``, ``vars`` and ``children``; the
same names are host variables, a group's variables hold for its hosts, and the nearest to the host wins.
"""

import csv
import io
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime
from pathlib import Path

import structlog
import yaml
from tornado.ioloop import PeriodicCallback
from yaml.nodes import MappingNode, Node, ScalarNode

from hazellead.core.clock import EPOCH, Clock, to_us
from hazellead.decide import interface as api
from hazellead.limits import Limits
from hazellead.platform.config import ConfigError, Names, address, name_index
from hazellead.platform.workers import WorkerEndpoint

log = structlog.get_logger()

FIELDS = ("name", "address", "protocol", "zone", "model", "state")
_STATES = {"": api.Phase.READY, "up": api.Phase.READY, "draining": api.Phase.DRAINING, "down": api.Phase.GONE}


@dataclass(slots=True, frozen=True)
class Host:
    """One worker of the inventory."""

    name: str
    protocol: str
    entry: api.WorkerEntry
    where: WorkerEndpoint | None  # for those that speak HTTP


Row = tuple[int, dict[str, str]]  # the line it stands on, and its fields


def read(path: Path, names: Names, limits: Limits) -> list[Host]:
    """Read an inventory; ConfigError names file and line of what is wrong."""
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
    rows = _yaml_rows if path.suffix in (".yml", ".yaml") else _csv_rows
    hosts: dict[str, Host] = {}
    try:
        for line, row in rows(text, limits):
            host = _host(line, row, names)
            if host.name in hosts:
                raise _LineError(line, f"{host.name} stands here twice")
            hosts[host.name] = host
    except _LineError as error:
        raise ConfigError(f"{path}:{error.line}: {error}") from None
    return list(hosts.values())


class _LineError(Exception):
    def __init__(self, line: int, why: str) -> None:
        super().__init__(why)
        self.line = line


def _csv_rows(text: str, _: Limits) -> Iterator[Row]:
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    columns: list[str] = []
    try:
        for cells in reader:
            cells = [cell.strip() for cell in cells]
            if not any(cells) or cells[0].startswith("#"):
                continue
            if not columns:
                columns = cells
                known = set(columns) <= set(FIELDS) and len(set(columns)) == len(columns)
                if "name" not in columns or not known:
                    raise _LineError(reader.line_num, f"the header names columns out of {', '.join(FIELDS)}")
            elif len(cells) != len(columns):
                raise _LineError(reader.line_num, f"{len(cells)} cells for {len(columns)} columns")
            else:
                yield reader.line_num, dict(zip(columns, cells, strict=True))
    except csv.Error as error:
        raise _LineError(reader.line_num, str(error)) from None
    if not columns:
        raise _LineError(1, "no header")


def _yaml_rows(text: str, limits: Limits) -> Iterator[Row]:
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise _LineError(mark.line + 1 if mark else 1, error.problem or "not YAML") from None
    except (yaml.YAMLError, RecursionError) as error:
        raise _LineError(1, str(error).partition("\n")[0]) from None
    found: dict[str, Row] = {}
    for _, group in _items(root):
        _group(group, {}, found, limits.group_depth)
    yield from found.values()


def _group(group: Node, given: dict[str, str], found: dict[str, Row], depth: int) -> None:
    if depth < 0:
        raise _LineError(_line(group), "groups too deep")
    parts = {key: node for (key, _), node in _items(group)}
    if odd := set(parts) - {"hosts", "vars", "children"}:
        raise _LineError(_line(group), f"a group has hosts, vars and children, not {sorted(odd)[0]}")
    inner = given | (_fields(parts["vars"]) if "vars" in parts else {})
    for (name, line), node in _items(parts["hosts"]) if "hosts" in parts else ():
        # A host may stand in several groups, and its fields come together.
        earlier = found[name][1] if name in found else {}
        found[name] = line, {**earlier, **inner, **_fields(node), "name": name}
    for _, child in _items(parts["children"]) if "children" in parts else ():
        _group(child, inner, found, depth - 1)


def _fields(node: Node) -> dict[str, str]:  # variables meant for others are passed over
    plain = {key: value for (key, _), value in _items(node) if key in FIELDS[1:]}
    for key, value in plain.items():
        if not isinstance(value, ScalarNode):
            raise _LineError(_line(value), f"{key} is a plain value")
    return {key: "" if value.tag.endswith(":null") else str(value.value) for key, value in plain.items()}


def _items(node: Node | None) -> Iterator[tuple[tuple[str, int], Node]]:
    if node is None or isinstance(node, ScalarNode) and node.tag.endswith(":null"):
        return
    if not isinstance(node, MappingNode):
        raise _LineError(_line(node), "names with values are wanted here")
    for key, value in node.value:
        yield (str(key.value), _line(key)), value


def _line(node: Node) -> int:
    return int(node.start_mark.line) + 1


def _host(line: int, row: dict[str, str], names: Names) -> Host:
    name, protocol, state = row["name"], row.get("protocol", "") or "gearman", row.get("state", "")
    if not name or not name.isprintable() or " " in name:
        raise _LineError(line, "name is missing or has blanks")
    if protocol not in ("gearman", "http"):
        raise _LineError(line, f"protocol is gearman or http, not {protocol}")
    if state not in _STATES:
        raise _LineError(line, f"state is up, draining or down, not {state}")
    numbers = []
    for what, known in (("zone", names.zones), ("model", names.kinds)):
        given = row.get(what, "")
        numbers.append(name_index(known, given) if given else 0)
        if numbers[-1] < 0:
            raise _LineError(line, f"{what} {given} is not in the settings")
    where = None
    if protocol == "http":
        try:
            where = WorkerEndpoint(name, *address(row.get("address", ""), "address"))
        except ConfigError as error:
            raise _LineError(line, str(error)) from None
    return Host(name, protocol, api.WorkerEntry(0, numbers[0], numbers[1], 0, _STATES[state]), where)


def _signature(path: Path) -> tuple[int, int, int] | None:
    try:
        stat = path.stat()
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


class Inventory:
    """The worker directory of the Gearman front. One that speaks Gearman counts as there once it connects."""

    def __init__(
        self, path: Path, names: Names, limits: Limits, clock: Clock,
        listener: Callable[[api.WorkerList], None], changed: Callable[[], None],
    ) -> None:
        """Read the file, tell the listener, and call ``changed`` after each later word."""
        self._path, self._names, self._limits, self._clock = path, names, limits, clock
        self._listener, self._changed = listener, changed
        self._begun = clock.now()
        self._numbers: dict[str, int] = {}
        self._hosts: dict[int, Host] = {}
        self._connected: dict[str, datetime] = {}  # since when
        self._seen = self._read = _signature(path)
        self._keep(read(path, names, limits))
        self._listener(api.WorkerList(api.ListKind.CACHED, self._entries()))
        self._poller = PeriodicCallback(self.look, limits.inventory_poll)
        self._poller.start()

    def endpoint(self, worker: int) -> WorkerEndpoint | None:
        """Return where a worker listens, if it speaks HTTP."""
        return self._hosts[worker].where if worker in self._hosts else None

    def name(self, worker: int) -> str:
        """Return a worker's name."""
        return self._hosts[worker].name if worker in self._hosts else ""

    def knows(self, name: str) -> bool:
        """Say whether a Gearman worker of this name stands in the file."""
        return any(h.name == name and h.protocol == "gearman" for h in self._hosts.values())

    def list_expired(self) -> bool:
        """Return False: the file is read ten times a second, and its last word holds while it cannot be."""
        return False

    def subscribe(self) -> None:
        """Tell the list as it is; changes are told anyway."""
        self._tell()

    def fetch(self) -> None:
        """Tell the list as it is."""
        self._tell()

    def present(self, name: str, there: bool) -> None:
        """Note that a Gearman worker has connected, or that its last connection has ended."""
        if there:
            self._connected[name] = self._clock.now()
            if not self.knows(name):
                log.warning("gearman_worker_unknown", worker=name)
        else:
            self._connected.pop(name, None)
        self._tell()

    def look(self) -> None:
        """Read the file again once a change to it has stood for a whole poll.

        Guards against taking a half-written file for a fleet that has shrunk. Two polls are well under what
        a drain may take.
        """
        before, self._seen = self._seen, _signature(self._path)
        if self._seen == self._read or self._seen != before:
            return
        self._read = self._seen
        try:
            hosts = read(self._path, self._names, self._limits)
        except ConfigError as error:
            log.error("inventory_kept", reason=str(error))
            return
        self._take(hosts)

    def _take(self, hosts: list[Host]) -> None:
        self._keep(hosts)
        log.info("inventory_read", workers=len(hosts))
        self._tell()

    def move(self, path: Path) -> None:
        """Follow another file from now on; ConfigError, with no change, if it cannot be used."""
        if path == self._path:
            return
        seen = _signature(path)
        hosts = read(path, self._names, self._limits)
        self._path, self._seen, self._read = path, seen, seen
        self._take(hosts)

    def close(self) -> None:
        """Stop looking."""
        self._poller.stop()

    def _keep(self, hosts: list[Host]) -> None:
        for host in hosts:
            self._numbers.setdefault(host.name, len(self._numbers) + 1)
        now = {self._numbers[h.name]: h for h in hosts}
        # Those taken out stay known by name, as gone, for what is still out with them.
        gone = {n: replace(h, entry=replace(h.entry, phase=api.Phase.GONE)) for n, h in self._hosts.items()}
        self._hosts = gone | now

    def _entries(self) -> tuple[api.WorkerEntry, ...]:
        return tuple(replace(self._entry(host), worker=number) for number, host in self._hosts.items())

    def _entry(self, host: Host) -> api.WorkerEntry:
        if host.protocol == "http" or host.entry.phase is not api.Phase.READY:
            return host.entry
        since = self._connected.get(host.name)
        if since is None:
            return replace(host.entry, phase=api.Phase.GONE)
        # One that comes when we have long been here has just started: it is cold, and gets less at first.
        cold = since - self._begun > self._limits.worker_return
        return replace(host.entry, started_us=to_us(since - EPOCH) if cold else 0)

    def _tell(self) -> None:
        self._listener(api.WorkerList(api.ListKind.FULL, self._entries()))
        self._changed()
