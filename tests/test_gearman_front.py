"""Tests the Gearman frontend on loopback sockets, with fake clients and workers that count executed jobs."""

import asyncio
from collections import Counter
from datetime import timedelta
from pathlib import Path

import pytest
from loopback import (
    GearmanPeer,
    GearmanWorker,
    HttpWorker,
    JobBehavior,
    RunningProgram,
    complete,
    http_post,
    run,
    scheduler,
    until,
    workers,
)

from hazellead.gearman.packets import Type, encode_packet
from hazellead.operator_config import load
from hazellead.platform.config import ConfigError

FINAL = (Type.WORK_COMPLETE, Type.WORK_FAIL)
TWO_WORKERS = "post-1,,gearman,tartu-dc,,up\npost-2,,gearman,tartu-dc,,up\n"
ONE_WORKER = "post-1,,gearman,tartu-dc,,up\n"


async def submit(peer: GearmanPeer, work: bytes, unique: bytes = b"", kind: Type = Type.SUBMIT_JOB) -> bytes:
    peer.send(kind, b"post_payment", unique, work)
    return (await peer.expect(Type.JOB_CREATED)).args[0]


async def wait_for_chosen_worker(running: RunningProgram) -> str:
    """Wait until a job waits for a worker to grab it, and return that worker's name."""
    assert running.program.gearman
    waiting = running.program.gearman.workers.waiting
    await until(lambda: any(waiting.values()))
    return next(name for name, jobs in waiting.items() if jobs)


