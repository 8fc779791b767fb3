"""Reads discovery's lists of servers into the decisions' form. No I/O."""

import sys
from dataclasses import dataclass
from typing import Any

from hazellead.core.clock import to_us
from hazellead.decide import interface as api
from hazellead.net import streams
from hazellead.platform.config import ConfigError, Names, address, place
from hazellead.platform.workers import Place

PHASES = {"up": api.Phase.READY, "draining": api.Phase.DRAINING, "removed": api.Phase.GONE}


class ListError(Exception):
    """Discovery answered with something that is not a usable list; the text says why."""


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One line of a list: for the decisions, for calling it, and the names that settings may renumber."""

    entry: api.WorkerEntry
    place: Place | None
    zone: str
    kind: str


@dataclass(slots=True, frozen=True)
class ServerList:
    """One answer of discovery: the whole list, or the entries that have changed."""

    version: int
    whole: bool
    servers: tuple[ListedServer, ...]


class ServerNumbers:
    """The decisions' numbers for servers' names. A name keeps its number for the life of the process."""

    def __init__(self) -> None:
        """Start with none."""
        self._numbers: dict[str, int] = {}

    def find(self, uid: str) -> int | None:
        """Return a server's number, if it has been named."""
        return self._numbers.get(uid)

    def assign(self, uid: str) -> int:
        """Return a server's number; a new name gets the next."""
        return self._numbers.setdefault(uid, len(self._numbers) + 1)


def read_list(given: Any, numbers: ServerNumbers, names: Names) -> ServerList:
    """Read one answer; raises ListError."""
    try:
        version, whole = int(given["rev"]), given["all"]
        if not isinstance(whole, bool):
            raise TypeError("all is true or false")
        servers = tuple(_read_server(target, numbers, names) for target in given["targets"])
    except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise ListError(f"malformed list: {error}") from None
    return ServerList(version, whole, servers)


def _read_server(target: Any, numbers: ServerNumbers, names: Names) -> ListedServer:
    uid = str(target["uid"])
    phase = PHASES.get(target["state"])
    if phase is None:
        raise ValueError(f"unknown state {target['state']!r}")
    endpoint = target.get("endpoint")
    where = Place(uid, *address(endpoint, "endpoint")) if endpoint else None
    zone, kind = sys.intern(str(target.get("az", ""))), sys.intern(str(target.get("model", "")))
    booted = int(target.get("boot_ms") or 0) * streams.MS
    entry = api.WorkerEntry(
        worker=numbers.assign(uid), zone=zone_number(names, zone), kind=kind_number(names, kind),
        cell=int(target.get("pod_group") or 0), phase=phase,
        weight=float(target.get("capacity_hint") or 1.0), started_us=to_us(booted))
    return ListedServer(entry, where, zone, kind)


def zone_number(names: Names, name: str) -> int:
    """Return a zone's number in the settings; 0 for one they do not name."""
    return max(0, place(names.zones, name))


def kind_number(names: Names, name: str) -> int:
    """Return a kind's number in the settings; 0 for one they do not name."""
    return max(0, place(names.kinds, name))
