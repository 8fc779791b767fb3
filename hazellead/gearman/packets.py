"""Encodes Gearman packets, and parses packets and admin lines out of a connection's bytes."""

import struct
from dataclasses import dataclass
from enum import IntEnum

from hazellead.limits import Limits

_HEADER = struct.Struct(">4sII")
_REQ, _RES = b"\0REQ", b"\0RES"


class Type(IntEnum):
    """The packet types, with their numbers in the public protocol."""

    CAN_DO = 1
    CANT_DO = 2
    RESET_ABILITIES = 3
    PRE_SLEEP = 4
    NOOP = 6
    SUBMIT_JOB = 7
    JOB_CREATED = 8
    GRAB_JOB = 9
    NO_JOB = 10
    JOB_ASSIGN = 11
    WORK_STATUS = 12
    WORK_COMPLETE = 13
    WORK_FAIL = 14
    GET_STATUS = 15
    ECHO_REQ = 16
    ECHO_RES = 17
    SUBMIT_JOB_BG = 18
    ERROR = 19
    STATUS_RES = 20
    SUBMIT_JOB_HIGH = 21
    SET_CLIENT_ID = 22
    CAN_DO_TIMEOUT = 23
    ALL_YOURS = 24
    WORK_EXCEPTION = 25
    OPTION_REQ = 26
    OPTION_RES = 27
    WORK_DATA = 28
    WORK_WARNING = 29
    GRAB_JOB_UNIQ = 30
    JOB_ASSIGN_UNIQ = 31
    SUBMIT_JOB_HIGH_BG = 32
    SUBMIT_JOB_LOW = 33
    SUBMIT_JOB_LOW_BG = 34
    SUBMIT_JOB_SCHED = 35
    SUBMIT_JOB_EPOCH = 36
    SUBMIT_REDUCE_JOB = 37
    SUBMIT_REDUCE_JOB_BACKGROUND = 38
    GRAB_JOB_ALL = 39
    JOB_ASSIGN_ALL = 40
    GET_STATUS_UNIQUE = 41
    STATUS_RES_UNIQUE = 42


# The number of arguments of each packet type; the last argument runs to the packet's end.
ARGUMENTS = {
    Type.CAN_DO: 1, Type.CANT_DO: 1, Type.RESET_ABILITIES: 0, Type.PRE_SLEEP: 0, Type.NOOP: 0,
    Type.SUBMIT_JOB: 3, Type.JOB_CREATED: 1, Type.GRAB_JOB: 0, Type.NO_JOB: 0, Type.JOB_ASSIGN: 3,
    Type.WORK_STATUS: 3, Type.WORK_COMPLETE: 2, Type.WORK_FAIL: 1, Type.GET_STATUS: 1, Type.ECHO_REQ: 1,
    Type.ECHO_RES: 1, Type.SUBMIT_JOB_BG: 3, Type.ERROR: 2, Type.STATUS_RES: 5, Type.SUBMIT_JOB_HIGH: 3,
    Type.SET_CLIENT_ID: 1, Type.CAN_DO_TIMEOUT: 2, Type.ALL_YOURS: 0, Type.WORK_EXCEPTION: 2,
    Type.OPTION_REQ: 1, Type.OPTION_RES: 1, Type.WORK_DATA: 2, Type.WORK_WARNING: 2, Type.GRAB_JOB_UNIQ: 0,
    Type.JOB_ASSIGN_UNIQ: 4, Type.SUBMIT_JOB_HIGH_BG: 3, Type.SUBMIT_JOB_LOW: 3, Type.SUBMIT_JOB_LOW_BG: 3,
    Type.GRAB_JOB_ALL: 0, Type.JOB_ASSIGN_ALL: 5, Type.GET_STATUS_UNIQUE: 1, Type.STATUS_RES_UNIQUE: 6,
}


class PacketError(Exception):
    """The bytes received are malformed or too long; the connection is closed after an ERROR packet."""


@dataclass(slots=True, frozen=True)
class Packet:
    """One packet; its type is an int that need not be a known ``Type``."""

    type: int
    args: tuple[bytes, ...]
    response: bool = False


class Parser:
    """Splits a connection's bytes into packets and admin lines (``str``).

    Its buffer is bounded by the largest packet or line plus one read, if ``next`` is called until it returns
    None before more bytes are fed.
    """

    def __init__(self, limits: Limits) -> None:
        """Start with an empty buffer."""
        self._max_packet, self._max_line = limits.body + limits.head, limits.admin_line
        self._buffer = bytearray()

    @property
    def size(self) -> int:
        """Number of buffered bytes."""
        return len(self._buffer)

    @property
    def full(self) -> bool:
        """Whether so much is buffered that nothing should be fed until an item has been taken."""
        return len(self._buffer) > self._max_packet

    @property
    def empty(self) -> bool:
        """Whether no byte of an incomplete packet or line is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> None:
        """Add bytes read from the connection."""
        self._buffer += data

    def discard(self) -> None:
        """Drop what is buffered."""
        self._buffer = bytearray()

    def next(self) -> Packet | str | None:
        """Return the next packet or admin line, or None if it is incomplete; raises PacketError."""
        if not self._buffer:
            return None
        if self._buffer[0] != 0:
            return self._next_line()
        if not (_REQ.startswith(self._buffer[:4]) or _RES.startswith(self._buffer[:4])):
            raise PacketError("bad magic")
        if len(self._buffer) < _HEADER.size:
            return None
        magic, number, size = _HEADER.unpack_from(self._buffer)
        if size > self._max_packet:
            raise PacketError("packet too large")
        if len(self._buffer) < _HEADER.size + size:
            return None
        data = bytes(self._buffer[_HEADER.size:_HEADER.size + size])
        del self._buffer[:_HEADER.size + size]
        count = ARGUMENTS.get(number, 1)
        args = tuple(data.split(b"\0", count - 1)) if count else ()
        if len(args) != count or (not count and data):
            raise PacketError("wrong number of arguments")
        return Packet(number, args, magic == _RES)

    def _next_line(self) -> str | None:
        end = self._buffer.find(b"\n")
        if max(end, len(self._buffer) if end < 0 else 0) > self._max_line:
            raise PacketError("line too long")
        if end < 0:
            return None
        line = self._buffer[:end].decode("latin-1").strip()
        del self._buffer[:end + 1]
        return line


def encode_packet(number: Type, *args: bytes, response: bool = True) -> bytes:
    """Return a packet's bytes: a response, as a server sends it, or else a request."""
    data = b"\0".join(args)
    return _HEADER.pack(_RES if response else _REQ, number, len(data)) + data
