"""Ids of requests while a process is replaced: each is accepted once, by the process that accepts jobs.

Guards against a payment that is posted twice: a process that was being replaced accepted requests on the
connections it still had and did not know the ids that its successor had accepted.
"""

import asyncio
import base64
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given as examples
from hypothesis import strategies as st
from loopback import free_port, http_message, until
from test_passing import Client, OtherProcess, Predecessor, Site, passed_body, request, site_test

from hazellead.core.clock import to_us
from hazellead.lifecycle.messages import Message, MessageError
from hazellead.limits import Limits
from hazellead.net.http import Parser, encode_received

WAIT_S = 0.3


async def answer_status(client: Client) -> int:
    first, _, _ = await asyncio.wait_for(http_message(client.reader), 8)
    return int(first.split()[1])


@site_test
async def test_an_id_that_is_open_at_the_new_process_is_refused_on_connections_of_the_old_one(
    site: Site,
) -> None:
    # Guards against: the next requests on connections with an open job were accepted by the old process.
    old = await site.start()
    names = [f"own{i}" for i in range(4)]
    bad_clients = await site.open(*names)
    await site.start()  # until SIGTERM the old process keeps its jobs, with their connections
    payments = [f"pay{i}" for i in range(4)]
    clients = await site.open(*payments)
    for i in (0, 1):  # behind the request that is open, whole and in part
        bad_clients[i].writer.write(request(payments[i], b"stolen")[:None if i else -1])
    await site.done(*names)
    for i, bad_client in enumerate(bad_clients):
        assert await answer_status(bad_client) == 200  # of its own job
        bad_client.writer.write(request(payments[i], b"stolen")[-1 if i == 0 else 0:] if i != 1 else b"")
    assert [await answer_status(c) for c in bad_clients] == [409] * 4
    await site.done(*payments)
    assert [await c.answer() for c in clients] == [(200, f"r {n}".encode()) for n in payments]
    assert site.postings[b"stolen"] == 0 and set(site.postings.values()) == {1}
    old.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(old.wait(), 5) == 0


@site_test
async def test_an_id_sent_to_both_processes_at_almost_the_same_time_is_accepted_once(site: Site) -> None:
    # Guards against: the new process learned the ids that the old one accepts up to 20 ms late.
    old = await site.start()
    gaps = [0.0, 0.0, 0.001, 0.003, 0.01] * 3
    slow_clients = []
    for i in range(len(gaps)):  # their heads are read by the old process
        client = await Client(site.port).connect()
        client.writer.write(request(f"both{i}", b"both%d" % i)[:-1])
        slow_clients.append(client)
    await asyncio.sleep(0.1)
    await site.start()
    old.send_signal(signal.SIGTERM)
    for i, gap in enumerate(gaps):
        second = await Client(site.port).connect()
        slow_clients[i].writer.write(b"%d" % (i % 10))
        await asyncio.sleep(gap)
        second.writer.write(request(f"both{i}", b"both%d" % i))
        waiting = {asyncio.ensure_future(answer_status(c)) for c in (slow_clients[i], second)}
        done, other = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        assert [d.result() for d in done] == [409]
        await until(lambda i=i: site.postings[b"both%d" % i])
        await site.done(f"both{i}")
        assert [await o for o in other] == [200]
    assert set(site.postings.values()) == {1}


async def _with_uncertain_successor(site: Site) -> tuple[Any, Client, OtherProcess]:
    """Return the old process, a client whose next request has been written, and the successor.

    The successor has been told to serve and has not yet said that it does.
    """
    old = await site.start()
    (client,) = await site.open("first")
    await site.done("first")
    assert await answer_status(client) == 200
    successor = await OtherProcess(site).commit()
    client.writer.write(request("next", b"next"))
    return old, client, successor


@site_test
async def test_a_request_that_waits_for_a_successor_that_dies_is_accepted_by_the_old_process(
    site: Site,
) -> None:
    _, client, successor = await _with_uncertain_successor(site)
    await asyncio.sleep(0.1)
    assert not site.postings[b"next"], "two processes accept jobs"
    successor.close()
    await until(lambda: site.postings[b"next"])
    assert int(site.worker_of("next").headers[-1]["x-expires-in"][:-1]) <= 49_875_000
    await site.done("next")
    assert await client.answer() == (200, b"r next")


@site_test
async def test_a_request_that_cannot_be_passed_on_is_refused_with_a_time_to_come_back(site: Site) -> None:
    _, client, successor = await _with_uncertain_successor(site)
    first, headers, _ = await asyncio.wait_for(http_message(client.reader), 1)
    assert first.split()[1] == "429" and float(headers["retry-after"]) > 0
    assert not site.postings[b"next"]
    successor.close()


@site_test
async def test_a_client_that_leaves_before_its_request_is_passed_on_gets_no_attempt(site: Site) -> None:
    old, client, successor = await _with_uncertain_successor(site)
    client.writer.close()
    await asyncio.sleep(0.05)
    successor.close()
    await asyncio.sleep(0.2)
    assert not site.postings[b"next"] and old.returncode is None


@site_test
async def test_a_request_is_passed_on_whole_with_the_time_it_has_waited(site: Site) -> None:
    _, client, successor = await _with_uncertain_successor(site)
    client.writer.write(b"POST /after")  # the beginning of a third request
    await asyncio.sleep(WAIT_S)
    successor.channel.send("started")
    message, sockets = await successor.next("connections")
    (waited,) = message.spans("waited")
    assert WAIT_S * 1e6 <= to_us(waited) < 500_000
    parser = Parser(Limits())
    parser.feed(base64.b64decode(message.texts("read")[0]))
    passed = parser.next()
    assert passed and passed.body == b"next" and passed.headers["x-trace-id"] == "next"
    assert parser.unparsed == b"POST /after"
    successor.drop(sockets)
    successor.close()


