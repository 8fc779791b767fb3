"""One process leaves its address to the next: the steps of both sides over a channel, each with a time limit.

The old side is a ``HandoverSource``: it listens at a path and serves one successor at a time. The new side is
a ``HandoverTarget``. Whatever breaks before the new one has started, the old one goes on as before.
"""

import asyncio
import base64
import itertools
import os
import socket
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

import structlog

from hazellead.lifecycle import channel
from hazellead.lifecycle.channel import Channel
from hazellead.lifecycle.handover_roles import HandoverPeer, Holds, NobodyYet, Predecessor
from hazellead.lifecycle.messages import MOST_DESCRIPTORS, VERSION, Message, MessageError
from hazellead.lifecycle.passing import Batches
from hazellead.net.server import Detached

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class Steps:
    """How long each side waits for the other."""

    connect: timedelta = timedelta(seconds=1)
    offer: timedelta = timedelta(seconds=2)  # for an answer to hello
    build: timedelta = timedelta(seconds=10)  # from the offer to ready: the new process puts itself together
    commit: timedelta = timedelta(seconds=2)
    again: timedelta = timedelta(milliseconds=200)  # between tries while the other is in no state for it
    give_up: timedelta = timedelta(seconds=4)  # after so long of that
    move: timedelta = timedelta(milliseconds=20)  # between looks for connections that can be passed on
    written: timedelta = timedelta(milliseconds=500)  # for the last messages of one that ends
    call_back: timedelta = timedelta(seconds=1)  # for a call-back passed on to be answered
    jobs: timedelta = timedelta(milliseconds=500)  # for the new process's word on a batch of jobs


STEPS = Steps()
MOVED_AHEAD = 16  # messages not written yet, over which no more connections are moved


class Link:
    """A channel between two processes that serve, whichever of them is the older."""

    def __init__(self, peer: HandoverPeer) -> None:
        """Start without a channel."""
        self.peer = peer
        self.channel: Channel | None = None
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[int]] = {}

    @property
    def open(self) -> bool:
        """Say whether the other process can be reached."""
        return self.channel is not None and self.channel.open

    @property
    def joined(self) -> bool:
        """Say whether both processes serve, so that a call-back may be for the other."""
        raise NotImplementedError

    def _send(self, kind: str, sockets: Sequence[socket.socket] = (), **body: Any) -> None:
        if self.channel:
            self.channel.send(kind, sockets, **body)

    def pass_call_back(
        self, identity: str, sender: str, state: str, rest: Any,
    ) -> "asyncio.Future[int] | None":
        """Pass a call-back on; the future gives the answer, 503 if none comes. None: nobody is there."""
        if not self.joined:
            return None
        number, answer = next(self._numbers), asyncio.get_running_loop().create_future()
        self._asked[number] = answer
        # Guards against one that hangs: the worker tries again, and by then the other may be gone.
        asyncio.get_running_loop().call_later(STEPS.call_back.total_seconds(), self._answer, number, 503)
        self._send("call_back", number=number, id=identity, sender=sender, state=state, rest=rest)
        return answer

    def _answer(self, number: int, status: int) -> None:
        answer = self._asked.pop(number, None)
        if answer and not answer.done():
            answer.set_result(status)

    def follow(self, message: Message, sockets: list[socket.socket]) -> bool:
        """Act on a message that either side may send; False if it is none of these."""
        if message.kind == "call_back":
            number = message.number("number")
            identity, sender, state = (message.text(key) for key in ("id", "sender", "state"))
            answer = self.peer.take_call_back(identity, sender, state, message.body.get("rest"))
            if answer is None:
                self._send("answered", number=number, status=200)
            else:
                answer.add_done_callback(lambda status: self._send(
                    "answered", number=number, status=status.result()))
        elif message.kind == "answered":
            self._answer(message.number("number"), message.number("status"))
        elif message.kind == "left":
            self.peer.other_holds(Holds.read(message))
        elif message.kind == "connections":
            try:
                read = [base64.b64decode(text, validate=True) for text in message.texts("read")]
            except ValueError:
                raise MessageError("malformed connections") from None
            flags = message.texts("flags")
            if not len(read) == len(flags) == len(sockets):
                raise MessageError("connections do not match their descriptors")
            for sock, data, flag in zip(sockets, read, flags, strict=True):
                self.peer.adopt(Detached(sock, data, "p" in flag, "l" in flag))
        else:
            return False
        return True

    def ended(self) -> None:
        """Settle what the other process will not answer any more: its jobs have ended with it."""
        for number in list(self._asked):
            self._answer(number, 200)
        self.peer.parted()
        self.peer.other_holds(Holds())


class _Step(Enum):
    ALONE = "alone"
    OFFERED = "offered"
    COMMITTED = "committed"
    SUCCEEDED = "succeeded"


