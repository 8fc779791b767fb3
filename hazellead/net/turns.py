"""Turns of connections that have more to process than others, so that none of them holds up the event loop.

A read or a write that can be done at once does not suspend its task. A peer that sends at full speed would
therefore be served without a pause, and nothing else: no other connection, timer or signal.
"""

import asyncio
from collections import deque

from tornado.iostream import IOStream


class TurnQueue:
    """Lets one of the waiting connections go on in each iteration of the event loop, in order of arrival."""

    def __init__(self) -> None:
        """Start without waiting connections."""
        self._waiting = deque[asyncio.Future[None]]()
        self._scheduled = False

    async def wait(self, stream: IOStream) -> None:
        """Wait for the next turn, or until the stream is closed, which frees what its connection holds."""
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._schedule()
        stream.set_close_callback(lambda: _go_on(turn))
        try:
            await turn
        finally:
            stream.set_close_callback(None)

    def _schedule(self) -> None:
        if not self._scheduled and self._waiting:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self._scheduled = False
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():  # else its stream has been closed
                _go_on(turn)
                break
        self._schedule()


def _go_on(turn: asyncio.Future[None]) -> None:
    if not turn.done():
        turn.set_result(None)
