"""Hand-over of a listening address from one process to its successor, over a channel, step by step.

The old process has a ``HandoverSource``: it listens at a path and serves one successor at a time. The new
process has a ``HandoverTarget``. Each step has a time limit. If anything fails before the new process has
started to serve, the old one continues as before.
"""

import asyncio
import base64
import itertools
import os
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

import structlog

from hazellead.core.clock import to_us
from hazellead.lifecycle import channel
from hazellead.lifecycle.channel import Channel
from hazellead.lifecycle.handover_roles import (
    CallBack,
    HandoverHandler,
    NullHandler,
    OpenWork,
    PredecessorHandler,
)
from hazellead.lifecycle.messages import MAX_DESCRIPTORS, PROTOCOL_VERSION, Message, MessageError
from hazellead.lifecycle.passed_jobs import PendingBatch
from hazellead.net.server import Detached

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class Timings:
    """Time limits of the hand-over's steps, and intervals between repeated steps."""

    connect: timedelta = timedelta(seconds=1)
    offer: timedelta = timedelta(seconds=2)  # for hello, and for the answer to it
    build: timedelta = timedelta(seconds=10)  # from the offer to ready: the new process builds its parts
    commit: timedelta = timedelta(seconds=2)  # for commit, and for started after it
    retry_interval: timedelta = timedelta(milliseconds=200)  # while the other cannot be replaced yet
    retry_limit: timedelta = timedelta(seconds=4)  # from the first attempt; a refusal after it is final
    pass_on_interval: timedelta = timedelta(milliseconds=20)  # between rounds of passing work on
    flush: timedelta = timedelta(milliseconds=500)  # for the last messages of a process that exits
    call_back: timedelta = timedelta(seconds=1)  # for the answer to a forwarded call-back
    request: timedelta = timedelta(milliseconds=500)  # for a request that waits to be passed on
    job_decision: timedelta = timedelta(milliseconds=500)  # for the new process's answer to a batch of jobs


TIMINGS = Timings()
MAX_BATCH_BYTES = 1 << 20  # of requests, above which a message takes no more; far below a message's limit
MAX_UNSENT_MESSAGES = 16  # on the channel; while as many wait, no more connections or jobs are passed on


class HandoverLink:
    """The channel between two processes that both serve, as either of them uses it."""

    def __init__(self, handler: HandoverHandler) -> None:
        """Start without a channel; ``handler`` acts on the other process's messages."""
        self.handler = handler
        self.channel: Channel | None = None
        self._other_adopts_lists = False  # the other process accepts ``list`` messages
        self._call_back_numbers = itertools.count(1)
        self._forwarded: dict[int, asyncio.Future[int]] = {}

    @property
    def open(self) -> bool:
        """Return whether the other process can be reached."""
        return self.channel is not None and self.channel.open

    other_is_successor: bool  # else the other process is the predecessor

    @property
    def both_serve(self) -> bool:
        """Return whether both processes serve, so that a call-back may concern the other's jobs."""
        raise NotImplementedError

    def _send(self, kind: str, sockets: Sequence[socket.socket] = (), **body: Any) -> None:
        if self.channel:
            self.channel.send(kind, sockets, **body)

    def share_server_list(self) -> None:
        """Send this process's list of servers to the other process while both serve.

        What discovery has told to one process of a scheduler counts as notified to both.
        """
        if self.both_serve and self._other_adopts_lists:
            self._send("list", **self.handler.server_list())

    def forward_call_back(self, call_back: CallBack) -> "asyncio.Future[int] | None":
        """Forward a call-back to the other process; None if no other process serves.

        The future yields the status to answer with: 503 if the other process does not answer in time.
        """
        if not self.both_serve:
            return None
        number, answer = next(self._call_back_numbers), asyncio.get_running_loop().create_future()
        self._forwarded[number] = answer
        # If the other process hangs, 503 makes the worker retry, and by then that process may be gone.
        asyncio.get_running_loop().call_later(
            TIMINGS.call_back.total_seconds(), self._settle_forwarded, number, 503)
        self._send("call_back", number=number, id=call_back.identity, sender=call_back.sender,
                   state=call_back.state, rest=call_back.payload)
        return answer

    def _settle_forwarded(self, number: int, status: int) -> None:
        answer = self._forwarded.pop(number, None)
        if answer and not answer.done():
            answer.set_result(status)

    def handle_common(self, message: Message, sockets: list[socket.socket]) -> bool:
        """Act on a message that either side may send; return False for any other message."""
        if message.kind == "call_back":
            number = message.number("number")
            call_back = CallBack(
                message.text("id"), message.text("sender"), message.text("state"), message.body.get("rest"))
            answer = self.handler.jobs.handle_forwarded_call_back(
                call_back, from_successor=self.other_is_successor)
            if answer is None:
                self._send("answered", number=number, status=200)
            else:
                answer.add_done_callback(lambda status: self._send(
                    "answered", number=number, status=status.result()))
        elif message.kind == "answered":
            self._settle_forwarded(message.number("number"), message.number("status"))
        elif message.kind == "list":
            self.handler.adopt_server_list(message.body)
        elif message.kind == "left":
            self.handler.set_other_open_work(
                OpenWork.from_message(message), from_successor=self.other_is_successor)
        elif message.kind == "connections":
            try:
                read = [base64.b64decode(text, validate=True) for text in message.texts("read")]
            except ValueError:
                raise MessageError("malformed connections") from None
            flags = message.texts("flags")
            # An older version of the program passes on no request that has come whole.
            waited = message.spans("waited") if "waited" in message.body else [timedelta(0)] * len(read)
            if not len(read) == len(flags) == len(waited) == len(sockets):
                raise MessageError("connections do not match their descriptors")
            for sock, data, flag, span in zip(sockets, read, flags, waited, strict=True):
                self.handler.adopt(Detached(sock, data, "p" in flag, "l" in flag, waited=span))
        else:
            return False
        return True

    def settle_all_forwarded(self) -> None:
        """Settle the call-backs that wait for the other process: its jobs have ended with it."""
        for number in list(self._forwarded):
            self._settle_forwarded(number, 200)