class HandoverSource(Link):
    """The old side."""

    def __init__(self, path: str, listen: str, host: Predecessor) -> None:
        """Offer nothing yet."""
        super().__init__(host)
        self._path, self._listen, self._host = path, listen, host
        self._socket: socket.socket | None = None
        self._step, self._clock = _Step.ALONE, 0  # the second counts steps: earlier ones' limits are void
        self._final = self._takes = False  # the second: the successor can go on with open jobs
        self._batches = Batches[str]()

    @property
    def joined(self) -> bool:
        """Say whether a successor serves: one that is still built can take nothing but the next step."""
        return self.open and self._step is _Step.SUCCEEDED

    def begin(self) -> None:
        """Listen; where that cannot be, say so and go on without."""
        try:
            self._socket = channel.bind(self._path)
        except OSError as error:
            log.warning("handover_unavailable", reason=error.strerror or str(error))
            return
        asyncio.get_running_loop().add_reader(self._socket, self._knock)

    def stop(self) -> None:
        """Serve no further successor."""
        if self._socket:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    async def written(self) -> None:
        """Wait for a moment until all that was passed on is on its way: it is lost with this process else."""
        loop = asyncio.get_running_loop()
        until = loop.time() + STEPS.written.total_seconds()
        while self.channel and self.channel.waiting and loop.time() < until:
            await asyncio.sleep(STEPS.move.total_seconds())

    def end(self) -> None:
        """End for good: this process is about to exit."""
        self._final = True
        if self._step is _Step.ALONE:
            with suppress(OSError):
                if self._socket:
                    os.unlink(self._path)
        self.stop()
        if self.channel:
            self.channel.close("this process ends")

    def _knock(self) -> None:
        with suppress(OSError):
            while self._socket:
                sock, _ = self._socket.accept()
                if self.channel or self._final:
                    sock.close()  # one at a time
                    continue
                self.channel = Channel(sock, self._take, self._over)
                self._limit(STEPS.offer)

    def _limit(self, span: timedelta) -> None:
        """End the channel unless another step is reached in time."""
        self._clock += 1
        asyncio.get_running_loop().call_later(span.total_seconds(), self._expire, self._clock)

    def _expire(self, clock: int) -> None:
        if clock == self._clock and self._step is not _Step.SUCCEEDED and self.channel:
            self.channel.close("no next step in time")

    def _take(self, message: Message, sockets: list[socket.socket]) -> None:
        step = self._step
        if step is _Step.ALONE and message.kind == "hello":
            self._hello(message)
        elif step is _Step.OFFERED and message.kind == "ready":
            self._step = _Step.COMMITTED
            self._limit(STEPS.commit)
            self._send("commit", **self._host.leave())
        elif step is _Step.COMMITTED and message.kind == "started":
            self._step = _Step.SUCCEEDED
            self.stop()
            log.info("handed_over")
            if self._takes:
                self._host.successor_takes()
            self._tick()
        elif step is _Step.SUCCEEDED and message.kind == "jobs_ready":
            self._decide(message.number("number"), message.texts("ids"))
        elif step is not _Step.SUCCEEDED or not self.follow(message, sockets):
            for sock in sockets:
                sock.close()
            raise MessageError(f"{message.kind} out of turn")

    def _hello(self, message: Message) -> None:
        if message.number("version") != VERSION or message.text("listen") != self._listen:
            self._send("no", why="another version or address", again=False)
            return
        offer = self._host.offer()
        if isinstance(offer, str):
            self._send("no", why=offer, again=True)
            return
        sockets, body = offer
        self._step, self._takes = _Step.OFFERED, message.body.get("takes_jobs") is True
        self._limit(STEPS.build)
        self._send("offer", sockets, version=VERSION, **body)

    def _tick(self) -> None:
        if self._step is _Step.SUCCEEDED and self.channel:
            self._move(self.channel)
            self._pass_jobs()
            asyncio.get_running_loop().call_later(STEPS.move.total_seconds(), self._tick)

    def _pass_jobs(self) -> None:
        """Offer some jobs, one batch at a time: what is parked is bounded, and so is what lies unread."""
        channel = self.channel
        if not self._takes or self._batches.busy or channel is None or not channel.writable:
            return
        if channel.waiting >= MOVED_AHEAD:
            return
        if some := self._host.passable(MOST_DESCRIPTORS):
            self._batches.begin({p.job.job.identity: p.job.job.identity for p, _ in some})
            number = self._batches.number
            asyncio.get_running_loop().call_later(STEPS.jobs.total_seconds(), self._decide, number, None)
            self._send("jobs", [sock for _, sock in some], number=number, jobs=[p.body() for p, _ in some])

    def _decide(self, number: int, ready: Sequence[str] | None) -> None:
        """Part with the jobs of a batch that the other is ready for; None: its word has not come in time.

        Guards against both acting for one job: what is not parted with here must not be begun there, so the
        other is told that as well, behind the batch that it may still have to read.
        """
        if number != self._batches.number or not self._batches.busy:
            return
        yours, _ = self._batches.settle(number, ready or ())
        self._send("jobs_yours", number=number, ids=yours)
        self._host.passed(yours, refused=ready is not None)
        if ready is not None:
            self._pass_jobs()

    def _move(self, channel: Channel) -> None:
        """Pass on what can be at this moment."""
        self._send("left", **self._host.holds().body())
        while channel.writable and channel.waiting < MOVED_AHEAD:
            some = list(itertools.islice(self._host.movable(), MOST_DESCRIPTORS))
            if not some:
                break
            channel.send(
                "connections", [m.sock for m in some], read=[base64.b64encode(m.read).decode() for m in some],
                flags=["p" * m.proven + "l" * m.from_worker for m in some])

    def _over(self, reason: str) -> None:
        step, self._step, channel, self.channel = self._step, _Step.ALONE, self.channel, None
        self._clock += 1
        self._batches.void()
        self._takes = False
        self.ended()
        if self._final:
            return
        if step in (_Step.COMMITTED, _Step.SUCCEEDED):
            log.warning("handover_taken_back", reason=reason)
            self._host.take_back()
            self._keep_unwritten(channel)
            if self._socket is None:
                self.begin()
        elif step is _Step.OFFERED:
            log.warning("handover_broken", reason=reason)


    def _keep_unwritten(self, channel: Channel | None) -> None:
        """Serve the connections that the other process has not got: they are still taken on here."""
        for message, sockets in channel.take_unwritten() if channel else ():
            if message.kind == "connections":
                self.follow(message, sockets)
            else:
                for sock in sockets:
                    sock.close()


