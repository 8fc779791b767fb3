"""Two processes of one hand-over use the newest list of servers that either has received, and its lease."""

import asyncio
import json
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from loopback import HttpWorker, free_port, http_message, http_post, run, until
from test_handover import TENANTS
from test_program import BRIEF_SETTINGS, HEADERS, program

from hazellead.net import http

GRACE_S = 0.4  # after a drain was told, in which new work may still be sent
SERVED_WITHIN_S = 2.0  # with a lease; a job over its tenant's share is refused and sent again


class Discovery:
    """A discovery with long polls that serves only some of its connections."""

    def __init__(self, *workers: HttpWorker) -> None:
        self.workers, self.version = workers, 1
        self.drained_at: dict[str, int] = {}  # version of a worker's drain
        self.changed = asyncio.Condition()
        self.connections: list[asyncio.StreamWriter] = []  # that have made a call, in the order of the first
        self.silent: set[asyncio.StreamWriter] = set()  # whose calls are not answered
        self.refuses_others = False  # calls of connections that come from now on get 503
        self.ignores_others = False  # or no answer
        self.watches: set[asyncio.StreamWriter] = set()  # with a call that waits for a change

    async def drain(self, worker: HttpWorker) -> None:
        async with self.changed:
            self.version += 1
            self.drained_at[worker.uid] = self.version
            self.changed.notify_all()

    def targets(self, index: int) -> list[dict[str, Any]]:
        return [{"uid": w.uid, "endpoint": f"127.0.0.1:{w.port}", "az": "tartu-dc",
                 "state": "draining" if w.uid in self.drained_at else "up"}
                for w in self.workers if index < self.drained_at.get(w.uid, 1)]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        refused, ignored = self.refuses_others, self.ignores_others
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                first, _, _ = await http_message(reader)
                if writer not in self.connections:
                    self.connections.append(writer)
                if refused:
                    writer.write(http.response(503))
                elif not ignored:
                    await self.answer(writer, first.split()[1])

    async def answer(self, writer: asyncio.StreamWriter, target: str) -> None:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        index, wait = int(query.get("index", 0)), int(query.get("wait", 0)) / 1000
        if wait > 0.1:
            self.watches.add(writer)
        async with self.changed:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait_for(lambda: self.version > index), wait)
        if writer not in self.silent:
            body = {"rev": self.version, "all": index == 0, "targets": self.targets(index)}
            writer.write(http.response(200, json.dumps(body).encode()))


class Stand:
    """A discovery, some workers and the processes of one scheduler."""

    def __init__(self, folder: Path, workers: int) -> None:
        self.folder, self.port = folder, free_port()
        self.workers = [HttpWorker(f"s-{n}", Counter(), lambda: self.port) for n in range(workers)]
        self.discovery = Discovery(*self.workers)
        self.names = iter(range(1000))

    @asynccontextmanager
    async def serving(self) -> AsyncIterator["Stand"]:
        server = await asyncio.start_server(self.discovery.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            async with AsyncExitStack() as stack:
                for worker in self.workers:
                    await stack.enter_async_context(worker.serving())
                yield self
        finally:
            server.close()

    def process(self, name: str) -> Any:
        return program(self.folder / name, self.port, *self.workers, discovery=self.address,
                       console=f"127.0.0.1:{free_port()}", settings=BRIEF_SETTINGS)

    async def post(self) -> int:
        name = f"job{next(self.names)}"
        return (await http_post(self.port, "/post-payment", name.encode(), HEADERS.format(name)))[0]

    async def post_until_served(self) -> None:
        async with asyncio.timeout(SERVED_WITHIN_S):
            while await self.post() != 200:
                await asyncio.sleep(0.05)


def test_a_successor_goes_on_by_its_predecessors_newest_list_while_its_own_calls_fail(tmp_path: Path) -> None:
    """Guards against a successor that knows of fewer drains than its predecessor, or has no lease at all."""
    async def case() -> None:
        async with Stand(tmp_path, 2).serving() as stand, stand.process("old") as old:
            discovery, (drained, sound) = stand.discovery, stand.workers
            await until(lambda: discovery.watches)
            discovery.refuses_others = True
            successor = stand.process("new")
            starting = asyncio.ensure_future(successor.__aenter__())
            await until(lambda: len(discovery.connections) > 1)  # the successor has its offer and is refused
            await discovery.drain(drained)
            await starting
            before = drained.postings.total()
            await stand.post_until_served()
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), 5) == 0
            await stand.post_until_served()
            assert drained.postings.total() == before and sound.postings.total() >= 2
            await successor.__aexit__(None, None, None)

    run(case())


@pytest.mark.parametrize("told", ["successor", "predecessor"])
def test_a_drain_told_to_one_process_binds_the_other_while_both_serve(told: str, tmp_path: Path) -> None:
    """Guards against new work to a drained server by the process whose own watch is silent."""
    async def case() -> None:
        async with Stand(tmp_path, 1).serving() as stand, stand.process("old") as old:
            discovery, (worker,) = stand.discovery, stand.workers
            await until(lambda: discovery.watches)
            # A request whose head has arrived stays with the old process.
            reader, writer = await asyncio.open_connection("127.0.0.1", stand.port)
            whole = http.request("POST", "/post-payment", "x", {
                "X-Trace-Id": "half", "X-Customer": TENANTS[0], "X-Expires-In": "2000m"}, b"halved")
            writer.write(whole[:-2])
            await asyncio.sleep(0.05)
            async with stand.process("new") as new:
                await until(lambda: len(discovery.watches) == 2)
                by_old, by_new = discovery.connections
                discovery.silent = {by_old if told == "successor" else by_new}
                discovery.ignores_others = True
                await discovery.drain(worker)
                await asyncio.sleep(GRACE_S)
                if told == "successor":
                    writer.write(whole[-2:])
                    status = int((await http_message(reader))[0].split()[1])
                else:
                    status = await stand.post()
                assert status == 429 and not worker.postings
                new.kill()
            writer.close()
            old.kill()

    run(case())


def test_connections_that_wait_while_a_killed_process_is_replaced_are_answered(tmp_path: Path) -> None:
    """Guards against requests lost with the address's queue: the successor closed it and listened anew."""
    async def case() -> None:
        async with Stand(tmp_path, 1).serving() as stand, stand.process("old") as old:
            discovery = stand.discovery
            await until(lambda: discovery.watches)
            discovery.refuses_others = True
            successor = stand.process("new")
            starting = asyncio.ensure_future(successor.__aenter__())
            await until(lambda: len(discovery.connections) > 1)  # the successor has its offer and is refused
            old.kill()
            await old.wait()
            waiting = [asyncio.ensure_future(stand.post()) for _ in range(5)]
            await starting
            assert set(await asyncio.gather(*waiting)) <= {200, 429}
            await successor.__aexit__(None, None, None)

    run(case())
