"""Reads the platform's configuration. Its settings go through the simulator's reader."""

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from hazellead.core.clock import from_us, to_us
from hazellead.decide.interface import Settings
from hazellead.limits import Limits
from hazellead.sim import wire


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


def word(value: Any) -> str:
    """Write a plain value as the simulator's settings have it."""
    if isinstance(value, bool):
        return str(value).lower()
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: Any, path: str = "") -> list[str]:
    """Turn nested settings into the lines of path=value that ``wire.settings`` reads."""
    if isinstance(value, dict):
        return [line for k, v in value.items() for line in flatten(v, f"{path}.{k}" if path else k)]
    if isinstance(value, list):
        if any(isinstance(v, dict | list) for v in value):
            lines = [f"{path}.count={len(value)}"]
            return lines + [line for i, v in enumerate(value) for line in flatten(v, f"{path}.{i}")]
        return [f"{path}={','.join(word(v) for v in value)}"]
    return [f"{path}={'' if value is None else word(value)}"]


@dataclass(slots=True, frozen=True)
class Names:
    """What the settings call classes, tenants, zones and kinds; numbers are places in these lists."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]

    @staticmethod
    def read(table: Mapping[str, str]) -> "Names":
        """Take the names from the settings' table."""
        def named(path: str) -> tuple[str, ...]:
            count = int(float(table.get(f"{path}.count", "0")))
            return tuple(table.get(f"{path}.{i}.name", str(i)) for i in range(count))

        def listed(path: str) -> tuple[str, ...]:
            return tuple(name for name in table.get(path, "").split(",") if name)

        return Names(named("requestClasses"), named("tenants"), listed("azs"), listed("kinds"))


def place(names: tuple[str, ...], name: str) -> int:
    """Return a name's number, or -1."""
    return names.index(word(name)) if word(name) in names else -1


@dataclass(slots=True, frozen=True)
class Config:
    """All that a scheduler is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None
    seed: int
    known: dict[str, Any]  # the list of servers as last held; it may be old
    settings: Settings
    names: Names
    limits: Limits
    console: tuple[str, int] | None = None
    shape: frozenset[str] = frozenset()  # the keys that the file had
    known_elsewhere: bool = False  # another discovery has told the list
    handover: str | None = None  # where a process that is to replace this one asks for it, if that is offered


def fixed(given: Config, new: Config) -> list[str]:
    """Name what a new configuration changes that counts from the next start only."""
    limits = new.limits.with_settings_times(given.limits)
    kept = [what for what in ("name", "listen", "console") if getattr(given, what) != getattr(new, what)]
    return kept + ["limits"] * (limits != given.limits)


def shape(value: Any, path: str = "") -> frozenset[str]:
    """Return the paths of all keys; of a list's objects those that every one of them has."""
    if isinstance(value, dict):
        below = [shape(v, f"{path}.{k}" if path else k) for k, v in value.items() if path or k != "known"]
        return frozenset(f"{path}.{k}" if path else k for k in value).union(*below)
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        return frozenset.intersection(*(shape(v, f"{path}[]") for v in value))
    return frozenset()


def complete(held: Config, new: Config) -> None:
    """Guard against a file that is not whole: all keys of the one in force must be there."""
    if missing := sorted(held.shape - new.shape):
        raise ConfigError(f"{missing[0]} is missing")


