"""The HTTP parser: messages fed in random pieces come out complete and in order; malformed ones raise."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from loopback import STEADY

from hazellead.limits import Limits
from hazellead.net.http import HttpError, Parser, request, response

LIMITS = Limits(body=1000, head=200, headers=4)


class ParserModel(RuleBasedStateMachine):
    """Messages are appended to a byte stream, which is fed to the parser in random pieces."""

    def __init__(self) -> None:
        super().__init__()
        self.parser, self.stream, self.fed = Parser(LIMITS), b"", 0
        self.queued: list[tuple[int, bytes]] = []  # where in the stream each message ends, and its body
        self.got: list[bytes] = []

    @rule(body=st.binary(max_size=300), chunks=st.integers(0, 3))
    def queue(self, body: bytes, chunks: int) -> None:
        if chunks:
            parts = [body[i::chunks] for i in range(chunks)]
            body = b"".join(parts)
            coded = b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in parts if p) + b"0\r\nA: b\r\n\r\n"
            self.stream += b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + coded
        else:
            self.stream += request("POST", "/a", "b", {"C": "d"}, body)
        self.queued.append((len(self.stream), body))

    @rule(count=st.integers(1, 400))
    def feed(self, count: int) -> None:
        self.parser.feed(self.stream[self.fed:self.fed + count])
        self.fed = min(self.fed + count, len(self.stream))
        while message := self.parser.next():
            self.got.append(message.body)
            assert message.start_line == ("POST", "/a", "HTTP/1.1") and message.keep

    @invariant()
    def whole_messages_came_out(self) -> None:
        assert self.got == [body for end, body in self.queued if end <= self.fed]


ParserModel.TestCase.settings = STEADY
TestParser = ParserModel.TestCase


@pytest.mark.parametrize(("data", "status"), [
    (b"GET\r\n\r\n", 400), (b"GET / HTTP/2.0\r\n\r\n", 505), (b"G@T / HTTP/1.1\r\n\r\n", 400),
    (b"GET /<a> HTTP/1.1\r\n\r\n", 400), (b"GET /%4 HTTP/1.1\r\n\r\n", 400),
    (b"GET /\x01 HTTP/1.1\r\n\r\n", 400), (b"GET / HTTP/1.1\r\nA b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400), (b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 5 + b"\r\n", 431), (b"GET /" + b"a" * 300, 431),
    (b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413),
    (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400),
    (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n", 413),
    (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", 400),
    (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"0" * 99, 400),
])
def test_status_for_malformed_or_too_large_messages(data: bytes, status: int) -> None:
    parser = Parser(LIMITS)
    parser.feed(data)
    with pytest.raises(HttpError) as error:
        parser.next()
    assert error.value.status == status


@pytest.mark.parametrize(("rest", "good"), [
    (b"", True), (b"\r\n\r", True), (b"PO", True), (b"\r\nGET /", True), (b"POST http", True),
    (b'"}', False), (b"a", False), (b"POST  ", False), (b"A" * 17, False), (b"\n", False)])
def test_bytes_after_a_request_are_checked_for_another_request(rest: bytes, good: bool) -> None:
    parser = Parser(LIMITS)
    parser.feed(request("POST", "/a", "b", None, b"body") + rest)
    assert parser.next() and parser.rest_is_plausible is good


def test_keep_alive_follows_version_and_headers() -> None:
    for head, keep in (("GET / HTTP/1.1", True), ("GET / HTTP/1.0", False),
                       ("GET / HTTP/1.1\r\nConnection: x, Close", False),
                       ("GET / HTTP/1.0\r\nConnection: keep-alive", True)):
        parser = Parser(LIMITS)
        parser.feed(head.encode() + b"\r\n\r\n")
        message = parser.next()
        assert message and message.keep is keep


def test_a_response_may_end_with_its_connection() -> None:
    parser = Parser(LIMITS, responses=True)
    parser.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + response(202) + b"HTTP/1.1 200\r\n\r\nabc")
    assert [m.status for m in (parser.next(), parser.next()) if m] == [100, 202]
    assert parser.next() is None
    last = parser.at_end()
    assert last and (last.status, last.body, last.keep) == (200, b"abc", False)
