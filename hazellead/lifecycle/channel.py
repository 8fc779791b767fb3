"""A Unix stream socket that carries messages with file descriptors. Imported only for a hand-over."""

import array
import asyncio
import errno
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from hazellead.lifecycle.messages import MAX_DESCRIPTORS, FrameReader, Message, MessageError, encode

_READ_BYTES = 64 * 1024
_DESCRIPTOR_RETRY_S = 0.01
_PEER_CLOSED_ERRORS = frozenset({errno.EPIPE, errno.ECONNRESET})  # of a write after the other side has closed
_ANCILLARY_BYTES = socket.CMSG_SPACE(4 * 2 * MAX_DESCRIPTORS)
MessageHandler = Callable[[Message, list[socket.socket]], None]


@dataclass(slots=True)
class _Unsent:
    """A message that is not written whole yet; its sockets are sent with its first byte."""

    message: Message
    data: memoryview
    sockets: list[socket.socket]


class Channel:
    """One end of the connection between two processes.

    ``on_message`` is called with each message and its sockets, and has to close these.
    """

    def __init__(
        self, sock: socket.socket, on_message: MessageHandler, on_end: Callable[[str], None],
    ) -> None:
        """Start reading; ``on_end(reason)`` is called once, when either side or an error ends the channel."""
        sock.setblocking(False)
        self._sock, self._on_message, self._on_end = sock, on_message, on_end
        self._loop = asyncio.get_running_loop()
        self._reader, self._received_sockets = FrameReader(), deque[socket.socket]()
        self._outgoing: deque[_Unsent] = deque()
        self._peer_closed = False  # nothing more can be written; what the peer wrote may still be unread
        self.open = True
        self._loop.add_reader(sock, self._receive)

    @property
    def unsent(self) -> int:
        """Return the number of messages that are not written whole yet."""
        return len(self._outgoing)

    @property
    def writable(self) -> bool:
        """Return whether the other side can still read what is sent."""
        return self.open and not self._peer_closed

    def closed_by_peer(self) -> bool:
        """Return whether the other side has closed the channel, even if that has not been read here yet."""
        if not self.writable:
            return True
        try:
            return not self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send(self, kind: str, sockets: Sequence[socket.socket] = (), **body: object) -> None:
        """Write a message now, or once the socket takes it; ``sockets`` are closed here once sent."""
        if not self.writable:
            for sock in sockets:
                sock.close()
            return
        message = Message(kind, body, len(sockets))
        self._outgoing.append(_Unsent(message, memoryview(encode(message)), list(sockets)))
        self._flush()

    def take_unsent(self) -> list[tuple[Message, list[socket.socket]]]:
        """Return the messages whose sockets have not been sent, with these sockets, and clear the queue.

        The caller must close the sockets. To be called in ``on_end``, after which the queue is dropped.
        """
        taken = [(unsent.message, unsent.sockets) for unsent in self._outgoing if unsent.sockets]
        self._outgoing.clear()
        return taken

    def close(self, reason: str = "closed here") -> None:
        """End the channel; unsent messages are dropped unless ``on_end`` takes them."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for sock in self._received_sockets:
            sock.close()
        self._received_sockets.clear()
        self._on_end(reason)
        for _, sockets in self.take_unsent():
            for sock in sockets:
                sock.close()

    def _flush(self) -> None:
        while self.writable and self._outgoing:
            first = self._outgoing[0]
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS,
                       array.array("i", [s.fileno() for s in first.sockets]))] if first.sockets else []
            try:
                sent = self._sock.sendmsg([first.data], rights)
            except BlockingIOError:
                self._loop.add_writer(self._sock, self._flush)
                return
            except OSError as error:
                self._handle_write_error(error)
                return
            for sock in first.sockets:  # sent with the first byte
                sock.close()
            first.data, first.sockets = first.data[sent:], []
            if not first.data:
                self._outgoing.popleft()
        if self.open:
            self._loop.remove_writer(self._sock)

    def _handle_write_error(self, error: OSError) -> None:
        """Retry later, stop writing but read on if the other side has closed, or end the channel."""
        if error.errno == errno.ETOOMANYREFS:  # the system's limit on descriptors in flight
            self._loop.call_later(_DESCRIPTOR_RETRY_S, self._flush)
        elif error.errno in _PEER_CLOSED_ERRORS:
            # Messages that the other side wrote before it closed may still be unread here, with clients'
            # connections and decisions on jobs; closing now would drop them. End of file is read after them.
            self._peer_closed = True
            self._loop.remove_writer(self._sock)
        else:
            self.close(f"cannot write: {error.strerror}")

    def _receive(self) -> None:
        try:
            data, ancillary, flags, _ = self._sock.recvmsg(
                _READ_BYTES, _ANCILLARY_BYTES, socket.MSG_CMSG_CLOEXEC)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"cannot read: {error.strerror}")
            return
        for level, kind, raw in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                descriptors = array.array("i")
                descriptors.frombytes(raw[:len(raw) - len(raw) % descriptors.itemsize])
                self._received_sockets.extend(filter(None, map(_socket_of, descriptors)))
        if flags & socket.MSG_CTRUNC or len(self._received_sockets) > 4 * MAX_DESCRIPTORS:
            self.close("descriptors were lost")
            return
        if not data:
            self.close("the other process ended it")
            return
        try:
            for message in self._reader.feed(data):
                if message.descriptors > len(self._received_sockets):
                    raise MessageError("descriptors are missing")
                self._on_message(
                    message, [self._received_sockets.popleft() for _ in range(message.descriptors)])
                if not self.open:
                    return
        except MessageError as error:
            self.close(str(error))


def _socket_of(descriptor: int) -> socket.socket | None:
    """Return a socket for a received descriptor; None, with the descriptor closed, if it is not a socket."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError:
        with suppress(OSError):
            os.close(descriptor)
        return None
    sock.setblocking(False)
    return sock


def listen_at(path: str) -> socket.socket:
    """Listen at a path, replacing any file there; only the same user may connect. Raises OSError."""
    temporary = f"{path}.{os.getpid()}"
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with suppress(FileNotFoundError):
            os.unlink(temporary)
        sock.bind(temporary)
        os.chmod(temporary, 0o600)
        sock.listen(4)
        sock.setblocking(False)
        os.rename(temporary, path)  # atomic: a socket exists at the path at all times
    except BaseException:
        sock.close()
        with suppress(OSError):
            os.unlink(temporary)
        raise
    return sock


async def connect(path: str, seconds: float) -> socket.socket:
    """Connect to the socket at a path within ``seconds``. Raises OSError, TimeoutError included."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(seconds):
            await asyncio.get_running_loop().sock_connect(sock, path)
    except BaseException:
        sock.close()
        raise
    return sock


def is_served(path: str) -> bool:
    """Return whether a process listens at the socket at a path; False if that cannot be found out."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            sock.connect(path)
    except BlockingIOError:  # its queue is full
        return True
    except OSError:
        return False
    return True
