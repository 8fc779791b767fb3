"""Opening, checking and closing IOStreams."""

import asyncio
import socket
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

from tornado.iostream import IOStream, StreamClosedError

from hazellead.limits import Limits

MS = timedelta(milliseconds=1)


_T = TypeVar("_T")


async def within(span: timedelta, waiting: Awaitable[_T]) -> _T:
    """Return the awaitable's result, or raise TimeoutError after ``span``.

    ``asyncio.wait_for`` (3.11) swallows a cancellation that arrives in the same step of the event loop as the
    result, so that cancelled work would go on.
    """
    try:
        async with asyncio.timeout(span.total_seconds()):
            return await waiting
    finally:
        del waiting  # a failed future refers to its traceback, and this frame is part of it


async def connect(host: str, port: int, limits: Limits) -> IOStream:
    """Open a TCP connection; raises StreamClosedError, or TimeoutError after ``limits.connect``."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        stream = IOStream(socket.socket(family, socket.SOCK_STREAM), max_buffer_size=4 * limits.read)
    except OSError as error:  # out of file descriptors
        raise StreamClosedError(error) from error
    try:
        await within(limits.connect, stream.connect((host, port)))
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


def alive(stream: IOStream) -> bool:
    """Return whether an idle connection is open with nothing to read.

    A request written to a connection that the other side has closed would be lost without showing whether it
    ran, and a job that may have run, such as a payment, must not be sent again.
    """
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return False  # the end of the connection, or unsolicited bytes
    except BlockingIOError:
        return True
    except OSError:
        return False


def release_failure(stream: IOStream, reading: "asyncio.Future[bytes] | None") -> None:
    """Drop the tracebacks of a closed stream's errors, which its owner and the stream still refer to.

    The frames in a traceback refer to the owner in turn. Such a cycle would keep all that the connection has
    received in memory until the garbage collector looks for cycles, which may be hundreds of connections
    later.
    """
    errors: list[BaseException | None] = [stream.error]
    if reading is not None and reading.done() and not reading.cancelled():
        errors.append(reading.exception())
    for error in errors:
        while error is not None:
            error.__traceback__ = None
            error = error.__cause__ or error.__context__


async def close_gently(stream: IOStream, limits: Limits, reading: Awaitable[bytes] | None = None) -> None:
    """Shut down writing, read until the other side closes or ``limits.linger`` has passed, then close.

    A close with unread bytes sends a reset, which can overtake the last answer. ``reading`` is a read that
    has already been started on the stream.
    """
    try:
        stream.socket.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(limits.linger.total_seconds()):
            while True:
                await (reading or stream.read_bytes(limits.read, partial=True))
                reading = None
                # Limits the processor time spent on a peer that goes on sending at full speed.
                await asyncio.sleep(limits.drain_pause.total_seconds())
    except (StreamClosedError, OSError, TimeoutError):
        pass
    finally:
        stream.close()