class _Step(Enum):
    IDLE = "idle"
    OFFERED = "offered"
    COMMITTED = "committed"
    SUCCEEDED = "succeeded"


class HandoverSource(HandoverLink):
    """The hand-over in the process that is replaced."""

    other_is_successor = True

    def __init__(self, path: str, listen: str, handler: PredecessorHandler) -> None:
        """Prepare to offer the address ``listen`` at the socket ``path``."""
        super().__init__(handler)
        self._path, self._listen, self._predecessor_handler = path, listen, handler
        self._socket: socket.socket | None = None
        self._step, self._timer_number = _Step.IDLE, 0  # timers with an earlier number are void
        self._closed = self._successor_takes_jobs = self._successor_reads_locations = False
        self._batch = PendingBatch[str]()

    @property
    def both_serve(self) -> bool:
        """Return whether a successor serves; one that is still starting accepts only the next step."""
        return self.open and self._step is _Step.SUCCEEDED

    def listen(self) -> None:
        """Listen for successors, if not yet; if that fails, log it and continue without hand-over."""
        if self._socket:
            return
        try:
            self._socket = channel.listen_at(self._path)
        except OSError as error:
            log.warning("handover_unavailable", reason=error.strerror or str(error))
            return
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def stop_listening(self) -> None:
        """Accept no further successor."""
        if self._socket:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    async def flush(self) -> None:
        """Wait, up to a limit, until all messages are sent: those that are not are lost with this process."""
        loop = asyncio.get_running_loop()
        until = loop.time() + TIMINGS.flush.total_seconds()
        while self.channel and self.channel.unsent and loop.time() < until:
            await asyncio.sleep(TIMINGS.pass_on_interval.total_seconds())

    def close(self) -> None:
        """Stop listening and close the channel for good: this process is about to exit."""
        self._closed = True
        if self._step is _Step.IDLE:
            with suppress(OSError):
                if self._socket:
                    os.unlink(self._path)
        self.stop_listening()
        if self.channel:
            self.channel.close("this process ends")

    def _accept(self) -> None:
        with suppress(OSError):
            while self._socket:
                sock, _ = self._socket.accept()
                if self.channel or self._closed:
                    sock.close()  # one successor at a time
                    continue
                self.channel = Channel(sock, self._on_message, self._on_channel_end)
                self._start_timer(TIMINGS.offer)

    def _start_timer(self, span: timedelta) -> None:
        """Close the channel after ``span`` unless the next step begins before."""
        self._timer_number += 1
        asyncio.get_running_loop().call_later(span.total_seconds(), self._expire, self._timer_number)

    def _expire(self, timer_number: int) -> None:
        if timer_number == self._timer_number and self._step is not _Step.SUCCEEDED and self.channel:
            self.channel.close("no next step in time")

    def _on_message(self, message: Message, sockets: list[socket.socket]) -> None:
        step = self._step
        if step is _Step.IDLE and message.kind == "hello":
            self._answer_hello(message)
        elif step is _Step.OFFERED and message.kind == "ready":
            self._step = _Step.COMMITTED
            self._start_timer(TIMINGS.commit)
            self.handler.adopt_server_list(message.body)
            self._send("commit", **self._predecessor_handler.stop_accepting())
        elif step is _Step.COMMITTED and message.kind == "started":
            self._step = _Step.SUCCEEDED
            self.stop_listening()
            log.info("handed_over")
            if self._successor_takes_jobs:
                self._predecessor_handler.enable_job_passing()
            self._pass_on_repeatedly()
        elif step is _Step.SUCCEEDED and message.kind == "jobs_ready":
            self._settle_batch(message.number("number"), message.texts("ids"))
        elif step is not _Step.SUCCEEDED or not self.handle_common(message, sockets):
            for sock in sockets:
                sock.close()
            raise MessageError(f"{message.kind} out of turn")

    def _answer_hello(self, message: Message) -> None:
        if message.number("version") != PROTOCOL_VERSION or message.text("listen") != self._listen:
            self._send("no", why="another version or address", again=False)
            return
        offer = self._predecessor_handler.offer()
        if isinstance(offer, str):
            self._send("no", why=offer, again=True)
            return
        sockets, body = offer
        self._step, self._successor_takes_jobs = _Step.OFFERED, message.body.get("takes_jobs") is True
        self._successor_reads_locations = message.body.get("reads_locations") is True
        self._other_adopts_lists = message.body.get("adopts_lists") is True
        self._start_timer(TIMINGS.build)
        self._send("offer", sockets, version=PROTOCOL_VERSION, adopts_lists=True, **body)

    def _pass_on_repeatedly(self) -> None:
        if self._step is _Step.SUCCEEDED and self.channel:
            # First: a fault in one round must not end the others.
            asyncio.get_running_loop().call_later(
                TIMINGS.pass_on_interval.total_seconds(), self._pass_on_repeatedly)
            self._send("left", **self._predecessor_handler.open_work().to_body())
            self._pass_connections()
            self._offer_jobs()

    def _offer_jobs(self) -> None:
        """Offer one batch of open jobs at a time: this bounds the parked jobs and the unread messages."""
        channel = self.channel
        if not self._successor_takes_jobs or self._batch.pending or channel is None or not channel.writable:
            return
        if channel.unsent >= MAX_UNSENT_MESSAGES:
            return
        if parked := self._predecessor_handler.jobs.park_jobs(MAX_DESCRIPTORS):
            self._batch.start({p.job.job.identity: p.job.job.identity for p, _ in parked})
            number = self._batch.number
            asyncio.get_running_loop().call_later(
                TIMINGS.job_decision.total_seconds(), self._settle_batch, number, None)
            bodies = [p.to_body(reads_locations=self._successor_reads_locations) for p, _ in parked]
            self._send("jobs", [sock for _, sock in parked], number=number, jobs=bodies)

    def _settle_batch(self, number: int, ready: Sequence[str] | None) -> None:
        """Give up the jobs of a batch that the successor is ``ready`` to continue; None if it did not answer.

        Prevents both processes from acting for one job: the successor must not start a job that stays here.
        So it is told of an empty decision too, after the batch, which it may not have read yet.
        """
        if number != self._batch.number or not self._batch.pending:
            return
        given_up, _ = self._batch.settle(number, ready or ())
        self._send("jobs_yours", number=number, ids=given_up)
        self._predecessor_handler.jobs.settle_parked(given_up, refused=ready is not None)
        if ready is not None:
            self._offer_jobs()

    def pass_on_soon(self) -> None:
        """Pass on connections in the next turn of the event loop, ahead of the next round."""
        asyncio.get_running_loop().call_soon(self._pass_connections)

    def _pass_connections(self) -> None:
        """Pass on the connections that have no open job."""
        while self._step is _Step.SUCCEEDED and self.channel and self.channel.writable:
            if self.channel.unsent >= MAX_UNSENT_MESSAGES or not (batch := self._detach_batch()):
                break
            self.channel.send(
                "connections", [d.sock for d in batch],
                read=[base64.b64encode(d.read).decode() for d in batch],
                flags=["p" * d.proven + "l" * d.from_worker for d in batch],
                waited=[to_us(d.waited) for d in batch])

    def _detach_batch(self) -> list[Detached]:
        """Detach as many connections as one message takes."""
        batch, size = list[Detached](), 0
        for detached in self._predecessor_handler.detach_idle():
            batch.append(detached)
            size += len(detached.read)
            if len(batch) == MAX_DESCRIPTORS or size > MAX_BATCH_BYTES:
                break
        return batch

    def _on_channel_end(self, reason: str) -> None:
        step, self._step, ended_channel, self.channel = self._step, _Step.IDLE, self.channel, None
        self._timer_number += 1
        self._batch.clear()
        self._successor_takes_jobs = False
        self.settle_all_forwarded()
        self._predecessor_handler.successor_ended()
        if self._closed:
            return
        if step in (_Step.COMMITTED, _Step.SUCCEEDED):
            self._continue_without_channel(reason)
            self._take_back_unsent(ended_channel)
        elif step is _Step.OFFERED:
            log.warning("handover_broken", reason=reason)

    def _continue_without_channel(self, reason: str) -> None:
        """Serve at the address again, unless another process does: it listens for successors, too.

        The successor may itself have been replaced before it ended, or only the channel may have broken.
        """
        self.stop_listening()
        if channel.is_served(self._path):
            log.warning("successor_unreachable", reason=reason)
            self._predecessor_handler.lose_successor()
        else:
            log.warning("handover_taken_back", reason=reason)
            self.listen()
            self._predecessor_handler.take_back()

    def _take_back_unsent(self, ended_channel: Channel | None) -> None:
        """Serve the connections that were not sent to the other process: only this process has them."""
        for message, sockets in ended_channel.take_unsent() if ended_channel else ():
            if message.kind == "connections":
                self.handle_common(message, sockets)
            else:
                for sock in sockets:
                    sock.close()


