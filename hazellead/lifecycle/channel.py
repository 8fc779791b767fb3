"""A Unix stream socket that carries messages with descriptors. Imported only where it is offered."""

import array
import asyncio
import errno
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from hazellead.lifecycle.messages import MOST_DESCRIPTORS, Message, MessageError, Reader, encode

_READ = 64 * 1024
_PAUSE = 0.01  # seconds
_CLOSED_THERE = frozenset({errno.EPIPE, errno.ECONNRESET})  # errors of a write to a side that has closed
_SPACE = socket.CMSG_SPACE(4 * 2 * MOST_DESCRIPTORS)
Taker = Callable[[Message, list[socket.socket]], None]


@dataclass(slots=True)
class _Unwritten:
    """A message of which some bytes are still to be written; its sockets go with the first byte."""

    message: Message
    data: memoryview
    sockets: list[socket.socket]


class Channel:
    """One end. ``taker`` gets each message with its sockets, which are then its own to close."""

    def __init__(self, sock: socket.socket, taker: Taker, ended: Callable[[str], None]) -> None:
        """Start reading; ``ended(reason)`` is called once, when either side or an error ends it."""
        sock.setblocking(False)
        self._sock, self._taker, self._ended = sock, taker, ended
        self._loop = asyncio.get_running_loop()
        self._reader, self._came = Reader(), deque[socket.socket]()
        self._out: deque[_Unwritten] = deque()
        self._peer_closed = False  # nothing more can be written; what it has written may still be unread
        self.open = True
        self._loop.add_reader(sock, self._readable)

    @property
    def waiting(self) -> int:
        """Return how many messages are not written yet."""
        return len(self._out)

    @property
    def writable(self) -> bool:
        """Say whether the other side can still read what is sent."""
        return self.open and not self._peer_closed

    def send(self, kind: str, sockets: Sequence[socket.socket] = (), **body: object) -> None:
        """Write a message, now or when there is room; the sockets are closed here once they are written."""
        if not self.writable:
            for sock in sockets:
                sock.close()
            return
        message = Message(kind, body, len(sockets))
        self._out.append(_Unwritten(message, memoryview(encode(message)), list(sockets)))
        self._writable()

    def take_unwritten(self) -> list[tuple[Message, list[socket.socket]]]:
        """Return the messages of which the other side has got nothing, with their sockets.

        They are the caller's from then on. Of use in ``ended``, after which they are dropped.
        """
        taken = [(unwritten.message, unwritten.sockets) for unwritten in self._out if unwritten.sockets]
        self._out.clear()
        return taken

    def close(self, reason: str = "closed here") -> None:
        """End the channel; what is still to be written is dropped unless it is taken in ``ended``."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for sock in self._came:
            sock.close()
        self._came.clear()
        self._ended(reason)
        for _, sockets in self.take_unwritten():
            for sock in sockets:
                sock.close()

    def _writable(self) -> None:
        while self.writable and self._out:
            first = self._out[0]
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS,
                       array.array("i", [s.fileno() for s in first.sockets]))] if first.sockets else []
            try:
                sent = self._sock.sendmsg([first.data], rights)
            except BlockingIOError:
                self._loop.add_writer(self._sock, self._writable)
                return
            except OSError as error:
                self._not_written(error)
                return
            for sock in first.sockets:  # they go with the first byte
                sock.close()
            first.data, first.sockets = first.data[sent:], []
            if not first.data:
                self._out.popleft()
        if self.open:
            self._loop.remove_writer(self._sock)

    def _not_written(self, error: OSError) -> None:
        """Try again later, read on to the end that the other side has made, or end the channel."""
        if error.errno == errno.ETOOMANYREFS:  # as many descriptors are on their way as may be
            self._loop.call_later(_PAUSE, self._writable)
        elif error.errno in _CLOSED_THERE:
            # What it wrote before it closed lies unread here: clients' connections and the word on jobs. To
            # close now would drop them; their end is read after them.
            self._peer_closed = True
            self._loop.remove_writer(self._sock)
        else:
            self.close(f"cannot write: {error.strerror}")

    def _readable(self) -> None:
        try:
            data, ancillary, flags, _ = self._sock.recvmsg(_READ, _SPACE, socket.MSG_CMSG_CLOEXEC)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"cannot read: {error.strerror}")
            return
        for level, kind, raw in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                numbers = array.array("i")
                numbers.frombytes(raw[:len(raw) - len(raw) % numbers.itemsize])
                self._came.extend(filter(None, map(_adopt, numbers)))
        if flags & socket.MSG_CTRUNC or len(self._came) > 4 * MOST_DESCRIPTORS:
            self.close("descriptors were lost")
            return
        if not data:
            self.close("the other process ended it")
            return
        try:
            for message in self._reader.feed(data):
                if message.descriptors > len(self._came):
                    raise MessageError("descriptors are missing")
                self._taker(message, [self._came.popleft() for _ in range(message.descriptors)])
                if not self.open:
                    return
        except MessageError as error:
            self.close(str(error))


def _adopt(number: int) -> socket.socket | None:
    """Make a socket of a descriptor that came; what is none is closed."""
    try:
        sock = socket.socket(fileno=number)
    except OSError:
        with suppress(OSError):
            os.close(number)
        return None
    sock.setblocking(False)
    return sock


def bind(path: str) -> socket.socket:
    """Listen at a path in place of whatever is there; only our own user may connect. Raises OSError."""
    fresh = f"{path}.{os.getpid()}"
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with suppress(FileNotFoundError):
            os.unlink(fresh)
        sock.bind(fresh)
        os.chmod(fresh, 0o600)
        sock.listen(4)
        sock.setblocking(False)
        os.rename(fresh, path)  # at no moment is there none
    except BaseException:
        sock.close()
        with suppress(OSError):
            os.unlink(fresh)
        raise
    return sock


async def connect(path: str, seconds: float) -> socket.socket:
    """Connect to a path in time. Raises OSError (TimeoutError included)."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(seconds):
            await asyncio.get_running_loop().sock_connect(sock, path)
    except BaseException:
        sock.close()
        raise
    return sock
