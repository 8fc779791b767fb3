"""A listener that accepts connections one by one and pauses while no file descriptor is left."""

import asyncio
import errno
import socket
from collections.abc import Coroutine, Iterable
from datetime import timedelta
from typing import Any

import structlog
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from hazellead.limits import Limits

log = structlog.get_logger()


class Listener(TCPServer):
    """A TCP server that starts handling each connection before it accepts the next.

    Tornado's own server accepts 128 connections before the first of them is counted, which could use up the
    descriptors reserved for discovery and workers. It would also spin when no descriptor is left, since the
    pending connection is reported again in every turn of the event loop.
    """

    def __init__(self, limits: Limits) -> None:
        """Start with no listening socket."""
        super().__init__(max_buffer_size=4 * limits.read, read_chunk_size=limits.read)
        self.limits = limits
        self._last_accept_failed = False
        self._running: set[asyncio.Future[None]] = set()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on these listening sockets, too."""
        for sock in sockets:
            sock.setblocking(False)
            self._sockets[sock.fileno()] = sock
            self._start_accepting(sock)

    def pause(self) -> list[socket.socket]:
        """Stop accepting and return the open listening sockets; ``add_sockets`` resumes accepting."""
        sockets = list(self._sockets.values())
        for remove in self._handlers.values():
            remove()
        self._sockets.clear()
        self._handlers.clear()
        return sockets

    def free_descriptor(self) -> None:
        """Close a connection that may be closed; called when no descriptor is left. Does nothing here."""

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a connection's coroutine as a task."""
        running = asyncio.ensure_future(work)
        self._running.add(running)
        running.add_done_callback(self._running.discard)

    def _start_accepting(self, sock: socket.socket) -> None:
        loop = IOLoop.current()
        loop.add_handler(sock, self._accept, IOLoop.READ)
        self._handlers[sock.fileno()] = lambda: loop.remove_handler(sock)

    def _accept(self, sock: socket.socket, _: int) -> None:
        for _ in range(self.limits.accepts):
            if sock.fileno() not in self._handlers:  # the last accepted connection stopped the listener
                return
            try:
                connection, address = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:  # the client disconnected before the accept
                continue
            except OSError as error:
                self._pause_accepting(sock, error)
                return
            self._last_accept_failed = False
            self._handle_connection(connection, address)

    def _pause_accepting(self, sock: socket.socket, error: OSError) -> None:
        """Stop accepting for a short pause, after closing a connection if possible: no descriptor is left."""
        if not self._last_accept_failed:
            log.warning("accept_failed", reason=error.strerror)
        self._last_accept_failed = True
        self.free_descriptor()
        loop = IOLoop.current()
        self._handlers[sock.fileno()]()
        timer = loop.call_later(self.limits.accept_pause / timedelta(seconds=1), self._start_accepting, sock)
        self._handlers[sock.fileno()] = lambda: loop.remove_timeout(timer)  # if stopped during the pause


def is_in_use(address: tuple[str, int]) -> bool:
    """Return whether another socket listens at an address, so that nothing can be bound to it."""
    try:
        for sock in bind_sockets(address[1], address[0]):
            sock.close()
    except OSError as error:
        return error.errno == errno.EADDRINUSE
    return False
