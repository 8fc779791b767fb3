"""Reads an operator's file: the platform's settings in TOML, and the parts that it turns on."""

import secrets
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from hazellead.platform.config import Config, ConfigError, assemble

if TYPE_CHECKING:  # each part is imported where a file turns it on
    from hazellead.gearman.config import GearmanConfig
    from hazellead.peers.config import PeersConfig

KEYS = frozenset({"name", "listen", "discovery", "seed", "limits", "known", "settings", "gearman", "peers",
                  "learning", "snapshot", "console"})


@dataclass(slots=True, frozen=True)
class Operators:
    """What an operator's file sets. A part that it does not turn on is None."""

    base: Config
    gearman: "GearmanConfig | None" = None
    peers: "PeersConfig | None" = None


def read_toml(path: Path) -> dict[str, Any]:
    """Read the file's text; raises ConfigError."""
    try:
        given = tomllib.loads(path.read_text())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    unknown = sorted(set(given) - KEYS)
    if unknown:
        raise ConfigError(f"{path}: {unknown[0]}: unknown key")
    given.setdefault("seed", secrets.token_hex(8))
    return given


def load(path: Path, environment: Mapping[str, str]) -> Operators:
    """Read the file; paths in it are relative to it. Raises ConfigError."""
    given = read_toml(path)
    gearman = peers = None
    if "gearman" in given:
        from hazellead.gearman.config import read as read_gearman

        gearman = read_gearman(given, path, environment)
        base = gearman.base
    else:
        base = assemble(given, str(path), environment)
        if base.discovery is None:
            raise ConfigError(f"{path}: discovery is missing, and there is no [gearman] with an inventory")
    if {"peers", "learning", "snapshot"} & set(given):
        try:
            from hazellead.peers.config import read as read_peers
        except ImportError as error:
            needs = f"[peers] and [snapshot] need requirements-peers.txt ({error.name} is missing)"
            raise ConfigError(f"{path}: {needs}") from None
        peers = read_peers(given, path.parent, base.name)
    return Operators(base, gearman, peers)
