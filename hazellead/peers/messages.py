"""What members say to each other: msgpack frames with a length, a schema version and a bound on their size.

Sans-I/O. Every struct is an array whose fields are only ever added at the end, with defaults, so an older
and a newer instance understand each other: an older one passes over fields that it does not know, a newer
one fills in what is missing, and a message of an unknown kind is passed over whole.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec

from hazellead.learning.facts import Origin
from hazellead.learning.store import Batch

VERSION = 1
HEADER = struct.Struct(">BBI")  # magic, version, length of the body
MAGIC = 0x68


class MessageError(Exception):
    """Bytes that are no message of ours, or more of them than fit; the connection is of no more use."""


class Standing(IntEnum):
    """What a rumour says of a member. Among equal incarnations the higher one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Word of one member."""

    name: str
    address: str
    incarnation: int
    standing: int
    by: str = ""  # who says so: independent suspicions count


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Asks whether its receiver, called ``target``, lives."""

    seq: int
    target: str
    rumours: list[Rumour] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Answers a ping, or passes on the answer that another gave to a helper."""

    seq: int
    rumours: list[Rumour] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False):
    """Asks a helper to ping ``target``."""

    seq: int
    target: str
    address: str
    rumours: list[Rumour] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False):
    """A helper's word that it got no answer either; so the asker knows that it is not itself cut off."""

    seq: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False):
    """All that a member holds of the membership; ``reply`` asks for the same."""

    rumours: list[Rumour]
    reply: bool = True


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=6, gc=False):
    """How far each origin's facts are known, or only the fingerprint of that.

    ``now`` is the sender's clock.
    """

    fingerprint: int
    now: int
    rows: list[tuple[Origin, int]] | None = None
    reply: bool = True  # the receiver may ask in turn for what it lacks
    urgent: bool = False  # a new instance: as much as fits at once


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=7, gc=False):
    """Facts that the receiver lacks."""

    now: int
    batches: list[Batch]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=8, gc=False):
    """Begins a connection: who speaks, and where it can be reached. The certificate must agree."""

    name: str
    address: str
    cluster: str = ""


Message = Ping | Ack | PingRequest | Nack | Sync | Digest | Delta | Hello

_KNOWN = frozenset(range(1, 9))
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_any = msgspec.msgpack.Decoder()


@dataclass(slots=True, frozen=True)
class Bounds:
    """How large things may be."""

    frame: int = 1024 * (128 + 128 + 300 + 32)  # a Sync of 1,024 members, each rumour as long as may be
    rumours: int = 4096  # in one Sync
    piggyback: int = 12  # in any other message
    rows: int = 4096
    facts: int = 16_384


def encode(message: Message) -> bytes:
    """Write a message as one frame."""
    body = _encoder.encode(message)
    return HEADER.pack(MAGIC, VERSION, len(body)) + body


def decode(body: bytes, bounds: Bounds) -> Message | None:
    """Read a frame's body; None for a kind that this version does not know. Raises MessageError."""
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        if _unknown(body):
            return None
        raise MessageError(f"unreadable message: {error}") from None
    _check(message, bounds)
    return message


def _unknown(body: bytes) -> bool:
    try:
        raw: Any = _any.decode(body)
    except Exception:  # whatever is wrong with it, it is no kind that a newer version might send
        return False
    return isinstance(raw, list) and bool(raw) and type(raw[0]) is int and raw[0] not in _KNOWN


def _check(message: Message, bounds: Bounds) -> None:
    match message:
        case Sync():
            if len(message.rumours) > bounds.rumours:
                raise MessageError("too many rumours")
            _check_rumours(message.rumours)
        case Ping() | Ack() | PingRequest():
            if len(message.rumours) > bounds.piggyback:
                raise MessageError("too many rumours")
            _check_rumours(message.rumours)
        case Digest():
            if message.rows is not None and len(message.rows) > bounds.rows:
                raise MessageError("too many origins")
            for origin, _ in message.rows or ():
                _check_name(origin.name)
        case Delta():
            if sum(len(b.facts) for b in message.batches) > bounds.facts:
                raise MessageError("too many facts")
            for batch in message.batches:
                _check_name(batch.origin.name)
        case Hello():
            _check_name(message.name)
        case _:
            pass


def _check_rumours(rumours: list[Rumour]) -> None:
    for rumour in rumours:
        _check_name(rumour.name)
        if len(rumour.address) > 300 or len(rumour.by) > 128 or not 0 <= rumour.incarnation < 1 << 62:
            raise MessageError("a rumour out of bounds")
        if rumour.standing not in (0, 1, 2, 3):
            raise MessageError("a rumour of no known standing")


def _check_name(name: str) -> None:
    if not 0 < len(name) <= 128 or not name.isprintable():
        raise MessageError("a name that is none")


class Reader:
    """Takes bytes in and gives messages out; holds one frame at most."""

    def __init__(self, bounds: Bounds) -> None:
        """Start empty."""
        self._bounds, self._buffer = bounds, bytearray()

    @property
    def empty(self) -> bool:
        """Say whether no part of a frame is held."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Message]:
        """Take bytes in; return the messages that are whole. Raises MessageError at the first bad one."""
        self._buffer += data
        messages: list[Message] = []
        at = 0
        while len(self._buffer) - at >= HEADER.size:
            magic, version, length = HEADER.unpack_from(self._buffer, at)
            if magic != MAGIC or version == 0:
                raise MessageError("not a peer")
            # Guards memory: the length is refused before a byte of the body is held.
            if length > self._bounds.frame:
                raise MessageError(f"a frame of {length} bytes")
            if len(self._buffer) - at < HEADER.size + length:
                break
            body = bytes(self._buffer[at + HEADER.size : at + HEADER.size + length])
            at += HEADER.size + length
            if message := decode(body, self._bounds):
                messages.append(message)
        del self._buffer[:at]
        return messages
