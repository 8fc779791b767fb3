"""Calls to discovery: one HTTP/1.1 connection, and what may come of a call on it."""

import json
from typing import Any, Protocol

from hazellead.limits import Limits
from hazellead.net import http, streams
from hazellead.net.client import ClientConnection
from hazellead.platform.server_list import ListError

HOSTS = "/discovery/hosts"


class RefusedError(Exception):
    """Discovery answered, but not with a list: it is down, or has no room for the call."""


class DiscoveryConnection(Protocol):
    """A connection to discovery; one call at a time."""

    @property
    def quiet(self) -> bool:
        """Say whether it is open, with nothing on it that was not asked for."""

    async def ask(self, query: str) -> Any:
        """Make one call and return its answer's JSON.

        Raises RefusedError, ListError, or StreamClosedError if the connection ends.
        """

    def close(self) -> None:
        """End it."""


class Connect(Protocol):
    """Opens connections to discovery."""

    async def __call__(self, address: tuple[str, int], limits: Limits) -> DiscoveryConnection:
        """Open one; raises StreamClosedError or TimeoutError."""


class HttpDiscoveryConnection:
    """A connection over TCP."""

    def __init__(self, connection: ClientConnection, address: tuple[str, int], limits: Limits) -> None:
        """Take an open connection over."""
        self._connection, self._limits = connection, limits
        self._host = f"{address[0]}:{address[1]}"

    @property
    def quiet(self) -> bool:
        """Say whether it is open, with nothing on it that was not asked for."""
        return self._connection.quiet

    async def ask(self, query: str) -> Any:
        """Make one call and return its answer's JSON."""
        await self._connection.stream.write(http.request("GET", HOSTS + query, self._host))
        try:
            message = await self._connection.response(self._limits.for_lists())
        except http.HttpError as error:
            too_large = error.status == 413
            what = f"list over {self._limits.worker_list} bytes" if too_large else str(error)
            raise ListError(what) from None
        if not message.keep:
            self._connection.close()
        if message.status != 200:
            raise RefusedError(f"status {message.status}")
        try:
            return json.loads(message.body)
        except (ValueError, RecursionError):
            raise ListError("not JSON") from None

    def close(self) -> None:
        """End it."""
        self._connection.close()


async def connect(address: tuple[str, int], limits: Limits) -> DiscoveryConnection:
    """Open a connection over TCP."""
    stream = await streams.connect(*address, limits)
    return HttpDiscoveryConnection(ClientConnection(stream, limits), address, limits)
