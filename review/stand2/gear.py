"""Stand-ins for the Gearman front: clients and workers, by the public Gearman protocol."""

import asyncio
import struct
from contextlib import suppress

from .lib import HOST, ROOT, BlockedError, free_port

CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB, NO_JOB, JOB_ASSIGN = 1, 4, 6, 7, 8, 9, 10, 11
WORK_STATUS, WORK_COMPLETE, WORK_FAIL, SUBMIT_JOB_BG, ERROR = 12, 13, 14, 18, 19
SET_CLIENT_ID, WORK_WARNING = 22, 29
NAMES = {JOB_CREATED: "JOB_CREATED", WORK_STATUS: "WORK_STATUS", WORK_COMPLETE: "WORK_COMPLETE",
         WORK_FAIL: "WORK_FAIL", ERROR: "ERROR", WORK_WARNING: "WORK_WARNING"}


class Peer:
    """One Gearman connection, of a client or a worker."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port):
        """Connect to the Gearman port."""
        return cls(*await asyncio.open_connection(HOST, port))

    def send(self, kind, *args):
        """Write a request packet."""
        data = b"\0".join(args)
        self.writer.write(b"\0REQ" + struct.pack(">II", kind, len(data)) + data)

    async def packet(self):
        """Read a packet; return its type and data."""
        magic, kind, size = struct.unpack(">4sII", await self.reader.readexactly(12))
        if magic != b"\0RES":
            raise BlockedError(f"magic {magic!r}")
        return kind, await self.reader.readexactly(size)

    def close(self):
        """Close the connection."""
        self.writer.close()


class GearWorker:
    """A worker with some connections; each takes one job at a time. A job's workload is "seconds id"."""

    def __init__(self, case, name, function="post_payment", sessions=2):
        self.case, self.name, self.function, self.sessions = case, name, function, sessions
        self.runs = []

    def start(self, port):
        """Connect all sessions."""
        for _ in range(self.sessions):
            self.case.background(self._serve(port))

    async def _serve(self, port):
        while True:
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._session(await Peer.connect(port))
            await asyncio.sleep(0.2)  # then it connects again

    async def _session(self, peer):
        peer.send(SET_CLIENT_ID, self.name.encode())
        peer.send(CAN_DO, self.function.encode())
        while True:
            peer.send(GRAB_JOB)
            kind, data = await peer.packet()
            while kind == NOOP:
                kind, data = await peer.packet()
            if kind == NO_JOB:
                peer.send(PRE_SLEEP)
                while kind != NOOP:
                    kind, data = await peer.packet()
                continue
            if kind != JOB_ASSIGN:
                continue
            handle, _, workload = data.split(b"\0", 2)
            seconds, identity = workload.decode().split(" ", 1)
            self.runs.append((self.case.now(), identity))
            self.case.say("run", worker=self.name, id=identity)
            if not await self.run(peer, handle, identity, float(seconds)):
                return

    async def run(self, peer, handle, identity, seconds):
        """Run a job; return whether the connection can be used further."""
        await asyncio.sleep(seconds)
        peer.send(WORK_COMPLETE, handle, b"posted " + identity.encode())
        self.case.say("done", worker=self.name, id=identity)
        return True


class GearScheduler:
    """The project's program with the Gearman front, by an operator's file like deploy/gearman.toml."""

    def __init__(self, case, names, zones=("tartu-dc", "tallinn-dc"), inventory="inventory.csv"):
        self.case, self.port, self.http, self.console = case, free_port(), free_port(), free_port()
        self.folder = case.tmp / "gearman"
        self.folder.mkdir()
        self.inventory = self.folder / inventory
        self.states = {name: (zones[n % len(zones)], "up") for n, name in enumerate(names)}
        self.save()
        text = (ROOT / "deploy/gearman.toml").read_text().replace(
            'inventory = "inventory.csv"', f'inventory = "{inventory}"')
        addresses = f'listen = "{HOST}:{self.http}"\nconsole = "{HOST}:{self.console}"'
        for old, new in (('listen = "127.0.0.1:8080"', addresses),
                         ("127.0.0.1:4730", f"{HOST}:{self.port}")):
            if old not in text:
                raise BlockedError("deploy/gearman.toml has another form")
            text = text.replace(old, new)
        self.file = self.folder / "gearman.toml"
        self.file.write_text(text)

    def save(self):
        """Write the inventory beside the old one and move it over, as configuration tools do."""
        self.replace(self.text())

    def text(self):
        """Return the inventory as CSV."""
        rows = "".join(f"{n},gearman,{zone},fast-2c,{state}\n" for n, (zone, state) in self.states.items())
        return "name,protocol,zone,model,state\n" + rows

    def replace(self, text):
        """Put a new inventory in place of the old one, whole."""
        temporary = self.inventory.with_suffix(".new")
        temporary.write_text(text)
        temporary.rename(self.inventory)

    async def start(self, workers):
        """Start the program, connect the workers and wait until all are listed."""
        environment = {"TMPDIR": str(self.folder)}
        self.process = self.case.start("gearman", environment, str(self.file))
        for _ in range(200):
            with suppress(OSError):
                peer = await Peer.connect(self.port)
                break
            await asyncio.sleep(0.05)
        else:
            raise BlockedError("the program did not listen")
        for worker in workers:
            worker.start(self.port)
        expected = sum(w.sessions for w in workers)
        for _ in range(200):
            peer.writer.write(b"workers\n")
            count = 0
            while (line := await peer.reader.readline()) != b".\n":
                count += line.rstrip().endswith(b"post_payment")
            if count >= expected:
                break
            await asyncio.sleep(0.05)
        else:
            raise BlockedError("the workers did not connect")
        peer.close()
        await asyncio.sleep(0.5)
