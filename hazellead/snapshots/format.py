"""Encoding of snapshots: a fixed header with version, length and checksum, then a msgpack body."""

import struct
from datetime import timedelta

import msgspec
import xxhash

from hazellead.core.clock import to_us
from hazellead.learning.store import Batch

MAGIC = b"hzlSNAP\n"
VERSION = 1
HEADER = struct.Struct(">8sHQQ")  # magic, version, length of the body, xxh3 of version, length and body
MAX_BYTES = 16 * 1024 * 1024


class SnapshotError(Exception):
    """A snapshot is unusable; the message gives the reason."""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The facts of member ``name`` of ``cluster``, written at ``written_us`` by that member's clock."""

    cluster: str
    name: str
    written_us: int  # microseconds since the epoch
    batches: list[Batch]


def encode(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    body = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, VERSION, len(body), _checksum(VERSION, body)) + body


def _checksum(version: int, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(struct.pack(">HQ", version, len(body)) + body)


def decode(data: bytes, *, cluster: str, now: int, max_age: timedelta) -> Snapshot:
    """Decode a snapshot written at most ``max_age`` before ``now``.

    Raises SnapshotError if it is truncated, corrupt, of another cluster, of a newer version or too old.
    """
    if len(data) < HEADER.size:
        raise SnapshotError(f"truncated: {len(data)} bytes")
    magic, version, length, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a snapshot")
    if version > VERSION:
        raise SnapshotError(f"written by a newer version ({version})")
    body = data[HEADER.size :]
    if len(body) != length:
        raise SnapshotError(f"truncated: {len(body)} bytes of {length}")
    if _checksum(version, body) != checksum:
        raise SnapshotError("checksum mismatch")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"unreadable: {error}") from None
    if snapshot.cluster != cluster:
        raise SnapshotError(f"of another installation: {snapshot.cluster!r}")
    age = now - snapshot.written_us
    if age > to_us(max_age):
        raise SnapshotError(f"{age // 1_000_000} s old")
    if age < -to_us(timedelta(minutes=5)):
        raise SnapshotError("written in the future")
    return snapshot
