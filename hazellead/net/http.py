"""An HTTP/1.1 parser that is fed bytes and gives whole messages, and the writing of messages."""

import re
from dataclasses import dataclass

from hazellead.limits import Limits

REASONS = {
    100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
    429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "Version Not Supported",
}
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_TARGET = re.compile(r"(?:[0-9A-Za-z._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})+\Z")  # as RFC 3986 has it
_BEGINNING = re.compile(rb"(?:\r\n)*(?:\r?\Z|[A-Z]{1,16}(?:\Z| \Z| [/*h]))")
_VALUE = re.compile(r"[\t -~\x80-\xff]*\Z")  # no other control characters


class HttpError(Exception):
    """What came is not to be served; ``status`` is the answer to it."""

    def __init__(self, status: int, why: str) -> None:
        """Keep the answer and the reason."""
        super().__init__(why)
        self.status = status


@dataclass(slots=True, frozen=True)
class Message:
    """One request (method, target, version) or response (version, status, reason)."""

    first: tuple[str, str, str]
    headers: dict[str, str]  # names in lower case
    body: bytes
    keep: bool  # the connection may carry another message

    @property
    def status(self) -> int:
        """Return a response's status."""
        return int(self.first[1])


class Parser:
    """Cuts a connection's bytes into messages. Never holds more than one head, one body and one read."""

    def __init__(self, limits: Limits, *, responses: bool = False) -> None:
        """Start between messages."""
        self._limits, self._responses = limits, responses
        self._buffer = bytearray()
        self._head: tuple[tuple[str, str, str], dict[str, str], bool] | None = None
        self._need = 0  # bytes of the body, or -1: chunked, -2: until the connection ends
        self._body = bytearray()  # of chunks
        self._trailing = False

    @property
    def empty(self) -> bool:
        """Say whether no part of a message has come."""
        return self._head is None and not self._buffer

    @property
    def size(self) -> int:
        """Return how many bytes are held."""
        return len(self._buffer) + len(self._body)

    @property
    def unread(self) -> bytes | None:
        """Return what has come of the next message as it came; None once its head has been taken."""
        return bytes(self._buffer) if self._head is None else None

    @property
    def may_go_on(self) -> bool:
        """Say whether what lies here after a request can be the beginning of another."""
        return self._head is not None or bool(_BEGINNING.match(self._buffer))

    @property
    def expects_continue(self) -> bool:
        """Say whether the sender of a head waits to be told to go on."""
        return self._head is not None and self._head[1].get("expect", "").lower() == "100-continue"

    @property
    def full(self) -> bool:
        """Say whether enough lies here that no more should be read until a message is taken."""
        return len(self._buffer) > self._limits.head + self._limits.body

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._buffer += data

    def next(self) -> Message | None:
        """Return the next whole message, if one has come."""
        if self._head is None and not self._take_head():
            return None
        assert self._head is not None
        if self._need == -2:
            if len(self._buffer) > self._limits.body:
                raise HttpError(413, "body too large")
            return None
        if self._need == -1:
            if not self._take_chunks():
                return None
            body = bytes(self._body)
        else:
            if len(self._buffer) < self._need:
                return None
            body = bytes(self._buffer[:self._need])
            del self._buffer[:self._need]
        return self._finish(body)

    def at_end(self) -> Message | None:
        """Return the message that the end of the connection completes, if it is one."""
        if self._head is None or self._need != -2:
            return None
        body = bytes(self._buffer)
        self._buffer.clear()
        return self._finish(body)

    def _finish(self, body: bytes) -> Message:
        assert self._head is not None
        first, headers, keep = self._head
        self._head, self._body, self._trailing = None, bytearray(), False
        return Message(first, headers, body, keep)

    def _take_head(self) -> bool:
        while self._buffer[:2] == b"\r\n":  # an empty line before a message is to be passed over
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if (len(self._buffer) if end < 0 else end) > self._limits.head:
            raise HttpError(431, "head too large")
        if end < 0:
            return False
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[:end + 4]
        if len(lines) > self._limits.headers + 1:
            raise HttpError(431, "too many headers")
        first = self._first(lines[0])
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            name, value = name.lower(), value.strip(" \t")
            if not colon or not _TOKEN.match(name) or not _VALUE.match(value):
                raise HttpError(400, "malformed header")
            if name in headers and name in ("content-length", "host", "transfer-encoding"):
                raise HttpError(400, f"more than one {name}")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        version = first[0] if self._responses else first[2]
        tokens = {t.strip().lower() for t in headers.get("connection", "").split(",")}
        keep = "close" not in tokens and (version == "HTTP/1.1" or "keep-alive" in tokens)
        self._need = self._length(first, headers)
        self._head = first, headers, keep and self._need != -2
        return True

    def _first(self, line: str) -> tuple[str, str, str]:
        parts = line.split(" ", 2)
        if len(parts) < 3 and not (self._responses and len(parts) == 2):
            raise HttpError(400, "malformed first line")
        a, b, c = (*parts, "")[:3]
        version = a if self._responses else c
        if not re.match(r"HTTP/\d\.\d\Z", version):
            raise HttpError(400, "malformed version")
        if version not in ("HTTP/1.0", "HTTP/1.1"):
            raise HttpError(505, "unknown version")
        if not (re.match(r"\d{3}\Z", b) if self._responses else _TOKEN.match(a) and _TARGET.match(b)):
            raise HttpError(400, "malformed first line")
        return a, b, c

    def _length(self, first: tuple[str, str, str], headers: dict[str, str]) -> int:
        if self._responses and (first[1] in ("204", "304") or first[1].startswith("1")):
            return 0
        if "transfer-encoding" in headers:
            # Guards against smuggling: two framings of one message are one too many.
            if "content-length" in headers or headers["transfer-encoding"].lower() != "chunked":
                raise HttpError(400, "unclear framing")
            return -1
        if "content-length" not in headers:
            return -2 if self._responses else 0
        text = headers["content-length"]
        if not re.match(r"[0-9]{1,15}\Z", text):
            raise HttpError(400, "malformed length")
        if int(text) > self._limits.body:
            raise HttpError(413, "body too large")
        return int(text)

    def _take_chunks(self) -> bool:
        while (end := self._buffer.find(b"\r\n")) >= 0:
            if self._trailing:  # trailers are passed over
                del self._buffer[:end + 2]
                if end == 0:
                    return True
                continue
            size = self._buffer[:end].split(b";")[0].strip()
            if not re.match(rb"[0-9A-Fa-f]{1,8}\Z", size) or end > self._limits.chunk_line:
                raise HttpError(400, "malformed chunk")
            length = int(size, 16)
            if len(self._body) + length > self._limits.body:
                raise HttpError(413, "body too large")
            if length == 0:
                self._trailing = True
                del self._buffer[:end + 2]
                continue
            if len(self._buffer) < end + length + 4:
                return False
            if self._buffer[end + 2 + length:end + length + 4] != b"\r\n":
                raise HttpError(400, "malformed chunk")
            self._body += self._buffer[end + 2:end + 2 + length]
            del self._buffer[:end + length + 4]
        if len(self._buffer) > (self._limits.head if self._trailing else self._limits.chunk_line):
            raise HttpError(400, "malformed chunk")
        return False


def response(
    status: int, body: bytes = b"", *, keep: bool = True, headers: dict[str, str] | None = None,
) -> bytes:
    """Write a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if not keep:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(
    method: str, target: str, host: str, headers: dict[str, str] | None = None, body: bytes = b"",
) -> bytes:
    """Write a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
