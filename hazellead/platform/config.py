"""Reads the platform's configuration file. Its settings are parsed by the simulator's ``wire.settings``."""

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from hazellead.core.clock import from_us, to_us
from hazellead.decide.interface import UNKNOWN_GROUP, Effect, Settings
from hazellead.limits import Limits
from hazellead.platform.completeness import missing_keys
from hazellead.sim import wire


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


def format_value(value: Any) -> str:
    """Return a scalar as text for the simulator's settings, without blanks and commas."""
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
        return [f"{path}={','.join(format_value(v) for v in value)}"]
    return [f"{path}={'' if value is None else format_value(value)}"]


@dataclass(slots=True, frozen=True)
class Names:
    """Names of classes, tenants, zones and kinds; their numbers are the indexes in these tuples."""

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

    def same_zones_and_kinds(self, other: "Names") -> bool:
        """Return whether zones and kinds have the same numbers in both."""
        return (self.zones, self.kinds) == (other.zones, other.kinds)


def name_index(names: tuple[str, ...], name: str) -> int:
    """Return a name's index, or -1 if it is not among the names."""
    return names.index(format_value(name)) if format_value(name) in names else -1


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one scheduler process."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None
    seed: int
    known: dict[str, Any]  # the last known list of servers, in discovery's JSON form; it may be old
    settings: Settings
    names: Names
    limits: Limits
    console: tuple[str, int] | None = None
    content: Mapping[str, Any] = field(default_factory=dict)  # of the file, but the list in ``known``
    known_elsewhere: bool = False  # the known list comes from another discovery
    handover: str | None = None  # path of the hand-over socket for a replacing process; None: no hand-over


def classes_without_group(config: Config) -> list[str]:
    """Return the names of guarded classes that do not say which workers discard repeats: none is repeated."""
    return [name for name, row in zip(config.names.classes, config.settings.classes, strict=False)
            if row.effect is Effect.KEYED and row.group == UNKNOWN_GROUP]


def changes_needing_restart(current: Config, new: Config) -> list[str]:
    """Return the keys that a new configuration changes and that take effect at the next start only."""
    limits = new.limits.with_settings_times(current.limits)
    changed = [key for key in ("name", "listen", "console") if getattr(current, key) != getattr(new, key)]
    return changed + ["limits"] * (limits != current.limits)


def require_all_keys(current: Config, new: Config, *, settings_only: bool) -> None:
    """Raise ConfigError if a key of the current file is missing in the new one, which may be incomplete.

    With ``settings_only`` the keys outside the settings may be left out.
    """
    parts = ("settings",) if settings_only else tuple(current.content)
    for key in missing_keys({part: current.content[part] for part in parts}, new.content):
        raise ConfigError(f"{key} is missing")


