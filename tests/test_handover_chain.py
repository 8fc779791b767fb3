"""Replacements that overlap: a process is replaced while the one before it still has open work.

Guards against two processes that accept at one address: a process that had been replaced took the address
back when its successor ended, though a third process served there by then.
"""

import asyncio
import os
import signal
import socket
import struct
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from loopback import http_message, http_post, until
from test_console import ask
from test_handover import TENANTS
from test_passing import CLASS_NAME, Client, OtherProcess, Predecessor, Site, passed_body, request, site_test

from hazellead.lifecycle import channel
from hazellead.lifecycle.channel import Channel, is_served
from hazellead.lifecycle.messages import Message
from hazellead.net import http

STAYS_MS = 3300  # of a job that is answered before its process ends: such a job is not passed on


async def post_short(site: Site, identity: str, remaining_ms: int = STAYS_MS) -> Client:
    """Open a job that stays in the process that accepts it."""
    client = await Client(site.port).connect()
    client.writer.write(request(identity, identity.encode(), remaining_ms))
    await until(lambda: site.postings[identity.encode()])
    await asyncio.sleep(0.02)  # for its start, as in Site.open
    return client


async def exit_code(process: Any) -> int:
    code: int = await asyncio.wait_for(process.wait(), 6)
    return code


@pytest.mark.parametrize("gap", [0.0, 0.5])
def test_a_process_with_open_jobs_leaves_the_address_to_the_successor_of_its_successor(
    tmp_path: Path, gap: float,
) -> None:
    # Guards against: the first process accepted again when the second ended, and the fourth could not start.
    async def case(site: Site) -> None:
        first = await site.start()
        clients = [await post_short(site, f"early{i}") for i in range(2)]
        second = await site.start()
        first.send_signal(signal.SIGTERM)
        await asyncio.sleep(gap)
        third = await site.start()
        second.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert first.returncode is None
        for i in range(20):  # each connection is the third process's: its jobs are answered there
            (client,) = await site.open(f"late{i}")
            await site.done(f"late{i}")
            assert await client.answer() == (200, f"r late{i}".encode())
        await site.done("early0")  # the call-back comes to the third process, the job is the first's
        assert await clients[0].answer() == (200, b"r early0")
        assert (await clients[1].answer(ending=True))[0] == 502
        assert [await exit_code(first), await exit_code(second)] == [0, 0]
        assert set(site.postings.values()) == {1}
        await site.start()
        third.send_signal(signal.SIGTERM)
        assert await exit_code(third) == 0

    site_test(case)(tmp_path)


@site_test
async def test_a_long_job_is_passed_on_through_a_process_that_has_itself_been_replaced(site: Site) -> None:
    # Guards against: the second process refused the job, which failed at the end of the first.
    first = await site.start()
    names = [f"long{i}" for i in range(3)]
    clients = await site.open(*names)
    second = await site.start()
    await site.start()
    first.send_signal(signal.SIGTERM)
    assert await exit_code(first) == 0
    second.send_signal(signal.SIGTERM)
    assert await exit_code(second) == 0
    assert await site.metric(2, "concurrent") == len(names)
    await site.done(*names)
    assert [await c.answer() for c in clients] == [(200, f"r {n}".encode()) for n in names]
    assert set(site.postings.values()) == {1}


@site_test
async def test_ids_are_accepted_once_over_three_processes(site: Site) -> None:
    await site.start()
    (bad_client,) = await site.open("own")
    await site.start()
    (middle,) = await site.open("middle")
    await site.start()
    (newest,) = await site.open("newest")
    for identity in ("own", "middle", "newest"):
        status, _, _ = await http_post(
            site.port, f"/{CLASS_NAME}", b"again", f"X-Trace-Id: {identity}\r\nX-Customer: {TENANTS[0]}\r\n")
        assert status == 409
    # The connection of the first process reaches the newest through the one between them.
    bad_client.writer.write(request("newest", b"again"))
    await site.done("own", "middle", "newest")
    assert await bad_client.answer() == (200, b"r own")
    assert (await http_message(bad_client.reader))[0].split()[1] == "409"
    assert await middle.answer() == (200, b"r middle") and await newest.answer() == (200, b"r newest")
    assert set(site.postings.values()) == {1}


