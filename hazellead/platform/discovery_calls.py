"""Calls to discovery over HTTP/1.1."""

import json
from typing import Any, Protocol

from hazellead.limits import Limits
from hazellead.net import http, streams
from hazellead.net.client import ClientConnection
from hazellead.platform.server_list import ListError

HOSTS_PATH = "/discovery/hosts"


class RefusedError(Exception):
    """Discovery answered with an error status: it is down or overloaded."""


class DiscoveryConnection(Protocol):
    """A connection to discovery; one call at a time."""

    @property
    def quiet(self) -> bool:
        """Whether it is open and has received nothing unsolicited."""

    async def ask(self, query: str) -> Any:
        """Make one call and return its answer's JSON.

        Raises RefusedError for a status other than 200, ListError for an answer that is malformed or too
        large, and StreamClosedError if the connection ends.
        """

    def close(self) -> None:
        """Close it."""


class Connect(Protocol):
    """A function that opens connections to discovery."""

    async def __call__(self, address: tuple[str, int], limits: Limits) -> DiscoveryConnection:
        """Open a connection; raises StreamClosedError or TimeoutError."""


class HttpDiscoveryConnection:
    """A connection to discovery over TCP."""

    def __init__(self, connection: ClientConnection, address: tuple[str, int], limits: Limits) -> None:
        """Take over an open connection."""
        self._connection, self._limits = connection, limits
        self._host = f"{address[0]}:{address[1]}"

    @property
    def quiet(self) -> bool:
        """Whether it is open and has received nothing unsolicited."""
        return self._connection.quiet

    async def ask(self, query: str) -> Any:
        """Make one call and return its answer's JSON; raises as DiscoveryConnection does."""
        await self._connection.stream.write(http.request("GET", HOSTS_PATH + query, self._host))
        try:
            message = await self._connection.response(self._limits.for_lists())
        except http.HttpError as error:
            too_large = error.status == 413
            reason = f"list over {self._limits.worker_list} bytes" if too_large else str(error)
            raise ListError(reason) from None
        if not message.keep:
            self._connection.close()
        if message.status != 200:
            raise RefusedError(f"status {message.status}")
        try:
            return json.loads(message.body)
        except (ValueError, RecursionError):
            raise ListError("not JSON") from None

    def close(self) -> None:
        """Close it."""
        self._connection.close()


async def connect(address: tuple[str, int], limits: Limits) -> DiscoveryConnection:
    """Open a connection over TCP; raises StreamClosedError or TimeoutError."""
    stream = await streams.connect(*address, limits)
    return HttpDiscoveryConnection(ClientConnection(stream, limits), address, limits)