class HandoverError(Exception):
    """The serving process could not be replaced; it continues to serve."""


class ChannelClosedError(HandoverError):
    """The serving process has closed the channel."""


class HandoverTarget(HandoverLink):
    """The hand-over in the new process, before and after it serves."""

    other_is_successor = False

    def __init__(self) -> None:
        """Start without an offer; ``handler`` must be set before ``commit``."""
        super().__init__(NullHandler())
        self.sockets: list[socket.socket] = []
        self.offer_body: dict[str, Any] = {}
        self.on_channel_end: Callable[[], None] = lambda: None
        self._path = ""
        self._awaited: asyncio.Future[Message] | None = None
        self._serving = False

    @property
    def both_serve(self) -> bool:
        """Return whether this process serves while the other is still there."""
        return self.open and self._serving

    async def request_offer(self, path: str, listen: str, address_in_use: Callable[[], bool]) -> bool:
        """Ask the process that serves ``listen`` for its offer; False if none answers at ``path``.

        Nobody answers for a moment while one process replaces another, or takes the address back: as long as
        the address is in use, it is asked again. Raises HandoverError if the serving process refuses to be
        replaced.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + TIMINGS.retry_limit.total_seconds()
        self._path = path
        while True:
            try:
                sock = await channel.connect(path, TIMINGS.connect.total_seconds())
            except OSError:  # no such file, nobody listens at it, or no Unix sockets on this system
                if loop.time() > until or not address_in_use():
                    return False
                await asyncio.sleep(TIMINGS.retry_interval.total_seconds())
                continue
            self.channel = Channel(sock, self._on_message, self._on_channel_end)
            self._send(
                "hello", version=PROTOCOL_VERSION, listen=listen, takes_jobs=True, adopts_lists=True,
                reads_locations=True)
            try:
                answer = await self._next_message(TIMINGS.offer, "an offer")
            except ChannelClosedError:  # it is exiting, or another successor is connected
                answer = Message("no", {"why": "it closed the channel", "again": True})
            if answer.kind == "offer" and answer.number("version") == PROTOCOL_VERSION and self.sockets:
                self.offer_body = answer.body
                self._other_adopts_lists = answer.body.get("adopts_lists") is True
                return True
            self.channel.close("no offer")
            if answer.kind != "no" or answer.body.get("again") is not True or loop.time() > until:
                raise HandoverError(f"the serving process cannot be replaced: {answer.body.get('why')}")
            await asyncio.sleep(TIMINGS.retry_interval.total_seconds())

    async def commit(self) -> Message:
        """Have the other process stop accepting; return its ``commit`` message. Raises HandoverError."""
        self._send("ready", **self.handler.server_list())
        answer = await self._next_message(TIMINGS.commit, "its commitment")
        if answer.kind != "commit":
            raise HandoverError(f"the serving process answered {answer.kind} to ready")
        # This process may have been held up for so long that the other one accepts again.
        if self.channel is None or self.channel.closed_by_peer():
            raise ChannelClosedError("the serving process closed the channel after its commit")
        self._serving = True
        return answer

    def confirm_started(self) -> None:
        """Tell the other process that this one serves."""
        self._send("started")
        self._report_ids_repeatedly()

    def _report_ids_repeatedly(self) -> None:
        """Report the ids that are accepted here: the other process may have to accept jobs again."""
        if self.both_serve:
            asyncio.get_running_loop().call_later(
                TIMINGS.pass_on_interval.total_seconds(), self._report_ids_repeatedly)
            if identities := self.handler.take_unreported_ids():
                self._send("left", **OpenWork(new_ids=identities).to_body())

    async def has_ended(self) -> bool:
        """Return whether the other process has ended: one that serves listens for successors."""
        try:
            sock = await channel.connect(self._path, TIMINGS.connect.total_seconds())
        except (ConnectionRefusedError, FileNotFoundError):
            return True
        except OSError:
            return False
        sock.close()
        return False

    def abandon(self) -> None:
        """Close the channel and the sockets received over it."""
        if self.channel:
            self.channel.close()
        for sock in self.sockets:
            sock.close()
        self.sockets = []

    async def _next_message(self, span: timedelta, expected: str) -> Message:
        if not self.open:
            raise ChannelClosedError("the serving process closed the channel")
        self._awaited = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self._awaited, span.total_seconds())
        except TimeoutError:
            self.abandon()
            raise HandoverError(f"the serving process did not send {expected} in time") from None
        finally:
            self._awaited = None

    def _on_message(self, message: Message, sockets: list[socket.socket]) -> None:
        if self._awaited and not self._awaited.done():
            self.sockets += sockets
            self._awaited.set_result(message)
        elif self._serving and message.kind == "jobs":
            try:
                number, jobs = message.number("number"), message.body.get("jobs")
                if not isinstance(jobs, list) or not 0 < len(jobs) == len(sockets):
                    raise MessageError("jobs do not match their descriptors")
                decoded = [self.handler.jobs.read_job(body) for body in jobs]
            except MessageError:
                for sock in sockets:
                    sock.close()
                raise
            self._send("jobs_ready", number=number, ids=self.handler.jobs.reserve_jobs(
                number, list(zip(decoded, sockets, strict=True))))
        elif self._serving and message.kind == "jobs_yours":
            self.handler.jobs.settle_reserved(message.number("number"), message.texts("ids"))
        elif not self._serving or not self.handle_common(message, sockets):
            for sock in sockets:
                sock.close()
            raise MessageError(f"{message.kind} out of turn")

    def _on_channel_end(self, reason: str) -> None:
        if self._awaited and not self._awaited.done():
            self._awaited.set_exception(
                ChannelClosedError(f"the serving process closed the channel: {reason}"))
        elif self._serving:
            log.info("predecessor_ended", reason=reason)
        self.settle_all_forwarded()
        self.handler.predecessor_ended()
        self.on_channel_end()