def address(text: Any, what: str) -> tuple[str, int]:
    """Split host:port."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{what} is no address: {text!r}")
    return host.strip("[]"), int(port)


def written(address: tuple[str, int]) -> str:
    """Write an address as the configuration has it."""
    return f"{address[0]}:{address[1]}"


def read_settings(nested: Any) -> tuple[Settings, Names, dict[str, str]]:
    """Read nested settings."""
    if not isinstance(nested, dict):
        raise ConfigError("settings are missing")
    positive(nested)
    text = "\n".join(flatten(nested))
    try:
        settings, names, table = wire.settings(text), Names.read(table := wire.pairs(text)), table
    except (ValueError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from None
    for what, some in (("requestClasses", names.classes), ("tenants", names.tenants)):
        if len(set(some)) < len(some):
            raise ConfigError(f"settings: {what}: two of one name")
    return settings, names, table


def positive(nested: dict[str, Any]) -> None:
    """Guard against deadlines and attempts that are no numbers above 0: a text would pass for one later."""
    classes, caps = nested.get("requestClasses"), nested.get("caps")
    for i, row in enumerate(classes if isinstance(classes, list) else []):
        if not isinstance(row, dict):
            raise ConfigError(f"settings: requestClasses.{i} is no object")
        _above_0(f"requestClasses.{i}.hardLimitUs", row.get("hardLimitUs", 1))
    _above_0("caps.maxAttempts", caps.get("maxAttempts", 1) if isinstance(caps, dict) else 1)


def _above_0(what: str, value: Any) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigError(f"settings: {what} is no number above 0: {value!r:.40}")


def fit_limits(
    settings: Settings, table: Mapping[str, str], sockets: int, memory_mb: int, *, gearman: bool = False,
    console: bool = False,
) -> Limits:
    """Fill the limits in from what the deployment allows."""
    try:
        held = int(float(table.get("caps.mostHeld", "0"))) or sockets
    except ValueError:
        raise ConfigError("settings: bad setting: caps.mostHeld") from None
    connect, idle = from_us(settings.connect_timeout_us), from_us(settings.conn_idle_us)
    longest = from_us(max(c.deadline_us for c in settings.classes))
    return Limits.fit(
        sockets, memory_mb, held, connect, idle, longest=longest,
        most_wait=from_us(settings.max_retry_after_us),
        drain_grace=from_us(settings.drain_grace_us), gearman=gearman, console=console)


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that GW_CONFIG names; the other variables of the platform stand in for what it lacks."""
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        given = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(given, dict):
        raise ConfigError(f"{path}: not an object")
    read, folder = assemble(given, path, environment), environment.get("TMPDIR")
    if read.console and folder:
        read = replace(read, handover=f"{folder}/hazellead-{read.listen[1]}.sock")
    return read


def assemble(
    given: dict[str, Any], path: str, environment: Mapping[str, str], *, gearman: bool = False,
) -> Config:
    """Make a configuration out of what a file holds."""
    settings, names, table = read_settings(given.get("settings"))
    limits = given.get("limits") or {}
    known = given.get("known") or {}
    if not isinstance(limits, dict) or not isinstance(known, dict):
        raise ConfigError(f"{path}: limits and known are objects")
    try:
        sockets, memory_mb = int(limits.get("sockets", 1024)), int(limits.get("memory_mb", 192))
        seed = int(str(given.get("seed", "0")), 16)
    except (TypeError, ValueError):
        raise ConfigError(f"{path}: limits are numbers and seed a hexadecimal one") from None
    discovery = given.get("discovery") or environment.get("GW_DISCOVERY")
    console = given.get("console") or environment.get("GW_CONSOLE")
    fit = fit_limits(settings, table, sockets, memory_mb, gearman=gearman, console=bool(console))
    # The module is told how long connections are kept here, so that what it thinks of them holds.
    settings = replace(settings, conn_idle_us=to_us(fit.worker_idle))
    return Config(
        name=str(given.get("name") or environment.get("GW_NAME", "")),
        listen=address(given.get("listen") or environment.get("GW_LISTEN"), "listen"),
        discovery=address(discovery, "discovery") if discovery else None,
        seed=seed, known=known, settings=settings, names=names,
        limits=fit,
        console=address(console, "console") if console else None,
        shape=shape(given),
    )


def parse_span(text: str) -> timedelta | None:
    """Read a number with its unit, m for milliseconds or u for microseconds."""
    number, unit = text[:-1], text[-1:]
    if not number.isascii() or not number.isdigit() or len(number) > 12 or unit not in ("m", "u"):
        return None
    return timedelta(milliseconds=int(number)) if unit == "m" else timedelta(microseconds=int(number))
