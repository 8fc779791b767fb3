"""A snapshot's bytes: a fixed head with version, length and checksum, then msgpack. Pure."""

import struct
from datetime import timedelta

import msgspec
import xxhash

from hazellead.core.clock import to_us
from hazellead.learning.store import Batch

MAGIC = b"hzlSNAP\n"
VERSION = 1
HEAD = struct.Struct(">8sHQQ")  # magic, version, length of the body, xxh3 of version, length and body
MOST = 16 * 1024 * 1024


class SnapshotError(Exception):
    """A snapshot that is not to be used; the text says why."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """What is kept: who wrote it, in which installation, when by its clock, and all that it knew."""

    cluster: str
    name: str
    taken: int  # microseconds since the epoch
    batches: list[Batch]


def encode(snapshot: Snapshot) -> bytes:
    """Write a snapshot."""
    body = msgspec.msgpack.encode(snapshot)
    return HEAD.pack(MAGIC, VERSION, len(body), _sum(VERSION, body)) + body


def _sum(version: int, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(struct.pack(">HQ", version, len(body)) + body)


def decode(data: bytes, *, cluster: str, now: int, oldest: timedelta) -> Snapshot:
    """Read a snapshot, or raise SnapshotError: torn, foreign, newer than this version, or too old."""
    if len(data) < HEAD.size:
        raise SnapshotError(f"torn: {len(data)} bytes")
    magic, version, length, checksum = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a snapshot")
    if version > VERSION:
        raise SnapshotError(f"written by a newer version ({version})")
    body = data[HEAD.size :]
    if len(body) != length:
        raise SnapshotError(f"torn: {len(body)} bytes of {length}")
    if _sum(version, body) != checksum:
        raise SnapshotError("its checksum does not match")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"unreadable: {error}") from None
    if snapshot.cluster != cluster:
        raise SnapshotError(f"of another installation: {snapshot.cluster!r}")
    age = now - snapshot.taken
    if age > to_us(oldest):
        raise SnapshotError(f"{age // 1_000_000} s old")
    if age < -to_us(timedelta(minutes=5)):
        raise SnapshotError("taken in the future")
    return snapshot
