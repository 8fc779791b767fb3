"""HTTP/1.1 without I/O: an incremental parser, and functions that encode requests and responses."""

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
_TARGET = re.compile(r"(?:[0-9A-Za-z._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})+\Z")  # RFC 3986
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
_REQUEST_BEGINNING = re.compile(rb"(?:\r\n)*(?:\r?\Z|[A-Z]{1,16}(?:\Z| \Z| [/*h]))")
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding", "expect"})
_HEADER_VALUE = re.compile(r"[\t -~\x80-\xff]*\Z")  # no control characters but the tab


class HttpError(Exception):
    """A message that is malformed, too large or not supported; ``status`` is the status to answer with."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the status and the reason."""
        super().__init__(reason)
        self.status = status


@dataclass(slots=True, frozen=True)
class Message:
    """One request or response."""

    start_line: tuple[str, str, str]  # method, target, version; of a response: version, status, reason
    headers: dict[str, str]  # names in lower case
    body: bytes
    keep: bool  # the connection may carry another message

    @property
    def status(self) -> int:
        """A response's status code."""
        return int(self.start_line[1])


class Parser:
    """Splits a connection's bytes into messages. Buffers at most one head, one body and one read."""

    def __init__(
        self, limits: Limits, *, responses: bool = False, chunks_at_once: int | None = None,
    ) -> None:
        """Start between two messages; ``next`` pauses after ``chunks_at_once`` chunks of a body, if given."""
        self._limits, self._responses, self._chunks_at_once = limits, responses, chunks_at_once
        self._buffer = bytearray()
        self._head: tuple[tuple[str, str, str], dict[str, str], bool] | None = None
        self._body_size = 0  # in bytes; -1: chunked encoding, -2: until the connection ends
        self._body = bytearray()  # decoded from chunks
        self._in_trailers = False
        self.paused = False  # ``next`` has returned None before it had looked at all that is buffered

    @property
    def empty(self) -> bool:
        """Whether no part of a message is buffered."""
        return self._head is None and not self._buffer

    @property
    def size(self) -> int:
        """Number of buffered bytes."""
        return len(self._buffer) + len(self._body)

    @property
    def unparsed(self) -> bytes | None:
        """The received bytes of the next message; None once its head has been parsed."""
        return bytes(self._buffer) if self._head is None else None

    @property
    def rest_is_plausible(self) -> bool:
        """Whether the bytes buffered after a request can be the beginning of another."""
        return self._head is not None or bool(_REQUEST_BEGINNING.match(self._buffer))

    @property
    def expects_continue(self) -> bool:
        """Whether a head has been parsed whose sender waits for "100 Continue" before it sends the body."""
        return self._head is not None and self._head[1].get("expect", "").lower() == "100-continue"

    @property
    def full(self) -> bool:
        """Whether so much is buffered that nothing should be fed until a message has been taken."""
        return len(self._buffer) > self._limits.head + self._limits.body

    def feed(self, data: bytes) -> None:
        """Add bytes read from the connection."""
        self._buffer += data

    def discard(self) -> None:
        """Drop what has been buffered of the next message."""
        self._buffer, self._body = bytearray(), bytearray()
        self._head, self._in_trailers, self.paused = None, False, False

    def next(self) -> Message | None:
        """Return the next complete message, or None; raises HttpError if it is malformed or too large."""
        if self._head is None and not self._take_head():
            return None
        assert self._head is not None
        if self._body_size == -2:
            if len(self._buffer) > self._limits.body:
                raise HttpError(413, "body too large")
            return None
        if self._body_size == -1:
            if not self._take_chunks():
                return None
            body = bytes(self._body)
        else:
            if len(self._buffer) < self._body_size:
                return None
            body = bytes(self._buffer[:self._body_size])
            del self._buffer[:self._body_size]
        return self._finish(body)

    def at_end(self) -> Message | None:
        """Return the message whose body ends with the connection, or None if there is none."""
        if self._head is None or self._body_size != -2:
            return None
        body = bytes(self._buffer)
        self._buffer.clear()
        return self._finish(body)

    def _finish(self, body: bytes) -> Message:
        assert self._head is not None
        start_line, headers, keep = self._head
        self._head, self._body, self._in_trailers = None, bytearray(), False
        return Message(start_line, headers, body, keep)

    def _take_head(self) -> bool:
        if empty_lines := _EMPTY_LINES.match(self._buffer):  # skipped before a message
            del self._buffer[:empty_lines.end()]
        end = self._buffer.find(b"\r\n\r\n")
        if (len(self._buffer) if end < 0 else end) > self._limits.head:
            raise HttpError(431, "head too large")
        if end < 0:
            return False
        if self._buffer.count(b"\r\n", 0, end) > self._limits.headers:  # before a text is made of each
            raise HttpError(431, "too many headers")
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[:end + 4]
        start_line = self._parse_start_line(lines[0])
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            name, value = name.lower(), value.strip(" \t")
            if not colon or not _TOKEN.match(name) or not _HEADER_VALUE.match(value):
                raise HttpError(400, "malformed header")
            if name in headers and name in ("content-length", "host", "transfer-encoding"):
                raise HttpError(400, f"more than one {name}")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        version = start_line[0] if self._responses else start_line[2]
        tokens = {t.strip().lower() for t in headers.get("connection", "").split(",")}
        keep = "close" not in tokens and (version == "HTTP/1.1" or "keep-alive" in tokens)
        self._body_size = self._body_size_of(start_line, headers)
        self._head = start_line, headers, keep and self._body_size != -2
        return True

    def _parse_start_line(self, line: str) -> tuple[str, str, str]:
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

    def _body_size_of(self, start_line: tuple[str, str, str], headers: dict[str, str]) -> int:
        if self._responses and (start_line[1] in ("204", "304") or start_line[1].startswith("1")):
            return 0
        if "transfer-encoding" in headers:
            # Prevents request smuggling: a message with two kinds of framing is ambiguous.
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
        self.paused, taken = False, 0
        while (end := self._buffer.find(b"\r\n")) >= 0:
            if taken == self._chunks_at_once:
                self.paused = True
                return False
            taken += 1
            if self._in_trailers:  # trailers are skipped
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
                self._in_trailers = True
                del self._buffer[:end + 2]
                continue
            if len(self._buffer) < end + length + 4:
                return False
            if self._buffer[end + 2 + length:end + length + 4] != b"\r\n":
                raise HttpError(400, "malformed chunk")
            self._body += self._buffer[end + 2:end + 2 + length]
            del self._buffer[:end + length + 4]
        if len(self._buffer) > (self._limits.head if self._in_trailers else self._limits.chunk_line):
            raise HttpError(400, "malformed chunk")
        return False


def response(
    status: int, body: bytes = b"", *, keep: bool = True, headers: dict[str, str] | None = None,
) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if not keep:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(
    method: str, target: str, host: str, headers: dict[str, str] | None = None, body: bytes = b"",
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_received(message: Message) -> bytes:
    """Encode a received request again, whole; its head does not get longer than it was received."""
    lines = [" ".join(message.start_line)]
    lines += [f"{name}:{value}" for name, value in message.headers.items() if name not in _FRAMING_HEADERS]
    if message.body:
        lines.append(f"content-length:{len(message.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + message.body
