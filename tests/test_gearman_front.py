"""The Gearman front on loopback sockets: stand-in clients and workers, and counted postings."""

import asyncio
from collections import Counter
from datetime import timedelta
from pathlib import Path

import pytest
from loopback import (
    Act,
    GearmanPeer,
    GearmanWorker,
    HttpWorker,
    Running,
    complete,
    http_post,
    run,
    scheduler,
    until,
    workers,
)

from hazellead.gearman.packets import Type, write
from hazellead.operator_config import load
from hazellead.platform.config import ConfigError

FINAL = (Type.WORK_COMPLETE, Type.WORK_FAIL)
TWO = "post-1,,gearman,tartu-dc,,up\npost-2,,gearman,tartu-dc,,up\n"
ONE = "post-1,,gearman,tartu-dc,,up\n"


async def submit(peer: GearmanPeer, work: bytes, unique: bytes = b"", kind: Type = Type.SUBMIT_JOB) -> bytes:
    peer.send(kind, b"post_payment", unique, work)
    return (await peer.expect(Type.JOB_CREATED)).args[0]


async def chosen(s: Running) -> str:
    """Return the worker for which a job waits."""
    assert s.program.gearman
    waiting = s.program.gearman.workers.waiting
    await until(lambda: any(waiting.values()))
    return next(name for name, jobs in waiting.items() if jobs)


