"""Messages that two processes exchange while one replaces the other, and their encoding. No I/O.

A frame is the payload's length in bytes (4 bytes, big-endian), the number of file descriptors that are sent
with it (1 byte) and the payload, one JSON object with a ``kind``. The other process may be of another
version, so a receiver checks each field that it uses.
"""

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from hazellead.core.clock import from_us

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 << 20  # an offer for a thousand workers has some 0.5 MiB
MAX_SPAN_US = 10**14  # three years
MAX_DESCRIPTORS = 32  # in one frame; the system allows 253
_HEADER = struct.Struct(">IB")


class MessageError(Exception):
    """A malformed or unexpected message; the channel cannot be trusted any more."""


@dataclass(slots=True, frozen=True)
class Message:
    """One message, with the number of file descriptors that belong to it."""

    kind: str
    body: dict[str, Any]
    descriptors: int = 0

    def text(self, key: str) -> str:
        """Return the string at ``key`` of the body; raises MessageError if it is not one."""
        if not isinstance(value := self.body.get(key), str):
            raise MessageError(f"{self.kind}.{key} is not a string")
        return value

    def texts(self, key: str) -> list[str]:
        """Return the list of strings at ``key`` of the body; raises MessageError if it is not one."""
        value = self.body.get(key)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise MessageError(f"{self.kind}.{key} is not a list of strings")
        return value

    def spans(self, key: str) -> list[timedelta]:
        """Return the list of non-negative durations at ``key`` of the body, sent in microseconds.

        Raises MessageError if it is not one.
        """
        value = self.body.get(key)
        if not isinstance(value, list) or not all(type(us) is int and 0 <= us <= MAX_SPAN_US for us in value):
            raise MessageError(f"{self.kind}.{key} is not a list of durations")
        return [from_us(us) for us in value]

    def number(self, key: str) -> int:
        """Return the non-negative integer at ``key`` of the body; raises MessageError if it is not one."""
        value = self.body.get(key)
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            raise MessageError(f"{self.kind}.{key} is not a non-negative integer")
        return value


def encode(message: Message) -> bytes:
    """Return the message as a frame; raises MessageError if it exceeds a limit."""
    if message.descriptors > MAX_DESCRIPTORS:
        raise MessageError("too many descriptors in one message")
    payload = json.dumps({"kind": message.kind, **message.body}, separators=(",", ":")).encode()
    if len(payload) > MAX_FRAME_BYTES:
        raise MessageError("message too large")
    return _HEADER.pack(len(payload), message.descriptors) + payload


class FrameReader:
    """Splits a byte stream into messages; buffers at most one frame and one read."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes and yield each complete message; raises MessageError."""
        self._buffer += data
        while len(self._buffer) >= _HEADER.size:
            length, descriptors = _HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES or descriptors > MAX_DESCRIPTORS:
                raise MessageError("frame exceeds the limit on bytes or descriptors")
            if len(self._buffer) < _HEADER.size + length:
                return
            payload = bytes(self._buffer[_HEADER.size:_HEADER.size + length])
            del self._buffer[:_HEADER.size + length]
            try:
                body = json.loads(payload)
            except (ValueError, RecursionError):
                raise MessageError("payload is not JSON") from None
            if not isinstance(body, dict) or not isinstance(kind := body.pop("kind", None), str):
                raise MessageError("payload has no kind")
            yield Message(kind, body, descriptors)