class HandoverError(Exception):
    """The serving process could not be replaced; it goes on."""


class BrokenOffError(HandoverError):
    """The serving process has ended the channel."""


class HandoverTarget(Link):
    """The new side, before and after it serves."""

    def __init__(self) -> None:
        """Hold nothing yet; ``peer`` must be set before ``commit``."""
        super().__init__(NobodyYet())
        self.sockets: list[socket.socket] = []
        self.body: dict[str, Any] = {}
        self._waiting: asyncio.Future[Message] | None = None
        self._serving = False

    @property
    def joined(self) -> bool:
        """Say whether this process serves beside the other."""
        return self.open and self._serving

    async def ask(self, path: str, listen: str) -> bool:
        """Ask whoever serves to be replaced. False: nobody does, or it cannot be asked.

        Raises HandoverError where one serves and does not let itself be replaced.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + STEPS.give_up.total_seconds()
        while True:
            try:
                sock = await channel.connect(path, STEPS.connect.total_seconds())
            except OSError:
                return False  # none there, a file that nobody listens at, or no such sockets here
            self.channel = Channel(sock, self._take, self._over)
            self._send("hello", version=VERSION, listen=listen, takes_jobs=True)
            try:
                answer = await self._next(STEPS.offer, "an offer")
            except BrokenOffError:  # it ends, or has another at its door
                answer = Message("no", {"why": "it breaks off", "again": True})
            if answer.kind == "offer" and answer.number("version") == VERSION and self.sockets:
                self.body = answer.body
                return True
            self.channel.close("no offer")
            if answer.kind != "no" or answer.body.get("again") is not True or loop.time() > until:
                raise HandoverError(f"the serving process cannot be replaced: {answer.body.get('why')}")
            await asyncio.sleep(STEPS.again.total_seconds())

    async def commit(self) -> Message:
        """Have the other accept no more; return what it commits. Raises HandoverError."""
        self._send("ready")
        answer = await self._next(STEPS.commit, "its commitment")
        if answer.kind != "commit":
            raise HandoverError(f"the serving process said {answer.kind}")
        self._serving = True
        return answer

    def started(self) -> None:
        """Say that this process serves."""
        self._send("started")

    def drop(self) -> None:
        """End the channel and let go of what came."""
        if self.channel:
            self.channel.close()
        for sock in self.sockets:
            sock.close()
        self.sockets = []

    async def _next(self, span: timedelta, what: str) -> Message:
        if not self.open:
            raise BrokenOffError("the serving process broke off")
        self._waiting = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self._waiting, span.total_seconds())
        except TimeoutError:
            self.drop()
            raise HandoverError(f"the serving process did not send {what} in time") from None
        finally:
            self._waiting = None

    def _take(self, message: Message, sockets: list[socket.socket]) -> None:
        if self._waiting and not self._waiting.done():
            self.sockets += sockets
            self._waiting.set_result(message)
        elif self._serving and message.kind == "jobs":
            try:
                number, jobs = message.number("number"), message.body.get("jobs")
                if not isinstance(jobs, list) or not 0 < len(jobs) == len(sockets):
                    raise MessageError("jobs do not match their descriptors")
                read = [self.peer.read_job(body) for body in jobs]
            except MessageError:
                for sock in sockets:
                    sock.close()
                raise
            self._send("jobs_ready", number=number, ids=self.peer.offered(
                number, list(zip(read, sockets, strict=True))))
        elif self._serving and message.kind == "jobs_yours":
            self.peer.decided(message.number("number"), message.texts("ids"))
        elif not self._serving or not self.follow(message, sockets):
            for sock in sockets:
                sock.close()
            raise MessageError(f"{message.kind} out of turn")

    def _over(self, reason: str) -> None:
        if self._waiting and not self._waiting.done():
            self._waiting.set_exception(BrokenOffError(f"the serving process broke off: {reason}"))
        elif self._serving:
            log.info("predecessor_ended", reason=reason)
        self.ended()
