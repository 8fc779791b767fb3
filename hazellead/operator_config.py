"""Reads an operator's configuration file: the platform's settings in TOML, and optional parts."""

import secrets
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from hazellead.platform.config import Config, ConfigError, assemble

if TYPE_CHECKING:  # optional parts are imported only if the file enables them
    from hazellead.gearman.config import GearmanConfig
    from hazellead.peers.config import PeersConfig

KEYS = frozenset({"name", "listen", "discovery", "seed", "limits", "known", "settings", "gearman", "peers",
                  "learning", "snapshot", "console"})


@dataclass(slots=True, frozen=True)
class OperatorConfig:
    """Contents of an operator's file. A part that it does not enable is None."""

    base: Config
    gearman: "GearmanConfig | None" = None
    peers: "PeersConfig | None" = None


def read_toml(path: Path) -> dict[str, Any]:
    """Parse the file and check its top-level keys; a missing seed is drawn at random. Raises ConfigError."""
    try:
        table = tomllib.loads(path.read_text())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    unknown = sorted(set(table) - KEYS)
    if unknown:
        raise ConfigError(f"{path}: {unknown[0]}: unknown key")
    table.setdefault("seed", secrets.token_hex(8))
    return table


def load(path: Path, environment: Mapping[str, str]) -> OperatorConfig:
    """Read the file; relative paths in it are relative to its folder. Raises ConfigError."""
    table = read_toml(path)
    gearman = peers = None
    if "gearman" in table:
        from hazellead.gearman.config import read as read_gearman

        gearman = read_gearman(table, path, environment)
        base = gearman.base
    else:
        base = assemble(table, str(path), environment)
        if base.discovery is None:
            raise ConfigError(f"{path}: discovery is missing, and there is no [gearman] with an inventory")
    if {"peers", "learning", "snapshot"} & set(table):
        try:
            from hazellead.peers.config import read as read_peers
        except ImportError as error:
            reason = f"[peers] and [snapshot] need requirements-peers.txt ({error.name} is missing)"
            raise ConfigError(f"{path}: {reason}") from None
        peers = read_peers(table, path.parent, base.name)
    return OperatorConfig(base, gearman, peers)