async def never_finish(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    await asyncio.Event().wait()


async def disconnect(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    peer.close()
    raise ConnectionError


def test_a_job_goes_through_with_start_progress_and_data(tmp_path: Path) -> None:
    async def behavior(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
        peer.send(Type.WORK_STATUS, handle, b"1", b"2")
        peer.send(Type.WORK_DATA, handle, b"half")
        await complete(peer, handle, workload)

    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER) as running, workers(
                running.port, GearmanWorker("post-1", postings, behavior)):
            client = await GearmanPeer.connect(running.port)
            handle = await submit(client, b"a")
            got = [await client.packet() for _ in range(4)]
            assert [p.type for p in got] == [
                Type.WORK_STATUS, Type.WORK_STATUS, Type.WORK_DATA, Type.WORK_COMPLETE]
            assert [p.args[1:] for p in got] == [
                (b"0", b"1000"), (b"500", b"1000"), (b"half",), (b"posted a",)]
            assert {p.args[0] for p in got} == {handle} and postings == {b"a": 1}
            assert (await client.lines("status"))[0] == "post_payment\t0\t0\t1"
            assert any(line.endswith("post-1 : post_payment") for line in await client.lines("workers"))

    run(case())


def test_a_worker_that_drops_mid_job_fails_it_and_nothing_is_posted_again(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, TWO_WORKERS) as running, workers(
                running.port, *(GearmanWorker(f"post-{i}", postings, disconnect) for i in (1, 2))):
            client = await GearmanPeer.connect(running.port)
            await submit(client, b"a", b"key")
            assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
            await submit(client, b"a", b"key")  # gets the remembered outcome, since the job may have run
            assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
            assert postings == {b"a": 1}

    run(case())


def test_a_worker_that_drops_before_its_assignment_loses_the_job_to_another(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        fake_workers = {f"post-{i}": GearmanWorker(f"post-{i}", postings) for i in (1, 2)}
        async with scheduler(tmp_path, TWO_WORKERS) as running, workers(running.port, *fake_workers.values()):
            for worker in fake_workers.values():
                worker.may_grab.clear()  # it is woken for a job and does not grab it
            client = await GearmanPeer.connect(running.port)
            await submit(client, b"a")
            fake_workers.pop(await wait_for_chosen_worker(running)).peer.close()
            for worker in fake_workers.values():
                worker.may_grab.set()
            assert (await client.expect(*FINAL)).args[1] == b"posted a"
            assert postings == {b"a": 1}

    run(case())


def test_the_same_unique_key_joins_and_then_replays(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        may_finish = asyncio.Event()

        async def behavior(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
            await may_finish.wait()
            await complete(peer, handle, workload)

        async with scheduler(tmp_path, TWO_WORKERS) as running, workers(
                running.port, *(GearmanWorker(f"post-{i}", postings, behavior) for i in (1, 2))):
            first, second, third = [await GearmanPeer.connect(running.port) for _ in range(3)]
            handle = await submit(first, b"a", b"key")
            await first.expect(Type.WORK_STATUS)
            assert await submit(second, b"a", b"key") == handle
            first.close()  # the job goes on, so that a client that submits it again does not run it twice
            second.send(Type.GET_STATUS_UNIQUE, b"key")
            assert (await second.expect(Type.STATUS_RES_UNIQUE)).args[1:3] == (b"1", b"1")
            may_finish.set()
            assert (await second.expect(*FINAL)).args == (handle, b"posted a")
            assert await submit(third, b"a", b"key") == handle
            assert (await third.expect(*FINAL)).args == (handle, b"posted a")
            assert postings == {b"a": 1}

    run(case())


@pytest.mark.parametrize("unique", [b"", b"key"])
@pytest.mark.parametrize("malformed", [False, True])
def test_no_attempt_starts_for_a_client_that_has_left(tmp_path: Path, unique: bytes, malformed: bool) -> None:
    """The client leaves while its job waits for a worker that has been woken and has not grabbed it yet."""
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        worker = GearmanWorker("post-1", postings)
        worker.may_grab.clear()  # it does not grab a job when it is woken
        async with scheduler(tmp_path, ONE_WORKER, grab_job=timedelta(seconds=5)) as running, workers(
                running.port, worker):
            client = await GearmanPeer.connect(running.port)
            await submit(client, b"a", unique)
            assert running.program.gearman
            waiting = running.program.gearman.workers.waiting
            await until(lambda: waiting.get("post-1"))
            if malformed:
                client.writer.write(b"\0REQ\xff\xff\xff\xff\xff\xff\xff\xff")
                await client.expect(Type.ERROR)
            else:
                client.close()
            await until(
                lambda: not running.program.scheduler.unanswered or not waiting["post-1"][0].may_send())
            worker.may_grab.set()
            await until(lambda: not running.program.scheduler.unanswered)
            await asyncio.sleep(0.05)
            assert not postings
            again = await GearmanPeer.connect(running.port)  # submits it as a new job, since nothing has run
            await submit(again, b"a", unique)
            assert (await again.expect(*FINAL)).args[1:] == (b"posted a",) and postings == {b"a": 1}

    run(case())


def test_a_submission_already_read_when_idle_connections_close_is_answered(tmp_path: Path) -> None:
    """Closing the connection would run a background job twice.

    It would start without JOB_CREATED being sent, and its client would submit it to another scheduler too.
    """
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER) as running, workers(
                running.port, GearmanWorker("post-1", postings)):
            client = await GearmanPeer.connect(running.port)
            client.send(Type.ECHO_REQ, b"x")
            await client.expect(Type.ECHO_RES)
            assert running.program.gearman
            server, loop, done = running.program.gearman.server, asyncio.get_running_loop(), list[int]()
            connection = list(server.connections)[-1]

            def close_idle_after_read() -> None:
                # Runs after the read is done and before the connection's task processes it, since it was
                # queued in the loop earlier.
                if connection._pending_read and connection._pending_read.done():
                    server.end_idle()
                    done.append(1)
                else:
                    loop.call_soon(close_idle_after_read)

            close_idle_after_read()
            client.send(Type.SUBMIT_JOB_BG, b"post_payment", b"", b"a")
            await until(lambda: done)
            await client.expect(Type.JOB_CREATED)
            await until(lambda: postings[b"a"])

    run(case())


async def send_truncated_result(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    peer.writer.write(encode_packet(Type.WORK_COMPLETE, handle, b"posted " + workload, response=False)[:-3])
    peer.close()


async def report_twice(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    await complete(peer, handle, workload)
    peer.send(Type.WORK_FAIL, handle)
    await complete(peer, handle, b"again")


@pytest.mark.parametrize(
    ("behavior", "final"),
    [(send_truncated_result, (Type.WORK_FAIL, b"")), (report_twice, (Type.WORK_COMPLETE, b"posted a"))])
def test_a_truncated_or_repeated_result_ends_its_job_once_and_no_other(
    tmp_path: Path, behavior: JobBehavior, final: tuple[Type, bytes],
) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        worker = GearmanWorker("post-1", postings, behavior)
        async with scheduler(tmp_path, ONE_WORKER) as running, workers(running.port, worker):
            client = await GearmanPeer.connect(running.port)
            handle = await submit(client, b"a")
            packet = await client.expect(*FINAL)
            assert (packet.type, *packet.args) == (final[0], handle, *([final[1]] if final[1] else []))
            await asyncio.sleep(0.05)
            if behavior is report_twice:
                other = await submit(client, b"b")
                assert (await client.expect(*FINAL)).args == (other, b"posted b")
            assert max(postings.values()) == 1

    run(case())


@pytest.mark.parametrize("resubmit", [False, True])
def test_a_job_that_nobody_waits_for_has_no_further_attempt(tmp_path: Path, resubmit: bool) -> None:
    """The first worker returns the job before starting it, so that another attempt would be allowed."""
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        fake_workers = [HttpWorker(f"post-{i}", postings, lambda: running.http_port) for i in (1, 2)]
        async with fake_workers[0].serving(), fake_workers[1].serving():
            rows = "".join(f"{w.uid},127.0.0.1:{w.port},http,tallinn-dc,,up\n" for w in fake_workers)
            async with scheduler(tmp_path, rows) as running:
                for worker in fake_workers:
                    worker.states = []
                client = await GearmanPeer.connect(running.port)
                await submit(client, b"a", b"key")
                await until(lambda: postings[b"a"])
                client.close()
                await until(lambda: not running.program.gearman
                            or len(running.program.gearman.server.connections) == 0)
                if resubmit:
                    client = await GearmanPeer.connect(running.port)
                    await submit(client, b"a", b"key")
                (first,) = [w for w in fake_workers if w.headers]
                for worker in fake_workers:
                    worker.states = [{"state": "done"}]
                await first.call_back(first.headers[-1]["x-trace-id"], state="returned")
                if resubmit:
                    assert (await client.expect(*FINAL)).args[1:] == (b"posted a",)
                await until(lambda: not running.program.scheduler.unanswered)
                await asyncio.sleep(0.2)
                assert postings[b"a"] == (2 if resubmit else 1)

    run(case())


def test_a_drained_worker_gets_nothing_even_if_chosen_before(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        worker = GearmanWorker("post-1", postings)
        async with scheduler(tmp_path, ONE_WORKER) as running, workers(running.port, worker):
            worker.may_grab.clear()
            client = await GearmanPeer.connect(running.port)
            await submit(client, b"a")
            await wait_for_chosen_worker(running)
            running.rewrite_inventory(ONE_WORKER.replace("up", "draining"))
            await until(lambda: not running.program.scheduler.has_available_workers)
            worker.may_grab.set()
            final = await client.expect(*FINAL)
            assert final.type == Type.WORK_FAIL and not postings

    run(case())


def test_a_reload_takes_new_functions_and_another_inventory_or_changes_nothing(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER) as running:
            settings_file = tmp_path / "gearman.toml"
            text = settings_file.read_text()

            def reload(new: str) -> None:
                settings_file.write_text(new)
                loaded = load(settings_file, {})
                running.program.reload(loaded.base, loaded)

            (tmp_path / "new.csv").write_text("name,address\nhttp-1,nowhere,1\n")
            new = text.replace('"inventory.csv"', '"new.csv"').replace("post_payment_water", "post_water")
            with pytest.raises(ConfigError, match="new.csv:2"):
                reload(new)
            assert running.program.gearman
            assert "post_payment_water" in running.program.gearman.submissions.functions
            (tmp_path / "new.csv").write_text("name\npost-2\n")
            reload(new)
            async with workers(running.port, GearmanWorker("post-2", postings)):
                client = await GearmanPeer.connect(running.port)
                await submit(client, b"a")  # its worker is in the new inventory only
                assert (await client.expect(*FINAL)).type == Type.WORK_COMPLETE and postings == {b"a": 1}
                client.send(Type.SUBMIT_JOB, b"post_payment_water", b"", b"b")
                assert (await client.packet()).type == Type.ERROR
                client.send(Type.SUBMIT_JOB, b"post_water", b"", b"b")
                assert (await client.packet()).type == Type.JOB_CREATED

    run(case())


def test_an_expired_deadline_ends_in_a_failure(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER, deadline=300) as running, workers(
                running.port, GearmanWorker("post-1", postings, never_finish)):
            client = await GearmanPeer.connect(running.port)
            await submit(client, b"a")
            assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
            assert postings == {b"a": 1}

    run(case())


@pytest.mark.parametrize(
    ("exceptions", "expected"), [(False, Type.WORK_WARNING), (True, Type.WORK_EXCEPTION)])
def test_a_refusal_says_when_to_retry_and_is_not_replayed(
    tmp_path: Path, exceptions: bool, expected: Type,
) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER, deadline=1000) as running:
            client = await GearmanPeer.connect(running.port)
            if exceptions:
                client.send(Type.OPTION_REQ, b"exceptions")
                assert (await client.packet()).type == Type.OPTION_RES
            await submit(client, b"a", b"key")  # no worker is connected
            first_packet = await client.packet()
            assert first_packet.type == expected and first_packet.args[1].startswith(b"refused: retry after ")
            assert (await client.packet()).type == Type.WORK_FAIL
            async with workers(running.port, GearmanWorker("post-1", postings)):
                await submit(client, b"a", b"key")
                assert (await client.expect(*FINAL)).args[1] == b"posted a"
        assert postings == {b"a": 1}

    run(case())


def test_a_surge_posts_every_job_once_at_most(tmp_path: Path) -> None:
    async def finish_or_disconnect(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
        if workload.endswith(b"7"):
            await disconnect(peer, handle, workload)
        await asyncio.sleep(0.01)
        await complete(peer, handle, workload)

    async def serve_repeatedly(worker: GearmanWorker, port: int) -> None:
        while True:  # reconnects after each disconnect
            await worker.serve(port)

    async def case() -> None:
        postings: Counter[bytes] = Counter()
        finals: Counter[bytes] = Counter()
        served: set[bytes] = set()
        async with scheduler(tmp_path, TWO_WORKERS) as running:
            tasks = [asyncio.ensure_future(serve_repeatedly(
                GearmanWorker(f"post-{i}", postings, finish_or_disconnect), running.port)) for i in (1, 2)]
            await until(lambda: running.program.scheduler.has_available_workers)

            async def burst(number: int) -> None:
                client = await GearmanPeer.connect(running.port)
                works = [b"%d-%d" % (number // 2, i) for i in range(20)]  # two clients submit each job
                for work in works:
                    client.send(Type.SUBMIT_JOB, b"post_payment", work, work)
                work_by_handle: dict[bytes, bytes] = {}
                ended = 0
                while ended < len(works):
                    packet = await client.expect(Type.JOB_CREATED, *FINAL)
                    if packet.type == Type.JOB_CREATED:
                        work_by_handle[packet.args[0]] = works[len(work_by_handle)]
                        continue
                    ended += 1
                    finals[work_by_handle[packet.args[0]]] += 1
                    if packet.type == Type.WORK_COMPLETE:
                        served.add(work_by_handle[packet.args[0]])
                client.close()

            await asyncio.gather(*(burst(i) for i in range(10)))
            for task in tasks:
                task.cancel()
        assert max(postings.values()) == 1
        assert sum(finals.values()) == 200 and len(finals) == 100
        assert served and served <= set(postings)

    run(case())


def test_a_gearman_client_reaches_an_http_worker(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        worker = HttpWorker("post-3", postings, lambda: running.http_port)
        async with worker.serving():
            row = f"post-3,127.0.0.1:{worker.port},http,tallinn-dc,,up\n"
            async with scheduler(tmp_path, row) as running:
                client = await GearmanPeer.connect(running.port)
                handle = await submit(client, b"a")
                assert (await client.packet()).args == (handle, b"0", b"1000")  # the start
                assert (await client.expect(*FINAL)).args == (handle, b"posted a")
                headers = "X-Trace-Id: 77\r\nX-Customer: pohja-vesi\r\nX-Expires-In: 5000m\r\n"
                assert (await http_post(
                    running.http_port, "/post-payment", b"b", headers))[::2] == (200, b"posted b")
                worker.reply = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                worker.states = []
                await submit(client, b"c")
                assert (await client.expect(*FINAL)).type == Type.WORK_FAIL
        assert postings[b"a"] == postings[b"b"] == 1

    run(case())


def test_a_planned_stop_finishes_accepted_jobs_and_refuses_new_ones(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        may_finish = asyncio.Event()

        async def behavior(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
            await may_finish.wait()
            await complete(peer, handle, workload)

        serve_on = timedelta(seconds=0.3)  # how long jobs are accepted after the stop was requested
        async with scheduler(tmp_path, ONE_WORKER, shutdown_accept=serve_on) as running, workers(
                running.port, GearmanWorker("post-1", postings, behavior)):
            client = await GearmanPeer.connect(running.port)
            handle = await submit(client, b"a")
            await client.expect(Type.WORK_STATUS)
            assert running.program.gearman
            stopping = asyncio.ensure_future(running.program.stop())
            await until(lambda: not running.program.takes_jobs())
            await submit(client, b"b")
            assert (await client.packet()).args[1].startswith(b"refused")
            assert (await client.packet()).type == Type.WORK_FAIL
            may_finish.set()
            assert (await client.expect(*FINAL)).args == (handle, b"posted a")
            await stopping
            with pytest.raises(ConnectionError):
                await client.packet()
            assert postings == {b"a": 1}

    run(case())


def test_unserved_packets_get_an_error_and_malformed_ones_end_the_connection(tmp_path: Path) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE_WORKER) as running:
            client = await GearmanPeer.connect(running.port)
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


@pytest.mark.parametrize(
    ("first", "repeated"), [(b"", b""), (b"\0RE", b""), (b"", b"a"), (b"version\n", b"a")])
def test_a_connection_without_a_whole_packet_is_closed_in_time(
    tmp_path: Path, first: bytes, repeated: bytes,
) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE_WORKER, client_read=timedelta(seconds=0.2)) as running:
            idle = await GearmanPeer.connect(running.port)
            idle.send(Type.ECHO_REQ, b"x")
            await idle.packet()
            peer = await GearmanPeer.connect(running.port)
            peer.writer.write(first)
            ended = asyncio.ensure_future(peer.reader.read())
            for _ in range(25):
                peer.writer.write(repeated)
                await asyncio.sleep(0.02)
            assert ended.done()
            idle.send(Type.ECHO_REQ, b"y")  # a connection that has sent a whole packet may be idle
            assert (await idle.packet()).args == (b"y",)

    run(case())


def test_a_silent_connection_is_closed_to_make_room(tmp_path: Path) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE_WORKER, gearman_connections=1, first_byte=timedelta(0)) as running:
            silent = await GearmanPeer.connect(running.port)
            peer = await GearmanPeer.connect(running.port)
            peer.send(Type.ECHO_REQ, b"x")
            assert (await peer.packet()).args == (b"x",)
            assert await silent.reader.read() == b""
            refused = await GearmanPeer.connect(running.port)
            assert await refused.reader.read() == b""

    run(case())


def test_gearman_jobs_are_counted_and_a_drain_keeps_workers_and_waiting_clients(tmp_path: Path) -> None:
    async def case() -> None:
        postings, may_finish = Counter[bytes](), asyncio.Event()

        async def behavior(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
            await may_finish.wait()
            await complete(peer, handle, workload)

        short_drain = {
            "drain_settle": timedelta(milliseconds=50), "drain_accept": timedelta(milliseconds=200)}
        worker = GearmanWorker("post-1", postings, behavior)
        async with scheduler(tmp_path, ONE_WORKER, **short_drain) as running, workers(running.port, worker):
            await running.program.start()
            waiting_client, idle = (
                await GearmanPeer.connect(running.port), await GearmanPeer.connect(running.port))
            assert await idle.lines("workers")
            await submit(waiting_client, b"a")
            await waiting_client.expect(Type.WORK_STATUS)
            assert running.program.quiesce() and not running.program.life.up
            with pytest.raises(ConnectionError):
                await idle.packet()
            await until(lambda: not running.program.takes_jobs())
            await submit(waiting_client, b"b")
            await waiting_client.expect(Type.WORK_FAIL)
            may_finish.set()
            assert (await waiting_client.expect(Type.WORK_COMPLETE)).args[1] == b"posted a"
            with pytest.raises(ConnectionError):
                await waiting_client.packet()
            statistics = running.program.stats().splitlines()
            assert {"svc.replies.post-payment.success:1|c", "svc.replies.post-payment.overload:1|c",
                    "svc.dispatches:1|c", "svc.concurrent:0|g", "svc.targets:1|g"} <= set(statistics)
            assert running.program.resume() and running.program.life.up
            again = await GearmanPeer.connect(running.port)
            await submit(again, b"c")
            assert (await again.expect(*FINAL)).args[1] == b"posted c" and postings.total() == 2
            again.close()

    run(case())