@site_test
async def test_a_worker_is_told_no_more_time_than_a_request_that_was_passed_on_has_left(site: Site) -> None:
    predecessor, discovery = Predecessor(site), f"127.0.0.1:{free_port()}"
    await predecessor.serve(site.start(discovery=discovery), 1, discovery)
    client_ends, passed_ends = zip(*(socket.socketpair() for _ in range(2)), strict=True)
    read = [base64.b64encode(request(f"r{i}", b"r%d" % i)).decode() for i in range(2)]
    predecessor.channel.send(
        "connections", passed_ends, read=read, flags=["p", "p"], waited=[400_000, 51_000_000])
    await until(lambda: site.postings[b"r0"])
    assert 49_000_000 < int(site.worker_of("r0").headers[-1]["x-expires-in"][:-1]) <= 49_575_000
    client_ends[1].settimeout(5)
    status = (await asyncio.to_thread(client_ends[1].recv, 4096)).split()[1]
    assert status in (b"429", b"502") and not site.postings[b"r1"]
    predecessor.close()


@site_test
async def test_ids_open_at_the_predecessor_stay_used_however_many_others_have_ended(site: Site) -> None:
    # Guards against: they were kept among the ended ones, of which only the newest are remembered.
    predecessor = Predecessor(site)
    await predecessor.serve(site.start())
    predecessor.channel.send("left", connections=0, workers=0, attempts={}, taken=["late"])
    ended = Limits().ended_ids + 1
    predecessor.channel.send(
        "left", connections=0, workers=0, attempts={}, taken=[f"n{i}" for i in range(ended)])
    await asyncio.sleep(0.1)
    for identity in ("a", "late", "n0"):
        client = await Client(site.port).post(identity, b"again")
        assert await answer_status(client) == 409
    assert not site.postings
    # One of them is passed on and continues here.
    client_end, passed_end = socket.socketpair()
    predecessor.channel.send("jobs", [passed_end], number=1, jobs=[passed_body("a")])
    assert (await predecessor.next("jobs_ready"))[0].texts("ids") == ["a"]
    predecessor.close()
    client_end.close()


@pytest.mark.parametrize("waited", [None, 1, ["1"], [True], [-1], [10**30], [1, 2]])
def test_malformed_waiting_times_end_the_channel(tmp_path: Path, waited: Any) -> None:
    async def case(site: Site) -> None:
        predecessor = Predecessor(site)
        process = await predecessor.serve(site.start())
        _, passed_end = socket.socketpair()
        predecessor.channel.send("connections", [passed_end], read=[""], flags=[""], waited=waited)
        await until(lambda: predecessor.ended)
        assert process.returncode is None
        predecessor.drop(predecessor.listening)

    site_test(case)(tmp_path)


def test_durations_are_read_from_a_message() -> None:
    assert [to_us(span) for span in Message("x", {"waited": [0, 7]}).spans("waited")] == [0, 7]
    with pytest.raises(MessageError):
        Message("x", {}).spans("waited")


HEADER_NAMES = st.sampled_from(["X-Trace-Id", "X-Customer", "Expect", "Connection", "a"])
HEADER_VALUES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=20)


@examples(
    st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=6), st.binary(max_size=60), st.booleans(),
    st.sampled_from(["HTTP/1.1", "HTTP/1.0"]))
def test_a_received_request_is_encoded_to_one_with_the_same_meaning(
    headers: list[tuple[str, str]], body: bytes, chunked: bool, version: str,
) -> None:
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    head = "\r\n".join([f"POST /a {version}", *(f"{n}:{v}" for n, v in headers), framing]) + "\r\n\r\n"
    chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    sent = Parser(Limits())
    sent.feed(head.encode() + (chunks + b"0\r\n\r\n" if chunked else body) + b"rest")
    message = sent.next()
    assert message
    again = Parser(Limits())
    again.feed(encode_received(message))
    got = again.next()
    assert got and (got.start_line, got.body, got.keep) == (message.start_line, message.body, message.keep)
    same = {n: v for n, v in message.headers.items()
            if n not in ("content-length", "transfer-encoding", "expect")}
    assert {n: v for n, v in got.headers.items() if n != "content-length"} == same
    assert len(encode_received(message)) - len(body) <= len(head) + 1
    assert not again.size


@site_test
async def test_a_process_that_takes_the_address_back_refuses_the_ids_its_successor_accepted(
    site: Site,
) -> None:
    # Guards against: the ids were gone with the successor, while the jobs ran on.
    await site.start()
    second = await site.start()
    third = await site.start()
    await site.open("a", "b")
    await site.done("b")
    await asyncio.sleep(0.1)  # for the report
    third.kill()
    await third.wait()
    for identity in ("a", "b"):
        client = await Client(site.port).post(identity, b"again")
        assert await answer_status(client) == 409
    second.kill()  # the oldest has heard of them through it
    await second.wait()
    for identity in ("a", "b"):
        client = await Client(site.port).post(identity, b"again")
        assert await answer_status(client) == 409
    (client,) = await site.open("new")
    await site.done("new")
    assert await client.answer() == (200, b"r new")
    assert set(site.postings.values()) == {1}


@site_test
async def test_a_new_process_reports_the_ids_that_it_accepts(site: Site) -> None:
    predecessor, discovery = Predecessor(site), f"127.0.0.1:{free_port()}"
    await predecessor.serve(site.start(discovery=discovery), 1, discovery)
    await site.open("x", "y")
    identities = list[str]()
    while len(identities) < 2:
        identities += (await predecessor.next("left"))[0].texts("taken")
    assert identities == ["x", "y"]
    predecessor.close()
