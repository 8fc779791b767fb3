"""Parses discovery's JSON lists of servers into the scheduler's worker entries. No I/O."""

import sys
from dataclasses import dataclass
from typing import Any

from hazellead.core.clock import to_us
from hazellead.decide import interface as api
from hazellead.net import streams
from hazellead.platform.config import ConfigError, Names, address, name_index
from hazellead.platform.workers import WorkerEndpoint

PHASES = {"up": api.Phase.READY, "draining": api.Phase.DRAINING, "removed": api.Phase.GONE}

_PHASE_WORDS = {phase: word for word, phase in PHASES.items()}


class ListError(Exception):
    """An answer of discovery is not a usable list; the text says why."""


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One server of a list: its entry for the scheduler and its address."""

    entry: api.WorkerEntry
    endpoint: WorkerEndpoint | None
    zone: str  # kept by name, since new settings may renumber zones and kinds
    kind: str
    located: bool = True  # False: told by a process that fills in a zone or a cell that it does not know


@dataclass(slots=True, frozen=True)
class ServerList:
    """One answer of discovery: the whole list, or only the entries that have changed."""

    version: int
    whole: bool
    servers: tuple[ListedServer, ...]

    @property
    def version_to_resume(self) -> int | None:
        """Return the version since which changes suffice; None if the whole list has to be requested.

        Changes alone would leave the locations unknown that an older process did not state.
        """
        return self.version if all(server.located for server in self.servers) else None


class ServerNumbers:
    """Assigns numbers to servers' uids. A uid keeps its number for the life of the process."""

    def __init__(self) -> None:
        """Start with no numbers."""
        self._numbers: dict[str, int] = {}

    def find(self, uid: str) -> int | None:
        """Return a server's number, or None if it has none."""
        return self._numbers.get(uid)

    def assign(self, uid: str) -> int:
        """Return a server's number; a new uid gets the next one."""
        return self._numbers.setdefault(uid, len(self._numbers) + 1)


def mark_unstated_locations(told: Any) -> Any:
    """Mark the servers of another process's list whose location that process does not state as known.

    An older version of the program fills in a default for a zone or a cell that it does not know.
    """
    if not isinstance(told, dict) or not isinstance(targets := told.get("targets"), list):
        return told
    return told | {"targets": [
        {"located": False} | target if isinstance(target, dict) else target for target in targets]}


def read_list(answer: Any, numbers: ServerNumbers, names: Names) -> ServerList:
    """Parse one answer's JSON; raises ListError if it is malformed."""
    try:
        version, whole = int(answer["rev"]), answer["all"]
        if not isinstance(whole, bool):
            raise TypeError("all must be true or false")
        servers = tuple(_read_server(target, numbers, names) for target in answer["targets"])
    except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise ListError(f"malformed list: {error}") from None
    return ServerList(version, whole, servers)


def _read_server(target: Any, numbers: ServerNumbers, names: Names) -> ListedServer:
    uid = str(target["uid"])
    phase = PHASES.get(target["state"])
    if phase is None:
        raise ValueError(f"unknown state {target['state']!r}")
    endpoint_text = target.get("endpoint")
    endpoint = WorkerEndpoint(uid, *address(endpoint_text, "endpoint")) if endpoint_text else None
    zone, kind = sys.intern(str(target.get("az") or "")), sys.intern(str(target.get("model") or ""))
    cell = target.get("pod_group")
    location = api.Location(zone or None, None if cell in (None, "") else str(int(cell)))
    located = target.get("located", True) is True
    boot_time = int(target.get("boot_ms") or 0) * streams.MS
    entry = api.WorkerEntry(
        worker=numbers.assign(uid), zone=zone_number(names, zone), kind=kind_number(names, kind),
        location=location if located else api.UNKNOWN_LOCATION, phase=phase,
        weight=float(target.get("capacity_hint") or 1.0), started_us=to_us(boot_time))
    return ListedServer(entry, endpoint, zone, kind, located)


def server_json(server: ListedServer, endpoint: WorkerEndpoint) -> dict[str, Any]:
    """Return a server as a target in discovery's JSON form, for another process of this scheduler."""
    entry = server.entry
    host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
    return {
        "uid": endpoint.uid, "endpoint": f"{host}:{endpoint.port}", "az": server.zone, "model": server.kind,
        "pod_group": entry.location.cell, "located": server.located,
        "state": _PHASE_WORDS[entry.phase], "capacity_hint": entry.weight,
        "boot_ms": entry.started_us // 1000}


def zone_number(names: Names, name: str) -> int:
    """Return a zone's number in the settings; 0 for an unknown zone."""
    return max(0, name_index(names.zones, name))


def kind_number(names: Names, name: str) -> int:
    """Return a kind's number in the settings; 0 for an unknown kind."""
    return max(0, name_index(names.kinds, name))