async def hang(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    await asyncio.Event().wait()


async def drop(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    peer.close()
    raise ConnectionError


def test_a_job_goes_through_with_start_progress_and_data(tmp_path: Path) -> None:
    async def act(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
        peer.send(Type.WORK_STATUS, handle, b"1", b"2")
        peer.send(Type.WORK_DATA, handle, b"half")
        await complete(peer, handle, workload)

    async def case() -> None:
        count: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE) as s, workers(s.port, GearmanWorker("post-1", count, act)):
            client = await GearmanPeer.connect(s.port)
            handle = await submit(client, b"a")
            got = [await client.packet() for _ in range(4)]
            assert [p.type for p in got] == [
                Type.WORK_STATUS, Type.WORK_STATUS, Type.WORK_DATA, Type.WORK_COMPLETE]
            assert [p.args[1:] for p in got] == [
                (b"0", b"1000"), (b"500", b"1000"), (b"half",), (b"posted a",)]
            assert {p.args[0] for p in got} == {handle} and count == {b"a": 1}
            assert (await client.lines("status"))[0] == "post_payment\t0\t0\t1"
            assert any(line.endswith("post-1 : post_payment") for line in await client.lines("workers"))

    run(case())


def test_a_worker_that_drops_mid_job_fails_it_and_nothing_is_posted_again(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        async with scheduler(tmp_path, TWO) as s, workers(
                s.port, *(GearmanWorker(f"post-{i}", count, drop) for i in (1, 2))):
            client = await GearmanPeer.connect(s.port)
            await submit(client, b"a", b"key")
            assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
            await submit(client, b"a", b"key")  # the outcome is remembered: it may have run
            assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
            assert count == {b"a": 1}

    run(case())


def test_a_worker_that_drops_before_its_assignment_loses_the_job_to_another(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        both = {f"post-{i}": GearmanWorker(f"post-{i}", count) for i in (1, 2)}
        async with scheduler(tmp_path, TWO) as s, workers(s.port, *both.values()):
            for worker in both.values():
                worker.awake.clear()  # it will be told of a job and not ask for it
            client = await GearmanPeer.connect(s.port)
            await submit(client, b"a")
            both.pop(await chosen(s)).peer.close()
            for worker in both.values():
                worker.awake.set()
            assert (await client.expect(*FINAL)).args[1] == b"posted a"
            assert count == {b"a": 1}

    run(case())


def test_the_same_unique_key_joins_and_then_replays(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        go = asyncio.Event()

        async def act(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
            await go.wait()
            await complete(peer, handle, workload)

        async with scheduler(tmp_path, TWO) as s, workers(
                s.port, *(GearmanWorker(f"post-{i}", count, act) for i in (1, 2))):
            first, second, third = [await GearmanPeer.connect(s.port) for _ in range(3)]
            handle = await submit(first, b"a", b"key")
            await first.expect(Type.WORK_STATUS)
            assert await submit(second, b"a", b"key") == handle
            first.close()  # the job goes on: one that comes back must not post again
            second.send(Type.GET_STATUS_UNIQUE, b"key")
            assert (await second.expect(Type.STATUS_RES_UNIQUE)).args[1:3] == (b"1", b"1")
            go.set()
            assert (await second.expect(*FINAL)).args == (handle, b"posted a")
            assert await submit(third, b"a", b"key") == handle
            assert (await third.expect(*FINAL)).args == (handle, b"posted a")
            assert count == {b"a": 1}

    run(case())


@pytest.mark.parametrize("unique", [b"", b"key"])
@pytest.mark.parametrize("malformed", [False, True])
def test_nothing_is_begun_for_a_client_that_has_left(tmp_path: Path, unique: bytes, malformed: bool) -> None:
    """Its job waits for a worker that has been told of it and has not asked yet."""
    async def case() -> None:
        count: Counter[bytes] = Counter()
        worker = GearmanWorker("post-1", count)
        worker.awake.clear()  # it does not ask when it is woken
        async with scheduler(tmp_path, ONE, grab=timedelta(seconds=5)) as s, workers(s.port, worker):
            client = await GearmanPeer.connect(s.port)
            await submit(client, b"a", unique)
            assert s.program.gearman
            chosen = s.program.gearman.workers.waiting
            await until(lambda: chosen.get("post-1"))
            if malformed:
                client.writer.write(b"\0REQ\xff\xff\xff\xff\xff\xff\xff\xff")
                await client.expect(Type.ERROR)
            else:
                client.close()
            await until(lambda: not s.program.scheduler.held or not chosen["post-1"][0].may_send())
            worker.awake.set()
            await until(lambda: not s.program.scheduler.held)
            await asyncio.sleep(0.05)
            assert not count
            again = await GearmanPeer.connect(s.port)  # one that comes back starts anew: nothing has run
            await submit(again, b"a", unique)
            assert (await again.expect(*FINAL)).args[1:] == (b"posted a",) and count == {b"a": 1}

    run(case())


def test_a_job_that_comes_in_the_moment_of_the_close_is_told_to_its_client(tmp_path: Path) -> None:
    """In the background: it would run, and its client, which heard nothing, would bring it elsewhere too."""
    async def case() -> None:
        count: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE) as s, workers(s.port, GearmanWorker("post-1", count)):
            client = await GearmanPeer.connect(s.port)
            client.send(Type.ECHO_REQ, b"x")
            await client.expect(Type.ECHO_RES)
            assert s.program.gearman
            server, loop, done = s.program.gearman.server, asyncio.get_running_loop(), list[int]()
            connection = list(server.open)[-1]

            def look() -> None:
                # It comes before what the read wakes, as it was put into the loop's queue before.
                if connection._reading and connection._reading.done():
                    server.end_idle()
                    done.append(1)
                else:
                    loop.call_soon(look)

            look()
            client.send(Type.SUBMIT_JOB_BG, b"post_payment", b"", b"a")
            await until(lambda: done)
            await client.expect(Type.JOB_CREATED)
            await until(lambda: count[b"a"])

    run(case())


async def cut(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    peer.writer.write(write(Type.WORK_COMPLETE, handle, b"posted " + workload, response=False)[:-3])
    peer.close()


async def twice(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    await complete(peer, handle, workload)
    peer.send(Type.WORK_FAIL, handle)
    await complete(peer, handle, b"again")


@pytest.mark.parametrize(
    ("act", "final"), [(cut, (Type.WORK_FAIL, b"")), (twice, (Type.WORK_COMPLETE, b"posted a"))])
def test_an_answer_that_is_cut_or_doubled_ends_its_job_once_and_no_other(
    tmp_path: Path, act: Act, final: tuple[Type, bytes],
) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        worker = GearmanWorker("post-1", count, act)
        async with scheduler(tmp_path, ONE) as s, workers(s.port, worker):
            client = await GearmanPeer.connect(s.port)
            handle = await submit(client, b"a")
            packet = await client.expect(*FINAL)
            assert (packet.type, *packet.args) == (final[0], handle, *([final[1]] if final[1] else []))
            await asyncio.sleep(0.05)
            if act is twice:
                other = await submit(client, b"b")
                assert (await client.expect(*FINAL)).args == (other, b"posted b")
            assert max(count.values()) == 1

    run(case())


@pytest.mark.parametrize("back", [False, True])
def test_a_job_that_nobody_waits_for_has_no_further_attempt(tmp_path: Path, back: bool) -> None:
    """Its first worker hands it back unstarted, so that another attempt would be allowed."""
    async def case() -> None:
        count: Counter[bytes] = Counter()
        both = [HttpWorker(f"post-{i}", count, lambda: s.http) for i in (1, 2)]
        async with both[0].serving(), both[1].serving():
            rows = "".join(f"{w.uid},127.0.0.1:{w.port},http,tallinn-dc,,up\n" for w in both)
            async with scheduler(tmp_path, rows) as s:
                for worker in both:
                    worker.states = []
                client = await GearmanPeer.connect(s.port)
                await submit(client, b"a", b"key")
                await until(lambda: count[b"a"])
                client.close()
                await until(lambda: not s.program.gearman or len(s.program.gearman.server.open) == 0)
                if back:
                    client = await GearmanPeer.connect(s.port)
                    await submit(client, b"a", b"key")
                (first,) = [w for w in both if w.headers]
                for worker in both:
                    worker.states = [{"state": "done"}]
                await first.call_back(first.headers[-1]["x-trace-id"], state="returned")
                if back:
                    assert (await client.expect(*FINAL)).args[1:] == (b"posted a",)
                await until(lambda: not s.program.scheduler.held)
                await asyncio.sleep(0.2)
                assert count[b"a"] == (2 if back else 1)

    run(case())


def test_a_drained_worker_gets_nothing_even_if_chosen_before(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        worker = GearmanWorker("post-1", count)
        async with scheduler(tmp_path, ONE) as s, workers(s.port, worker):
            worker.awake.clear()
            client = await GearmanPeer.connect(s.port)
            await submit(client, b"a")
            await chosen(s)
            s.rewrite(ONE.replace("up", "draining"))
            await until(lambda: not s.program.scheduler.knows_workers)
            worker.awake.set()
            final = await client.expect(*FINAL)
            assert final.type == Type.WORK_FAIL and not count

    run(case())


def test_a_reload_takes_new_functions_and_another_inventory_or_changes_nothing(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE) as s:
            operators = tmp_path / "gearman.toml"
            text = operators.read_text()

            def reload(new: str) -> None:
                operators.write_text(new)
                given = load(operators, {})
                s.program.reload(given.base, given)

            (tmp_path / "new.csv").write_text("name,address\nhttp-1,nowhere,1\n")
            new = text.replace('"inventory.csv"', '"new.csv"').replace("post_payment_water", "post_water")
            with pytest.raises(ConfigError, match="new.csv:2"):
                reload(new)
            assert s.program.gearman
            assert "post_payment_water" in s.program.gearman.submissions.functions
            (tmp_path / "new.csv").write_text("name\npost-2\n")
            reload(new)
            async with workers(s.port, GearmanWorker("post-2", count)):
                client = await GearmanPeer.connect(s.port)
                await submit(client, b"a")  # its worker stands in the new inventory only
                assert (await client.expect(*FINAL)).type == Type.WORK_COMPLETE and count == {b"a": 1}
                client.send(Type.SUBMIT_JOB, b"post_payment_water", b"", b"b")
                assert (await client.packet()).type == Type.ERROR
                client.send(Type.SUBMIT_JOB, b"post_water", b"", b"b")
                assert (await client.packet()).type == Type.JOB_CREATED

    run(case())


def test_an_expired_deadline_ends_in_a_failure(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE, deadline=300) as s, workers(
                s.port, GearmanWorker("post-1", count, hang)):
            client = await GearmanPeer.connect(s.port)
            await submit(client, b"a")
            assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
            assert count == {b"a": 1}

    run(case())


@pytest.mark.parametrize(("exceptions", "word"), [(False, Type.WORK_WARNING), (True, Type.WORK_EXCEPTION)])
def test_a_refusal_says_when_to_come_back_and_is_not_replayed(
    tmp_path: Path, exceptions: bool, word: Type,
) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE, deadline=1000) as s:
            client = await GearmanPeer.connect(s.port)
            if exceptions:
                client.send(Type.OPTION_REQ, b"exceptions")
                assert (await client.packet()).type == Type.OPTION_RES
            await submit(client, b"a", b"key")  # no worker is there
            said = await client.packet()
            assert said.type == word and said.args[1].startswith(b"refused: retry after ")
            assert (await client.packet()).type == Type.WORK_FAIL
            async with workers(s.port, GearmanWorker("post-1", count)):
                await submit(client, b"a", b"key")
                assert (await client.expect(*FINAL)).args[1] == b"posted a"
        assert count == {b"a": 1}

    run(case())


def test_a_surge_posts_every_job_once_at_most(tmp_path: Path) -> None:
    async def slow(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
        if workload.endswith(b"7"):
            await drop(peer, handle, workload)
        await asyncio.sleep(0.01)
        await complete(peer, handle, workload)

    async def again(worker: GearmanWorker, port: int) -> None:
        while True:  # a worker that died is started again
            await worker.serve(port)

    async def case() -> None:
        count: Counter[bytes] = Counter()
        finals: Counter[bytes] = Counter()
        served: set[bytes] = set()
        async with scheduler(tmp_path, TWO) as s:
            fleet = [asyncio.ensure_future(again(GearmanWorker(f"post-{i}", count, slow), s.port))
                     for i in (1, 2)]
            await until(lambda: s.program.scheduler.knows_workers)

            async def burst(number: int) -> None:
                client = await GearmanPeer.connect(s.port)
                works = [b"%d-%d" % (number // 2, i) for i in range(20)]  # every job comes from two clients
                for work in works:
                    client.send(Type.SUBMIT_JOB, b"post_payment", work, work)
                names: dict[bytes, bytes] = {}
                ended = 0
                while ended < len(works):
                    packet = await client.expect(Type.JOB_CREATED, *FINAL)
                    if packet.type == Type.JOB_CREATED:
                        names[packet.args[0]] = works[len(names)]
                        continue
                    ended += 1
                    finals[names[packet.args[0]]] += 1
                    if packet.type == Type.WORK_COMPLETE:
                        served.add(names[packet.args[0]])
                client.close()

            await asyncio.gather(*(burst(i) for i in range(10)))
            for task in fleet:
                task.cancel()
        assert max(count.values()) == 1
        assert sum(finals.values()) == 200 and len(finals) == 100
        assert served and served <= set(count)

    run(case())


def test_a_gearman_client_reaches_an_http_worker(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        worker = HttpWorker("post-3", count, lambda: s.http)
        async with worker.serving():
            row = f"post-3,127.0.0.1:{worker.port},http,tallinn-dc,,up\n"
            async with scheduler(tmp_path, row) as s:
                client = await GearmanPeer.connect(s.port)
                handle = await submit(client, b"a")
                assert (await client.packet()).args == (handle, b"0", b"1000")  # the start
                assert (await client.expect(*FINAL)).args == (handle, b"posted a")
                headers = "X-Trace-Id: 77\r\nX-Customer: pohja-vesi\r\nX-Expires-In: 5000m\r\n"
                assert (await http_post(s.http, "/post-payment", b"b", headers))[::2] == (200, b"posted b")
                worker.reply = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                worker.states = []
                await submit(client, b"c")
                assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
        assert count[b"a"] == count[b"b"] == 1

    run(case())


def test_a_planned_end_finishes_what_is_held_and_refuses_the_rest(tmp_path: Path) -> None:
    async def case() -> None:
        count: Counter[bytes] = Counter()
        go = asyncio.Event()

        async def act(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
            await go.wait()
            await complete(peer, handle, workload)

        serve_on = timedelta(seconds=0.3)  # after the end was called
        async with scheduler(tmp_path, ONE, serve_on=serve_on) as s, workers(
                s.port, GearmanWorker("post-1", count, act)):
            client = await GearmanPeer.connect(s.port)
            handle = await submit(client, b"a")
            await client.expect(Type.WORK_STATUS)
            assert s.program.gearman
            stopping = asyncio.ensure_future(s.program.stop())
            await until(lambda: not s.program.takes_jobs())
            await submit(client, b"b")
            assert (await client.packet()).args[1].startswith(b"refused")
            assert (await client.packet()).type == Type.WORK_FAIL
            go.set()
            assert (await client.expect(*FINAL)).args == (handle, b"posted a")
            await stopping
            with pytest.raises(ConnectionError):
                await client.packet()
            assert count == {b"a": 1}

    run(case())


def test_the_unserved_brings_an_error_and_the_malformed_the_end(tmp_path: Path) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE) as s:
            client = await GearmanPeer.connect(s.port)
            unserved: list[tuple[Type, tuple[bytes, ...]]] = [
                (Type.SUBMIT_JOB_EPOCH, (b"f", b"u", b"1", b"d")), (Type.OPTION_REQ, (b"odd",)),
                (Type.SUBMIT_JOB, (b"odd", b"", b"d")), (Type.NOOP, ())]
            for kind, args in unserved:
                client.send(kind, *args)
                assert (await client.packet()).type == Type.ERROR
            client.send(Type.ECHO_REQ, b"x\0y")
            assert (await client.packet()).args == (b"x\0y",)
            client.send(Type.GET_STATUS, b"H:none:1")
            assert (await client.packet()).args == (b"H:none:1", b"0", b"0", b"0", b"0")
            background = await submit(client, b"a", kind=Type.SUBMIT_JOB_LOW_BG)
            assert background.startswith(b"H:gearman-1:")
            client.writer.write(b"\0BAD" + bytes(8))
            assert (await client.expect(Type.ERROR)).args[0] == b"malformed"
            with pytest.raises(ConnectionError):
                await client.packet()

    run(case())




@pytest.mark.parametrize(("first", "drip"), [(b"", b""), (b"\0RE", b""), (b"", b"a"), (b"version\n", b"a")])
def test_one_that_says_nothing_whole_is_ended_in_time(tmp_path: Path, first: bytes, drip: bytes) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE, client_read=timedelta(seconds=0.2)) as s:
            resting = await GearmanPeer.connect(s.port)
            resting.send(Type.ECHO_REQ, b"x")
            await resting.packet()
            peer = await GearmanPeer.connect(s.port)
            peer.writer.write(first)
            ended = asyncio.ensure_future(peer.reader.read())
            for _ in range(25):
                peer.writer.write(drip)
                await asyncio.sleep(0.02)
            assert ended.done()
            resting.send(Type.ECHO_REQ, b"y")  # one that has spoken may rest
            assert (await resting.packet()).args == (b"y",)

    run(case())


def test_the_silent_make_room_for_those_who_speak(tmp_path: Path) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE, gearman_connections=1, first_byte=timedelta(0)) as s:
            silent = await GearmanPeer.connect(s.port)
            peer = await GearmanPeer.connect(s.port)
            peer.send(Type.ECHO_REQ, b"x")
            assert (await peer.packet()).args == (b"x",)
            assert await silent.reader.read() == b""
            refused = await GearmanPeer.connect(s.port)
            assert await refused.reader.read() == b""

    run(case())


def test_gearman_jobs_count_and_a_drain_spares_workers_and_waiting_clients(tmp_path: Path) -> None:
    async def case() -> None:
        count, go = Counter[bytes](), asyncio.Event()

        async def act(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
            await go.wait()
            await complete(peer, handle, workload)

        quick = {"drain_settle": timedelta(milliseconds=50), "drain_take": timedelta(milliseconds=200)}
        worker = GearmanWorker("post-1", count, act)
        async with scheduler(tmp_path, ONE, **quick) as s, workers(s.port, worker):
            await s.program.start()
            waits, idle = await GearmanPeer.connect(s.port), await GearmanPeer.connect(s.port)
            assert await idle.lines("workers")
            await submit(waits, b"a")
            await waits.expect(Type.WORK_STATUS)
            assert s.program.quiesce() and not s.program.life.up
            with pytest.raises(ConnectionError):
                await idle.packet()
            await until(lambda: not s.program.takes_jobs())
            await submit(waits, b"b")
            await waits.expect(Type.WORK_FAIL)
            go.set()
            assert (await waits.expect(Type.WORK_COMPLETE)).args[1] == b"posted a"
            with pytest.raises(ConnectionError):
                await waits.packet()
            figures = s.program.stats().splitlines()
            assert {"svc.replies.post-payment.success:1|c", "svc.replies.post-payment.overload:1|c",
                    "svc.dispatches:1|c", "svc.concurrent:0|g", "svc.targets:1|g"} <= set(figures)
            assert s.program.resume() and s.program.life.up
            again = await GearmanPeer.connect(s.port)
            await submit(again, b"c")
            assert (await again.expect(*FINAL)).args[1] == b"posted c" and count.total() == 2
            again.close()

    run(case())
