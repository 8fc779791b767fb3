"""What two processes say to each other when one replaces the other. Pure: bytes in, messages out.

A frame is a length (4 bytes, of what follows the next byte), the number of descriptors that come with it
(1 byte) and one JSON object with its ``kind``. A reader checks what it needs: the other side may be of
another version.
"""

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

VERSION = 1
MOST_BYTES = 8 << 20  # of one frame: an offer for a thousand workers has some 0.5 MiB
MOST_DESCRIPTORS = 32  # with one frame; the system takes 253
_HEAD = struct.Struct(">IB")


class MessageError(Exception):
    """What came is no message; the channel cannot be trusted any more."""


@dataclass(slots=True, frozen=True)
class Message:
    """One message. How many descriptors belong to it is known before they are."""

    kind: str
    body: dict[str, Any]
    descriptors: int = 0

    def text(self, key: str) -> str:
        """Return a text in the body."""
        if not isinstance(value := self.body.get(key), str):
            raise MessageError(f"{self.kind}.{key} is no text")
        return value

    def texts(self, key: str) -> list[str]:
        """Return a list of texts in the body."""
        value = self.body.get(key)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise MessageError(f"{self.kind}.{key} is no list of texts")
        return value

    def number(self, key: str) -> int:
        """Return a whole number, none below 0, in the body."""
        value = self.body.get(key)
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            raise MessageError(f"{self.kind}.{key} is no number")
        return value


def encode(message: Message) -> bytes:
    """Write a frame."""
    if message.descriptors > MOST_DESCRIPTORS:
        raise MessageError("too many descriptors in one message")
    payload = json.dumps({"kind": message.kind, **message.body}, separators=(",", ":")).encode()
    if len(payload) > MOST_BYTES:
        raise MessageError("message too large")
    return _HEAD.pack(len(payload), message.descriptors) + payload


class Reader:
    """Cuts a stream into messages; holds one frame and one read at most."""

    def __init__(self) -> None:
        """Start between frames."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add what was read and give the messages that are whole; raises MessageError."""
        self._buffer += data
        while len(self._buffer) >= _HEAD.size:
            length, descriptors = _HEAD.unpack_from(self._buffer)
            if length > MOST_BYTES or descriptors > MOST_DESCRIPTORS:
                raise MessageError("frame out of bounds")
            if len(self._buffer) < _HEAD.size + length:
                return
            payload = bytes(self._buffer[_HEAD.size:_HEAD.size + length])
            del self._buffer[:_HEAD.size + length]
            try:
                body = json.loads(payload)
            except (ValueError, RecursionError):
                raise MessageError("not JSON") from None
            if not isinstance(body, dict) or not isinstance(kind := body.pop("kind", None), str):
                raise MessageError("no kind")
            yield Message(kind, body, descriptors)
