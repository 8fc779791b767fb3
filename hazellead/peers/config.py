"""Reads and validates the configuration tables ``[peers]``, ``[learning]`` and ``[snapshot]``."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

from hazellead.learning.facts import LearningSettings, Topic, default_half_lives
from hazellead.peers.keys import KeyFiles, NamePolicy
from hazellead.peers.node import NodeSettings
from hazellead.peers.swim import MS, SwimSettings
from hazellead.platform.config import ConfigError, address

T = TypeVar("T")
Milliseconds = Annotated[int, msgspec.Meta(gt=0, le=3_600_000)]
Seconds = Annotated[int, msgspec.Meta(gt=0, le=31_536_000)]
Count = Annotated[int, msgspec.Meta(gt=0, le=1_000_000)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class _Tls(msgspec.Struct, forbid_unknown_fields=True):
    ca: Name
    cert: Name
    key: Name
    warn_days: Seconds = 14


class _Peers(msgspec.Struct, forbid_unknown_fields=True):
    listen: Name
    tls: _Tls
    cluster: Name = "hazellead"
    advertise: str = ""
    seeds: list[Name] = []
    members: list[Name] = []
    names: str = ""
    start_ms: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 300
    ask: Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    exchange_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 400
    ping_ms: Annotated[int, msgspec.Meta(ge=100, le=60_000)] = 500
    ping_timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=30_000)] = 200
    rate_kib: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 32
    relay: bool = True


class _Learning(msgspec.Struct, forbid_unknown_fields=True):
    enabled: bool = True
    every_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 500
    clamp: Annotated[float, msgspec.Meta(gt=1.0, le=100.0)] = 1.5
    alone: Annotated[float, msgspec.Meta(gt=1.0, le=100.0)] = 4.0
    witnesses: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    most_facts: Count = 20_000
    shun_ms: Milliseconds = 1000
    half_lives_s: dict[str, Seconds] = {}


class _Snapshot(msgspec.Struct, forbid_unknown_fields=True):
    path: Name
    every_s: Seconds = 10
    oldest_s: Seconds = 3600


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """Validated configuration of peers, learning and snapshots."""

    name: str
    cluster: str
    listen: tuple[str, int] | None  # None: no peers, only a snapshot
    advertise: str
    seeds: tuple[str, ...]
    policy: NamePolicy
    keys: KeyFiles | None
    warn_before: timedelta
    start_wait: timedelta
    node: NodeSettings
    learning: LearningSettings
    learn_interval: timedelta
    snapshot: Path | None
    snapshot_interval: timedelta
    snapshot_max_age: timedelta


def _convert(table: str, struct: type[T], value: Any) -> T:
    """Convert one table to its struct; a ConfigError names the key as it stands in the file."""
    try:
        return msgspec.convert(value, struct, strict=True)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        raise ConfigError(f"{table}{path.rstrip('`')}: {text[:1].lower()}{text[1:]}") from None


def present(tables: Mapping[str, Any]) -> bool:
    """Return whether a configuration has any of these tables."""
    return any(key in tables for key in ("peers", "learning", "snapshot"))


def read(tables: Mapping[str, Any], folder: Path, name: str) -> PeersConfig:
    """Read the tables; paths in them are relative to ``folder``. Raises ConfigError."""
    if "peers" not in tables and "snapshot" not in tables:
        raise ConfigError("learning: needs [peers] or [snapshot] as a source of facts")
    if not name:
        raise ConfigError("name: is required with [peers] or [snapshot]")
    peers = _convert("peers", _Peers, tables["peers"]) if "peers" in tables else None
    learning = _convert("learning", _Learning, tables.get("learning", {}))
    snapshot = _convert("snapshot", _Snapshot, tables["snapshot"]) if "snapshot" in tables else None
    if peers:
        _check(peers, name)
    listen = address(peers.listen, "peers.listen") if peers else None
    tls = peers.tls if peers else None
    return PeersConfig(
        name=name, cluster=peers.cluster if peers else "hazellead", listen=listen,
        advertise=(peers.advertise or peers.listen) if peers else "",
        seeds=tuple(peers.seeds) if peers else (),
        policy=NamePolicy(frozenset(peers.members), peers.names) if peers else NamePolicy(),
        keys=KeyFiles(folder / tls.ca, folder / tls.cert, folder / tls.key) if tls else None,
        warn_before=timedelta(days=tls.warn_days if tls else 14),
        start_wait=timedelta(milliseconds=peers.start_ms if peers else 0),
        node=_node(peers) if peers else NodeSettings(), learning=_learning(learning),
        learn_interval=timedelta(milliseconds=learning.every_ms),
        snapshot=folder / snapshot.path if snapshot else None,
        snapshot_interval=timedelta(seconds=snapshot.every_s if snapshot else 10),
        snapshot_max_age=timedelta(seconds=snapshot.oldest_s if snapshot else 3600))


def _check(peers: _Peers, name: str) -> None:
    if not peers.members and not peers.names:
        raise ConfigError("peers: members or names is required to say which instances may be peers")
    for number, seed in enumerate(peers.seeds):
        address(seed, f"peers.seeds[{number}]")
    if peers.advertise:
        address(peers.advertise, "peers.advertise")
    if peers.ping_timeout_ms * 2 > peers.ping_ms:
        raise ConfigError("peers.ping_timeout_ms: is at most half of ping_ms, to leave time for helpers")
    if not NamePolicy(frozenset(peers.members), peers.names).allows(name):
        raise ConfigError(f"peers: this instance's name {name!r} is not in members and does not match names")


def _node(peers: _Peers) -> NodeSettings:
    swim = SwimSettings(period_us=peers.ping_ms * MS, ack_timeout_us=peers.ping_timeout_ms * MS)
    return NodeSettings(
        exchange_us=peers.exchange_ms * MS, bytes_per_s=peers.rate_kib * 1024,
        burst_bytes=2 * peers.rate_kib * 1024, start_contacts=peers.ask, relay=peers.relay, swim=swim)


def _learning(settings: _Learning) -> LearningSettings:
    half_lives = default_half_lives()
    topics = {topic.name.lower(): int(topic) for topic in Topic}
    for key, seconds in settings.half_lives_s.items():
        if key not in topics:
            raise ConfigError(f"learning.half_lives_s.{key}: is none of {', '.join(topics)}")
        half_lives[topics[key]] = seconds * 1_000_000
    return LearningSettings(
        half_lives, settings.clamp, settings.alone, settings.witnesses, settings.most_facts,
        drain_hold=timedelta(milliseconds=settings.shun_ms), enabled=settings.enabled)
