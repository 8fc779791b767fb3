"""The client's side of an HTTP/1.1 connection: one request and response at a time."""

import asyncio
from contextlib import suppress

from tornado.iostream import IOStream, StreamClosedError

from hazellead.limits import Limits
from hazellead.net.http import Message, Parser


class ClientConnection:
    """A stream with a pending read, which is kept open even while no response is awaited.

    A server may answer one request twice. The second answer may arrive while the connection is idle and would
    be taken for the answer to the next request. Peeking at the socket does not find it, since the stream
    reads into its own buffer.
    """

    def __init__(self, stream: IOStream, limits: Limits) -> None:
        """Take over an open stream."""
        self.stream, self._limits = stream, limits
        self._reading: asyncio.Future[bytes] | None = None

    @property
    def quiet(self) -> bool:
        """Whether it is open and has received nothing unsolicited; to be read between exchanges."""
        with suppress(StreamClosedError):
            self._reading = self._reading or self._begin_read()
            return not self._reading.done()
        return False

    @property
    def has_unsolicited_data(self) -> bool:
        """Whether bytes have been received that answer no request."""
        return self._reading is not None and self._reading.done() and not self._reading.exception()

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()

    async def response(self, limits: Limits) -> Message:
        """Read one response; informational ones (1xx) are skipped.

        Raises StreamClosedError if the connection ends first and HttpError if the response is malformed.
        """
        parser = Parser(limits, responses=True)
        while True:
            try:
                parser.feed(await self._read())
            except StreamClosedError:
                if message := parser.at_end():
                    return message
                raise
            while message := parser.next():
                if message.status >= 200:
                    if not parser.empty:  # unsolicited bytes: the connection must not be used again
                        self.close()
                    return message

    async def _read(self) -> bytes:
        reading, self._reading = self._reading or self._begin_read(), None
        try:
            return await reading
        finally:
            del reading  # a failed read refers to its traceback, and this frame is part of it

    def _begin_read(self) -> asyncio.Future[bytes]:
        reading = asyncio.ensure_future(self.stream.read_bytes(self._limits.read, partial=True))
        reading.add_done_callback(lambda done: done.cancelled() or done.exception())
        return reading


async def read_response(stream: IOStream, limits: Limits) -> Message:
    """Read one response from a stream that is not in a connection pool; raises as ``response`` does."""
    return await ClientConnection(stream, limits).response(limits)