@site_test
async def test_a_process_whose_replaced_successor_is_killed_refuses_and_ends_its_connections(
    site: Site,
) -> None:
    first = await site.start()
    own = await post_short(site, "own", 1500)
    own.writer.write(request("next", b"next"))
    worker = await Client(site.port).connect()
    body = b'{"id":"own","from":"s-unknown","state":"done","result":""}'
    call_back = http.request("POST", "/v1/job-events", "x", {}, body)
    worker.writer.write(call_back[:-1])  # such a connection stays in the process that has read the head
    await asyncio.sleep(0.1)
    second = await site.start()
    await site.start()
    second.kill()
    await second.wait()
    # A call-back for a job that is not this process's: the worker is to repeat it where the others come.
    worker.writer.write(call_back[-1:])
    assert (await asyncio.wait_for(http_message(worker.reader), 2))[0].split()[1] == "503"
    for i in range(10):  # the third process alone accepts
        (client,) = await site.open(f"late{i}")
        await site.done(f"late{i}")
        assert await client.answer() == (200, f"r late{i}".encode())
    assert (await own.answer(ending=True))[0] == 502  # in time
    with suppress(ConnectionError, asyncio.IncompleteReadError):
        status, headers, _ = await asyncio.wait_for(http_message(own.reader), 2)
        assert status.split()[1] == "429" and headers["connection"] == "close"
    assert not site.postings[b"next"]
    assert (await ask(site.consoles[0], "/admin/health"))[0] == 200
    await site.start()  # which replaces the third
    first.send_signal(signal.SIGTERM)
    assert await exit_code(first) == 0


@site_test
async def test_the_old_process_does_not_accept_again_while_another_listens_for_successors(site: Site) -> None:
    # Guards against: any end of the channel was taken for the end of the successor.
    first = await site.start()
    successor = await OtherProcess(site).take_over()
    serving = channel.listen_at(site.path)
    successor.channel.close()  # it serves on
    client = await Client(site.port).connect()
    client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(http_message(client.reader), 0.5)
    assert os.path.exists(site.path) and is_served(site.path)
    serving.close()
    first.send_signal(signal.SIGTERM)
    assert await exit_code(first) == 0
    assert os.path.exists(site.path), "the file of another process was removed"
    successor.drop(successor.listening)


# A process between two others.

async def _between(site: Site) -> tuple[Any, Predecessor, OtherProcess]:
    predecessor = Predecessor(site)
    process = await predecessor.serve(site.start())
    return process, predecessor, await OtherProcess(site).take_over()


@site_test
async def test_call_backs_are_forwarded_through_a_process_between_two_others(site: Site) -> None:
    _, predecessor, successor = await _between(site)
    for sender, receiver in ((predecessor, successor), (successor, predecessor)):
        sender.channel.send("call_back", number=7, id="j", sender="s-0", state="done", rest="r")
        forwarded, _ = await receiver.next("call_back")
        assert (forwarded.text("id"), forwarded.body["rest"]) == ("j", "r")
        receiver.channel.send("answered", number=forwarded.number("number"), status=503)
        answered, _ = await sender.next("answered")
        assert (answered.number("number"), answered.number("status")) == (7, 503)
    predecessor.close()
    successor.close()


@site_test
async def test_open_work_and_ids_of_the_oldest_process_are_told_to_the_newest(site: Site) -> None:
    _, predecessor, successor = await _between(site)
    predecessor.channel.send("left", connections=5, workers=3, attempts={"s-0": [2, 1]}, taken=["late"])
    while (left := (await successor.next("left"))[0]).number("connections") != 5:
        pass
    assert left.number("workers") >= 3 and left.body["attempts"] == {"s-0": [2, 1]}
    assert left.texts("taken") == ["late"]
    predecessor.close()
    while (await successor.next("left"))[0].number("connections"):
        pass
    successor.close()


@site_test
async def test_a_process_that_ends_waits_for_its_predecessor_while_both_are_replaced(site: Site) -> None:
    process, predecessor, successor = await _between(site)
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    assert process.returncode is None
    client_end, passed_end = socket.socketpair()  # a connection of the oldest goes to the newest
    predecessor.channel.send("connections", [passed_end], read=[""], flags=["p"], waited=[0])
    message, sockets = await successor.next("connections")
    assert len(sockets) == 1
    predecessor.close()
    assert await asyncio.wait_for(process.wait(), 1) == 0
    successor.drop(sockets)
    successor.close()
    client_end.close()


@site_test
async def test_a_process_that_ends_waits_for_its_predecessor_no_longer_than_it_may_live(site: Site) -> None:
    process, predecessor, successor = await _between(site)
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 3.7) == 0
    predecessor.close()
    successor.close()


