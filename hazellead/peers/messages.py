"""Messages between members: msgpack frames with a schema version, a length and a limit on their size.

Sans-I/O. Every struct is encoded as an array. New fields are only added at its end, with defaults, so that
older and newer versions understand each other: an older one ignores unknown fields, a newer one uses the
defaults of missing fields, and messages of unknown kinds are ignored.
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
    """Invalid or oversized message; the connection must be closed."""


class MemberStatus(IntEnum):
    """Status of a member. For equal incarnations the higher value overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """State of one member, as reported by ``reported_by``."""

    name: str
    address: str
    incarnation: int
    status: int
    reported_by: str = ""  # reporting member; independent suspicions are counted by it


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Asks the receiver, whose name must be ``target``, for an ack."""

    seq: int
    target: str
    updates: list[MemberUpdate] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Answers a ping, directly or through a helper."""

    seq: int
    updates: list[MemberUpdate] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False):
    """Asks a helper to ping ``target`` at ``address``."""

    seq: int
    target: str
    address: str
    updates: list[MemberUpdate] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False):
    """Sent by a helper that got no answer either; it shows the requester that its own connection works."""

    seq: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False):
    """The sender's whole member list; ``reply`` asks for the receiver's."""

    updates: list[MemberUpdate]
    reply: bool = True


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=6, gc=False):
    """The highest fact number that the sender knows of each origin, or only the fingerprint of these.

    ``now`` is the sender's clock in microseconds.
    """

    fingerprint: int
    now: int
    sequences: list[tuple[Origin, int]] | None = None
    reply: bool = True  # the receiver may answer with its own digest to get facts that it lacks
    urgent: bool = False  # the sender has just started and asks for an initial transfer


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=7, gc=False):
    """Facts that the receiver lacks; ``now`` is the sender's clock in microseconds."""

    now: int
    batches: list[Batch]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=8, gc=False):
    """First message of a connection: the sender's name, which its certificate must prove, and address."""

    name: str
    address: str
    cluster: str = ""


Message = Ping | Ack | PingRequest | Nack | Sync | Digest | Delta | Hello

_KNOWN_TAGS = frozenset(range(1, 9))
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_untyped_decoder = msgspec.msgpack.Decoder()


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits on the sizes of messages."""

    frame: int = 1024 * (128 + 128 + 300 + 32)  # bytes; fits a Sync of 1,024 members with the longest names
    updates: int = 4096  # member updates in a Sync
    piggyback: int = 12  # member updates in any other message
    sequences: int = 4096  # origins in a Digest
    facts: int = 16_384  # in a Delta


def encode(message: Message) -> bytes:
    """Encode a message as one frame."""
    body = _encoder.encode(message)
    return HEADER.pack(MAGIC, VERSION, len(body)) + body


def decode(body: bytes, bounds: Bounds) -> Message | None:
    """Decode a frame's body; return None for an unknown kind of message. Raises MessageError."""
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        if _is_unknown_kind(body):
            return None
        raise MessageError(f"unreadable message: {error}") from None
    _check(message, bounds)
    return message


def _is_unknown_kind(body: bytes) -> bool:
    try:
        raw: Any = _untyped_decoder.decode(body)
    except Exception:  # undecodable, so not a kind that a newer version sends
        return False
    return isinstance(raw, list) and bool(raw) and type(raw[0]) is int and raw[0] not in _KNOWN_TAGS


def _check(message: Message, bounds: Bounds) -> None:
    match message:
        case Sync():
            if len(message.updates) > bounds.updates:
                raise MessageError("too many member updates")
            _check_updates(message.updates)
        case Ping() | Ack() | PingRequest():
            if len(message.updates) > bounds.piggyback:
                raise MessageError("too many member updates")
            _check_updates(message.updates)
        case Digest():
            if message.sequences is not None and len(message.sequences) > bounds.sequences:
                raise MessageError("too many origins")
            for origin, _ in message.sequences or ():
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


def _check_updates(updates: list[MemberUpdate]) -> None:
    for update in updates:
        _check_name(update.name)
        if (len(update.address) > 300 or len(update.reported_by) > 128
                or not 0 <= update.incarnation < 1 << 62):
            raise MessageError("member update with an oversized or invalid field")
        if update.status not in (0, 1, 2, 3):
            raise MessageError("member update with an unknown status")


def _check_name(name: str) -> None:
    if not 0 < len(name) <= 128 or not name.isprintable():
        raise MessageError("invalid member name")


class FrameReader:
    """Splits a byte stream into messages; buffers at most one incomplete frame."""

    def __init__(self, bounds: Bounds) -> None:
        """Start with an empty buffer."""
        self._bounds, self._buffer = bounds, bytearray()

    @property
    def empty(self) -> bool:
        """Whether no part of a frame is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes and return the messages now complete. Raises MessageError at the first invalid one."""
        self._buffer += data
        messages: list[Message] = []
        position = 0
        while len(self._buffer) - position >= HEADER.size:
            magic, version, length = HEADER.unpack_from(self._buffer, position)
            if magic != MAGIC or version == 0:
                raise MessageError("invalid frame header")
            # Limits memory: an excessive length is rejected before any of the body is buffered.
            if length > self._bounds.frame:
                raise MessageError(f"frame too large: {length} bytes")
            if len(self._buffer) - position < HEADER.size + length:
                break
            body = bytes(self._buffer[position + HEADER.size : position + HEADER.size + length])
            position += HEADER.size + length
            if message := decode(body, self._bounds):
                messages.append(message)
        del self._buffer[:position]
        return messages
