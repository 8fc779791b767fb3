"""One HTTP/1.1 exchange on a connection that this side opened."""

from tornado.iostream import IOStream, StreamClosedError

from hazellead.limits import Limits
from hazellead.net.http import Message, Parser


async def read_response(stream: IOStream, limits: Limits) -> Message:
    """Read one response; StreamClosedError if the connection ends first, HttpError if it is malformed."""
    parser = Parser(limits, responses=True)
    while True:
        try:
            parser.feed(await stream.read_bytes(limits.read, partial=True))
        except StreamClosedError:
            if message := parser.at_end():
                return message
            raise
        while message := parser.next():
            if message.status >= 200:
                if not parser.empty:  # bytes that nothing asked for: the connection cannot be trusted again
                    stream.close()
                return message