@site_test
async def test_jobs_that_a_process_between_two_others_is_offered_survive_the_end_of_its_successor(
    site: Site,
) -> None:
    # Guards against: the end of one neighbour also settled the jobs that the other was passing.
    _, predecessor, successor = await _between(site)
    client_end, passed_end = socket.socketpair()
    predecessor.channel.send("jobs", [passed_end], number=1, jobs=[passed_body("a")])
    assert (await predecessor.next("jobs_ready"))[0].texts("ids") == ["a"]
    successor.close()
    await asyncio.sleep(0.1)
    predecessor.channel.send("jobs_yours", number=1, ids=["a"])
    await asyncio.sleep(0.1)
    assert await site.workers[0].call_back("a", state="done", result="r") == 200
    client_end.settimeout(5)
    assert (await asyncio.to_thread(client_end.recv, 4096)).endswith(b"r")
    predecessor.close()


def test_a_path_is_served_while_a_process_listens_there(tmp_path: Path) -> None:
    path = str(tmp_path / "x.sock")
    assert not is_served(path)
    listener = channel.listen_at(path)
    assert is_served(path)
    for _ in range(8):  # more than its queue takes
        assert is_served(path)
    listener.close()
    assert os.path.exists(path) and not is_served(path)
    Path(path).unlink()
    Path(path).write_text("no socket")
    assert not is_served(path)


@site_test
async def test_a_new_process_that_was_held_up_does_not_serve_beside_the_old_one(site: Site) -> None:
    # Guards against: it went by a commit whose sender had given it up and accepted again.
    listening = socket.create_server(("127.0.0.1", site.port))
    unix_listener = channel.listen_at(site.path)
    starting = asyncio.ensure_future(site.start())
    loop = asyncio.get_running_loop()
    connection, _ = await loop.sock_accept(unix_listener)
    received = asyncio.Queue[Message]()
    other = Channel(connection, lambda message, sockets: received.put_nowait(message), lambda reason: None)
    assert (await received.get()).kind == "hello"
    targets: dict[str, Any] = {"rev": 0, "all": True, "targets": []}
    other.send("offer", [listening.dup()], version=1, known={}, discovery="", told=targets)
    ready = asyncio.ensure_future(received.get())
    assert (await ready).kind == "ready"
    process = peer_process(connection)
    os.kill(process, signal.SIGSTOP)
    other.send("commit", open=[], ended=[])
    other.close()
    os.kill(process, signal.SIGCONT)
    with pytest.raises(AssertionError, match="ended before it was ready"):
        await starting
    unix_listener.close()
    listening.close()


def peer_process(connection: socket.socket) -> int:
    """Return the id of the process at the other end of a Unix socket."""
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    process: int = struct.unpack("3i", credentials)[0]
    return process


@site_test
async def test_a_process_can_start_anew_where_one_that_was_cut_off_has_not_ended(site: Site) -> None:
    # Guards against: that one kept the listening socket, at which it would never accept again.
    first = await site.start()
    second = await site.start()
    third = await site.start()
    second.kill()
    await second.wait()
    third.kill()  # nothing replaces it
    await third.wait()
    assert first.returncode is None
    await site.start()
    (client,) = await site.open("new")
    await site.done("new")
    assert await client.answer() == (200, b"r new")


@site_test
async def test_a_start_in_the_moment_in_which_nobody_listens_for_successors_waits_for_it(site: Site) -> None:
    # Guards against: "Address already in use", where two processes were started at once or one took over.
    old = await site.start()
    os.rename(site.path, f"{site.path}.aside")
    channel.listen_at(site.path).close()  # as after the end of a process that listened there
    starting = asyncio.ensure_future(site.start())
    await asyncio.sleep(1)
    os.rename(f"{site.path}.aside", site.path)
    await starting
    (client,) = await site.open("new")
    old.send_signal(signal.SIGTERM)
    assert await exit_code(old) == 0
    await site.done("new")
    assert await client.answer() == (200, b"r new")


@site_test
async def test_a_new_process_listens_for_successors_before_the_old_one_stops(site: Site) -> None:
    # Guards against: a moment without a listener, in which another start fails.
    listening = socket.create_server(("127.0.0.1", site.port))
    unix_listener = channel.listen_at(site.path)
    served_at_started = list[bool]()

    def handle(message: Message, _: list[socket.socket]) -> None:
        if message.kind == "hello":
            targets: dict[str, Any] = {"rev": 0, "all": True, "targets": []}
            other.send("offer", [listening.dup()], version=1, known={}, discovery="", told=targets)
        elif message.kind == "ready":
            other.send("commit", open=[], ended=[])
        elif message.kind == "started":
            served_at_started.append(os.path.exists(site.path) and is_served(site.path))

    starting = asyncio.ensure_future(site.start())
    connection, _ = await asyncio.get_running_loop().sock_accept(unix_listener)
    unix_listener.close()
    os.unlink(site.path)
    other = Channel(connection, handle, lambda reason: None)
    await starting
    await until(lambda: served_at_started)
    assert served_at_started == [True]
    other.close()
    listening.close()