def address(text: Any, key: str) -> tuple[str, int]:
    """Split "host:port"; raises ConfigError, which names ``key``, if it is malformed."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{key} is not an address: {text!r}")
    return host.strip("[]"), int(port)


def host_port(address: tuple[str, int]) -> str:
    """Return an address as "host:port"."""
    return f"{address[0]}:{address[1]}"


def read_settings(nested: Any) -> tuple[Settings, Names, dict[str, str]]:
    """Parse the nested settings; also returns them as a table of path and text.

    Raises ConfigError if they are missing or malformed.
    """
    if not isinstance(nested, dict):
        raise ConfigError("settings are missing")
    require_positive(nested)
    text = "\n".join(flatten(nested))
    try:
        settings, names, table = wire.settings(text), Names.read(table := wire.pairs(text)), table
    except (ValueError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from None
    for key, key_names in (("requestClasses", names.classes), ("tenants", names.tenants)):
        if len(set(key_names)) < len(key_names):
            raise ConfigError(f"settings: {key}: two of one name")
    return settings, names, table


def require_positive(nested: dict[str, Any]) -> None:
    """Raise ConfigError for deadlines and attempts that are not numbers above 0.

    Checked before the settings are flattened: then a text could not be told from a number.
    """
    classes, caps = nested.get("requestClasses"), nested.get("caps")
    for i, row in enumerate(classes if isinstance(classes, list) else []):
        if not isinstance(row, dict):
            raise ConfigError(f"settings: requestClasses.{i} must be an object")
        _require_number_above_0(f"requestClasses.{i}.hardLimitUs", row.get("hardLimitUs", 1))
    _require_number_above_0("caps.maxAttempts", caps.get("maxAttempts", 1) if isinstance(caps, dict) else 1)


def _require_number_above_0(key: str, value: Any) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigError(f"settings: {key} must be a number above 0: {value!r:.40}")


def fit_limits(
    settings: Settings, table: Mapping[str, str], sockets: int, memory_mb: int, *, gearman: bool = False,
    console: bool = False,
) -> Limits:
    """Derive the limits from the settings and the deployment's sockets and memory; raises ConfigError."""
    try:
        most_held = int(float(table.get("caps.mostHeld", "0"))) or sockets
    except ValueError:
        raise ConfigError("settings: bad setting: caps.mostHeld") from None
    connect, idle = from_us(settings.connect_timeout_us), from_us(settings.conn_idle_us)
    longest = from_us(max(c.deadline_us for c in settings.classes))
    return Limits.fit(
        sockets, memory_mb, most_held, connect, idle, longest_deadline=longest,
        max_retry_after=from_us(settings.max_retry_after_us), drain_grace=from_us(settings.drain_grace_us),
        gearman=gearman, console=console)


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file named by GW_CONFIG; the other GW_ variables stand in for keys that it lacks.

    Raises ConfigError.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        content = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(content, dict):
        raise ConfigError(f"{path}: not an object")
    config, directory = assemble(content, path, environment), environment.get("TMPDIR")
    if config.console and directory:
        config = replace(config, handover=f"{directory}/hazellead-{config.listen[1]}.sock")
    return config


def assemble(
    content: dict[str, Any], path: str, environment: Mapping[str, str], *, gearman: bool = False,
) -> Config:
    """Build the configuration from a file's content; raises ConfigError."""
    settings, names, table = read_settings(content.get("settings"))
    limits = content.get("limits") or {}
    known = content.get("known") or {}
    if not isinstance(limits, dict) or not isinstance(known, dict):
        raise ConfigError(f"{path}: limits and known must be objects")
    try:
        sockets, memory_mb = int(limits.get("sockets", 1024)), int(limits.get("memory_mb", 192))
        seed = int(str(content.get("seed", "0")), 16)
    except (TypeError, ValueError):
        raise ConfigError(f"{path}: limits must be numbers and seed a hexadecimal number") from None
    discovery = content.get("discovery") or environment.get("GW_DISCOVERY")
    console = content.get("console") or environment.get("GW_CONSOLE")
    fit = fit_limits(settings, table, sockets, memory_mb, gearman=gearman, console=bool(console))
    # The scheduler's model of open connections has to use the idle time that is applied here.
    settings = replace(settings, conn_idle_us=to_us(fit.worker_idle))
    return Config(
        name=str(content.get("name") or environment.get("GW_NAME", "")),
        listen=address(content.get("listen") or environment.get("GW_LISTEN"), "listen"),
        discovery=address(discovery, "discovery") if discovery else None,
        seed=seed, known=known, settings=settings, names=names,
        limits=fit,
        console=address(console, "console") if console else None,
        content=content | {"known": None} if "known" in content else content,
    )


def parse_span(text: str) -> timedelta | None:
    """Parse a number with its unit, m for milliseconds or u for microseconds; None if it is malformed."""
    number, unit = text[:-1], text[-1:]
    if not number.isascii() or not number.isdigit() or len(number) > 12 or unit not in ("m", "u"):
        return None
    return timedelta(milliseconds=int(number)) if unit == "m" else timedelta(microseconds=int(number))
