"""Open jobs that pass to the process that replaces theirs; partners that die, hang, garble or come late."""

import asyncio
import json
import signal
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from helpers import BASE, Referee, fleet, pushes
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st
from loopback import HttpWorker, free_port, http_message, http_post, run, until
from test_console import ask, read
from test_handover import TENANTS
from test_program import SETTINGS, program

from hazellead.core import generations
from hazellead.core.clock import span
from hazellead.core.jobs import Job
from hazellead.core.passing import OpenAttempt, OpenJob
from hazellead.decide import interface as api
from hazellead.lifecycle import channel
from hazellead.lifecycle.channel import Channel
from hazellead.lifecycle.messages import Message, MessageError
from hazellead.lifecycle.passed_jobs import PassedJob, PendingBatch

LONG = 60_000_000  # microseconds: longer than a process that ends may take
HOURS = SETTINGS | {"requestClasses": [
    row | {"hardLimitUs": LONG} for row in SETTINGS["requestClasses"]]}
KIND = SETTINGS["requestClasses"][0]["name"]


class Quiet(HttpWorker):
    """A worker that takes jobs, tells of their start, and ends them when the test says so."""

    def __init__(self, uid: str, postings: Counter[bytes], back: Any) -> None:
        super().__init__(uid, postings, back)
        self.states = [{"state": "started"}]

    def deleted(self) -> list[str]:
        return [r.split()[1] for r in self.requests if r.startswith("DELETE")]


class Client:
    """A client on a connection of its own, which it keeps."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def ask(self, identity: str, body: bytes, more: bytes = b"") -> "Client":
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(request(identity, body) + more)
        return self

    async def answer(self, *, ending: bool = False) -> tuple[int, bytes]:
        """Read an answer; that of a process which is ending may be the last on its connection."""
        first, headers, body = await asyncio.wait_for(http_message(self.reader), 8)
        assert ending or headers.get("connection") != "close"
        return int(first.split()[1]), body


def request(identity: str, body: bytes, left_ms: int = 50_000, kind: str = KIND) -> bytes:
    return (f"POST /{kind} HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {identity}\r\nX-Customer: {TENANTS[0]}\r\n"
            f"X-Expires-In: {left_ms}m\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Site:
    """Workers, a scheduler with open jobs of minutes, and the clients that wait for them."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port, self.postings = folder, free_port(), Counter[bytes]()
        self.workers = [Quiet(f"s-{i}", self.postings, lambda: self.port) for i in range(6)]
        self.stack, self.consoles = AsyncExitStack(), list[int]()

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Site"]:
        async with self.stack:
            for w in self.workers:
                await self.stack.enter_async_context(w.serving())
            yield self

    async def start(self, **more: Any) -> Any:
        self.consoles.append(free_port())
        return await self.stack.enter_async_context(program(
            self.folder / str(len(self.consoles)), self.port, *self.workers,
            **({"console": f"127.0.0.1:{self.consoles[-1]}", "settings": HOURS} | more)))

    async def open(self, *identities: str, more: bytes = b"") -> list[Client]:
        some = []
        for identity in identities:
            some.append(await Client(self.port).ask(identity, identity.encode(), more))
            await until(lambda identity=identity: self.postings[identity.encode()])
            await asyncio.sleep(0.02)  # for the 202 and the start: nothing is sent behind a job that waits
        return some

    def worker_of(self, identity: str) -> Quiet:
        return next(w for w in self.workers if any(
            h.get("x-trace-id") == identity for h in w.headers))

    async def say(self, identity: str, state: str, **more: Any) -> int:
        return await self.worker_of(identity).call_back(identity, state=state, **more)

    async def done(self, *identities: str) -> None:
        for identity in identities:
            assert await self.say(identity, "done", result=f"r {identity}") == 200

    @property
    def path(self) -> str:
        return str(self.folder / f"hazellead-{self.port}.sock")

    async def figure(self, i: int, name: str) -> int:
        return read((await ask(self.consoles[i]))[1])[name]


class Partner:
    """A process that replaces a scheduler, played by the test: it takes what it is told to."""

    def __init__(self, site: Site, *, takes: bool = True) -> None:
        self.site, self.takes = site, takes
        self.came: asyncio.Queue[tuple[Message, list[socket.socket]]] = asyncio.Queue()
        self.ended: list[str] = []

    async def take_over(self) -> "Partner":
        sock = await channel.connect(self.site.path, 5)
        self.channel = Channel(sock, lambda m, s: self.came.put_nowait((m, s)), self.ended.append)
        hello = {"takes_jobs": True} if self.takes else {}
        self.channel.send("hello", version=1, listen=f"127.0.0.1:{self.site.port}", **hello)
        _, self.listening = await self.next("offer")
        self.channel.send("ready")
        await self.next("commit")
        self.channel.send("started")
        return self

    async def next(self, kind: str, seconds: float = 5) -> tuple[Message, list[socket.socket]]:
        async with asyncio.timeout(seconds):
            while (found := await self.came.get())[0].kind != kind:
                self.drop(found[1])
        return found

    def drop(self, sockets: list[socket.socket]) -> None:
        for sock in sockets:
            sock.close()

    def close(self) -> None:
        self.channel.close()
        self.drop(self.listening)


def site_test(case: Any) -> Any:
    """Run a case with a site whose workers serve."""
    def test(tmp_path: Path) -> None:
        async def whole() -> None:
            async with Site(tmp_path).running() as site:
                await case(site)

        run(whole())

    test.__name__, test.__doc__ = case.__name__, case.__doc__
    return test


# The whole program, replaced.

@site_test
async def test_open_jobs_outlive_two_replacements_and_are_served_once_each(site: Site) -> None:
    names = [f"j{i}" for i in range(70)]  # more than two batches
    old = await site.start()
    clients = await site.open(*names)
    for i in (1, 2):
        new = await site.start()
        old.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(old.wait(), 5) == 0
        assert await site.figure(i, "concurrent") == len(names)
        old = new
        used = f"X-Trace-Id: j1\r\nX-Customer: {TENANTS[0]}\r\n"
        assert (await http_post(site.port, f"/{KIND}", b"", used))[0] == 409
    await site.done(*names)
    assert [await c.answer() for c in clients] == [(200, f"r {n}".encode()) for n in names]
    assert set(site.postings.values()) == {1} and not any(w.deleted() for w in site.workers)
    assert await site.figure(2, f"replies.{KIND}.success") == len(names)
    assert await site.figure(2, "concurrent") == 0
    # Their connections go on, and the ids stay used.
    clients[0].writer.write(request("j0", b"again"))
    assert (await http_message(clients[0].reader))[0].split()[1] == "409"


@site_test
async def test_what_a_client_does_after_its_job_has_passed_is_heeded(site: Site) -> None:
    old = await site.start()
    stays, leaves = await site.open("stays", "leaves")
    (piped,) = await site.open("piped", more=request("next", b"next")[:40])
    await site.start()
    old.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(old.wait(), 5) == 0
    leaves.writer.close()
    await until(lambda: site.worker_of("leaves").deleted() == ["/jobs/leaves"])
    await site.done("stays", "piped")
    assert await stays.answer() == (200, b"r stays") and await piped.answer() == (200, b"r piped")
    piped.writer.write(request("next", b"next")[40:])  # the part that had come went with the connection
    await until(lambda: site.postings[b"next"])
    await site.done("next")
    assert await piped.answer() == (200, b"r next")


@site_test
async def test_a_job_keeps_its_rules_its_attempts_and_its_deadline_under_other_settings(site: Site) -> None:
    old = await site.start()
    back, late = await site.open("back"), Client(site.port)
    late.reader, late.writer = await asyncio.open_connection("127.0.0.1", site.port)
    late.writer.write(request("late", b"late", 6000))
    await until(lambda: site.postings[b"late"])
    await asyncio.sleep(0.05)
    others = [row | {"name": f"other-{row['name']}"} for row in HOURS["requestClasses"]]
    await site.start(settings=HOURS | {"requestClasses": others})
    old.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(old.wait(), 5) == 0
    first = site.worker_of("back")
    assert await first.call_back("back", state="returned") == 200  # it never ran: it goes to another
    await until(lambda: site.postings[b"back"] == 2)
    second = next(w for w in site.workers if w is not first and w.postings and any(
        h.get("x-trace-id") == "back" for h in w.headers))
    assert 30_000_000 < int(second.headers[-1]["x-expires-in"][:-1]) < 50_000_000
    assert await second.call_back("back", state="done", result="r") == 200
    assert await back[0].answer() == (200, b"r")
    # Its client's deadline is the new process's to keep: worker and client are told.
    assert (await late.answer())[0] == 502
    await until(lambda: site.worker_of("late").deleted() == ["/jobs/late"])
    assert (await http_post(site.port, f"/{KIND}", b"", "X-Trace-Id: n\r\n"))[0] == 404  # no more taken


# Partners that fail the old process. Whatever they do, a job is served once or its client sees the end.

async def _passing(site: Site, *identities: str, takes: bool = True) -> tuple[Any, list[Client], Partner]:
    old = await site.start()
    clients = await site.open(*identities)
    partner = await Partner(site, takes=takes).take_over()
    old.send_signal(signal.SIGTERM)
    return old, clients, partner


async def _served_by_old(site: Site, old: Any, clients: list[Client], *identities: str) -> None:
    await site.done(*identities)
    assert [await c.answer(ending=True) for c in clients] == [(200, f"r {n}".encode()) for n in identities]
    assert set(site.postings.values()) == {1} and not any(w.deleted() for w in site.workers)
    assert await asyncio.wait_for(old.wait(), 6) == 0


@pytest.mark.parametrize("how", ["dies before its word", "garbles its word", "refuses all", "hangs"])
def test_the_old_process_goes_on_where_its_successor_does_not_take_jobs(tmp_path: Path, how: str) -> None:
    async def case(site: Site) -> None:
        old, clients, partner = await _passing(site, "a", "b")
        message, sockets = await partner.next("jobs")
        number = message.number("number")
        assert sorted(j["id"] for j in message.body["jobs"]) == ["a", "b"] and len(sockets) == 2
        if how == "dies before its word":
            partner.close()
        elif how == "garbles its word":
            partner.channel.send("jobs_ready", number=number, ids=[1, 2])
            await until(lambda: partner.ended)
        elif how == "refuses all":
            partner.channel.send("jobs_ready", number=number, ids=[])
            assert (await partner.next("jobs_yours"))[0].texts("ids") == []
            with pytest.raises(TimeoutError):  # and is not asked again
                await partner.next("jobs", 1)
        else:  # it says nothing: told, in time, that none is its own; then it may be asked again
            assert (await partner.next("jobs_yours", 2))[0].texts("ids") == []
            partner.channel.send("jobs_ready", number=number, ids=["a", "b"])  # too late
            again, more = await partner.next("jobs")
            assert again.number("number") == number + 1
            partner.drop(more)
        partner.drop(sockets)
        # A dead successor leaves the address to the old process again; else call-backs are passed to it.
        if how in ("dies before its word", "garbles its word"):
            await _served_by_old(site, old, clients, "a", "b")
        else:
            asyncio.get_running_loop().call_later(0.6, partner.close)
            await asyncio.sleep(0.7)
            await _served_by_old(site, old, clients, "a", "b")
        partner.close()

    site_test(case)(tmp_path)


@site_test
async def test_the_old_process_does_not_act_for_jobs_that_a_successor_took_and_died_with(site: Site) -> None:
    old, clients, partner = await _passing(site, "a", "b", "c")
    message, sockets = await partner.next("jobs")
    partner.channel.send("jobs_ready", number=message.number("number"), ids=["a", "c", "unknown"])
    assert sorted((await partner.next("jobs_yours"))[0].texts("ids")) == ["a", "c"]
    partner.drop(sockets)
    partner.close()
    await until(lambda: old.returncode is not None or partner.ended)
    assert await site.say("a", "done", result="r") == 200  # late, as for any job that is no more
    await site.done("b")
    assert (await clients[1].answer(ending=True)) == (200, b"r b")
    for client in (clients[0], clients[2]):  # their connections end, with no answer that nobody owes
        with suppress(ConnectionError):
            assert await asyncio.wait_for(client.reader.read(), 5) == b""
    assert set(site.postings.values()) == {1} and not any(w.deleted() for w in site.workers)
    assert await asyncio.wait_for(old.wait(), 6) == 0


@site_test
async def test_what_is_under_way_at_once_is_bounded_in_jobs_and_in_bytes(site: Site) -> None:
    old, clients = await site.start(), list[Client]()
    for i in range(40):
        body = b"%d" % i + b"x" * 60_000 * (i < 20)
        clients.append(await Client(site.port).ask(f"n{i}", body))
        await until(lambda body=body: site.postings[body])
        await asyncio.sleep(0.02)  # for its start: nothing is sent behind a job that waits for one
    partner = await Partner(site).take_over()
    old.send_signal(signal.SIGTERM)
    seen = list[str]()
    while len(seen) < 40:
        message, sockets = await partner.next("jobs")
        jobs = message.body["jobs"]
        assert len(jobs) == len(sockets) <= 32 and len(json.dumps(jobs)) < 3 << 19
        seen += [j["id"] for j in jobs]
        with pytest.raises(TimeoutError):  # one batch at a time
            await partner.next("jobs", 0.05)
        partner.channel.send("jobs_ready", number=message.number("number"), ids=[j["id"] for j in jobs])
        partner.drop(sockets)
    assert sorted(seen) == sorted(f"n{i}" for i in range(40))
    partner.close()
    assert await asyncio.wait_for(old.wait(), 6) == 0


@site_test
async def test_a_successor_of_another_version_is_offered_no_job(site: Site) -> None:
    old, clients, partner = await _passing(site, "a", takes=False)
    with pytest.raises(TimeoutError):
        await partner.next("jobs", 1)
    partner.close()
    await _served_by_old(site, old, clients, "a")


@site_test
async def test_call_backs_wait_for_the_word_on_their_job_and_reach_whoever_has_it(site: Site) -> None:
    old, clients, partner = await _passing(site, "mine", "yours")
    message, sockets = await partner.next("jobs")
    # A call-back that the successor got and passes on while the job is between the two.
    for number, name in ((7, "yours"), (8, "mine")):
        partner.channel.send("call_back", number=number, id=name, sender=site.worker_of(name).uid,
                             state="done", rest=f"r {name}")
    with pytest.raises(TimeoutError):
        await partner.next("answered", 0.2)
    partner.channel.send("jobs_ready", number=message.number("number"), ids=["yours"])
    assert (await partner.next("jobs_yours"))[0].texts("ids") == ["yours"]
    # The one that went comes after its job; the one that stayed is taken in.
    passed, _ = await partner.next("call_back")
    assert passed.text("id") == "yours" and passed.body["rest"] == "r yours"
    partner.channel.send("answered", number=passed.number("number"), status=200)
    assert await clients[0].answer() == (200, b"r mine")
    # One that crossed the word goes after its job as well.
    partner.channel.send("call_back", number=9, id="yours", sender=site.worker_of("yours").uid,
                         state="done", rest="again")
    passed, _ = await partner.next("call_back")
    assert passed.body["rest"] == "again"
    partner.drop(sockets)
    partner.close()
    assert await asyncio.wait_for(old.wait(), 6) == 0


# Partners that fail the new process.

class Former(Partner):
    """A process that is replaced by a real one, played by the test."""

    async def serve(self, start: Any) -> Any:
        """Let the program replace this one; return its process."""
        listening = socket.create_server(("127.0.0.1", self.site.port))
        door, told = channel.listen_at(self.site.path), asyncio.get_running_loop().create_future()

        def knock() -> None:
            sock, _ = door.accept()
            self.channel = Channel(sock, lambda m, s: self.came.put_nowait((m, s)), self.ended.append)
            told.set_result(None)

        asyncio.get_running_loop().add_reader(door, knock)
        starting = asyncio.ensure_future(start)
        await asyncio.wait_for(told, 10)
        asyncio.get_running_loop().remove_reader(door)
        door.close()
        hello, _ = await self.next("hello")
        assert hello.body["takes_jobs"] is True
        targets = [{"uid": w.uid, "endpoint": f"127.0.0.1:{w.port}", "az": "tartu-dc", "state": "up"}
                   for w in self.site.workers]
        self.channel.send("offer", [listening.dup()], version=1, known={}, discovery="",
                          told={"rev": 0, "all": True, "targets": targets})
        await self.next("ready")
        self.channel.send("commit", open=["a"], ended=[])
        await self.next("started")
        self.listening = [listening]
        return await starting


def passed(identity: str, worker: str = "s-0", **more: Any) -> dict[str, Any]:
    rules = {"aim_us": 100_000, "deadline_us": LONG, "effect": "unsafe"}
    kind = api.JobClass(**(rules | {"effect": api.Effect.UNSAFE}))
    job = Job(identity, f"/{KIND}", b"body", 0, 0, span(LONG), function=KIND, class_name=KIND)
    attempts = (OpenAttempt(worker, span(5000), span(LONG), None, None),)
    return PassedJob(OpenJob(job, kind, TENANTS[0], span(LONG), attempts), b"", True, True).to_body() | more


@site_test
async def test_a_new_process_takes_only_what_it_can_go_on_with_and_only_once_told(site: Site) -> None:
    former = Former(site)
    await former.serve(site.start())
    ours, theirs = zip(*(socket.socketpair() for _ in range(4)), strict=True)
    some = [passed("a"), passed("a"), passed("b", "s-unknown"), passed("c")]
    former.channel.send("jobs", theirs, number=1, jobs=some)
    assert (await former.next("jobs_ready"))[0].texts("ids") == ["a", "c"]
    assert await site.figure(0, "concurrent") == 0
    # A call-back waits for the word. None comes for the first batch: its second one drops it.
    waiting = asyncio.ensure_future(site.workers[0].call_back("a", state="done", result="early"))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    former.channel.send("jobs_yours", number=7, ids=["a"])  # a word on no batch
    more_ours, more_theirs = socket.socketpair()
    former.channel.send("jobs", [more_theirs], number=2, jobs=[passed("a")])
    passed_on, _ = await former.next("call_back")  # it goes to the one that had the job meanwhile
    former.channel.send("answered", number=passed_on.number("number"), status=503)
    assert await waiting == 503
    assert (await former.next("jobs_ready"))[0].number("number") == 2
    former.channel.send("jobs_yours", number=2, ids=["a", "c"])
    await until(lambda: former.came.empty())
    await asyncio.sleep(0.1)
    assert await site.figure(0, "concurrent") == 1
    assert await site.workers[0].call_back("a", state="done", result="late") == 200
    more_ours.settimeout(5)
    assert (await asyncio.to_thread(more_ours.recv, 4096)).endswith(b"late")
    for sock in ours:  # let go of: this process answers nothing on them
        sock.settimeout(5)
        assert await asyncio.to_thread(sock.recv, 1) == b""
    former.close()


@pytest.mark.parametrize("what", [
    {"jobs": [{}]}, {"jobs": [None]}, {"jobs": []}, {"jobs": "x"}, {"jobs": [passed("a", attempts=[])]},
    {"jobs": [passed("a", rules={"aim_us": 1})]}, {"jobs": [passed("a", body="?")]}, {"number": -1},
    {"jobs": [passed("a", left=10**30)]}, {"jobs": [passed("a"), passed("b")]},
])
def test_garbled_jobs_end_the_channel_and_the_new_process_serves_on(tmp_path: Path, what: Any) -> None:
    async def case(site: Site) -> None:
        former = Former(site)
        process = await former.serve(site.start())
        ours, theirs = socket.socketpair()
        former.channel.send("jobs", [theirs], **({"number": 1, "jobs": [passed("a")]} | what))
        await until(lambda: former.ended)
        ours.settimeout(5)
        assert await asyncio.to_thread(ours.recv, 1) == b""  # its descriptor is not kept
        assert process.returncode is None and await site.figure(0, "concurrent") == 0
        former.drop(former.listening)

    site_test(case)(tmp_path)


# The pure parts.

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3))


@settings(derandomize=True, deadline=None)
@examples(st.sampled_from(sorted(passed("a"))), JSON)
def test_a_job_with_any_part_exchanged_is_read_or_refused(key: str, value: Any) -> None:
    body = json.loads(json.dumps(passed("a")))
    assert PassedJob.from_body(body, 1000).to_body() == body
    with suppress(MessageError):
        read_again = PassedJob.from_body(body | {key: value}, 1000)
        assert read_again == PassedJob.from_body(read_again.to_body(), 1000)
    del body[key]
    with pytest.raises(MessageError):
        PassedJob.from_body(body, 1000)


def test_a_body_over_the_bound_is_refused() -> None:
    with pytest.raises(MessageError):
        PassedJob.from_body(passed("a"), 2)


def test_a_word_on_another_batch_says_nothing_of_the_one_that_is_held() -> None:
    batch = PendingBatch[str]()
    assert batch.start({"a": "A", "b": "B"}) == [] and batch.number == 1 and batch.pending
    assert batch.settle(2, ["a"]) == ([], []) and batch.pending
    assert batch.settle(1, ["b", "z"]) == (["B"], ["A"]) and not batch.pending
    assert batch.settle(1, ["a"]) == ([], [])
    batch.start({"c": "C"}, 9)
    assert batch.start({"d": "D"}) == ["C"] and batch.number == 10 and batch.clear() == ["D"]


def test_a_class_and_a_tenant_of_other_settings_are_numbered_apart_and_listed_nowhere() -> None:
    held = generations.first(BASE, ["one"], ["x", "y"])
    same, *numbers = generations.keep(held, held.rows[0], "y")
    assert same is held and numbers == [0, 1]
    rules = api.JobClass(1, 2, api.Effect.KEYED, max_attempts=2)
    kept, job_class, tenant = generations.keep(held, ("one", rules), "gone")
    assert kept.settings.classes[job_class] == rules and kept.fresh == {job_class}
    assert job_class not in kept.classes
    assert kept.settings.tenants[tenant].portion == generations.GONE and tenant not in kept.tenants
    assert kept.rows[:1] == held.rows[:1] and kept.number == held.number
    with pytest.raises(generations.TooManyError):
        for i in range(generations.MOST):
            kept, _, _ = generations.keep(kept, (f"k{i}", rules), "x")


def _adopted(effect: api.Effect, *made: api.Made) -> Referee:
    rules = api.Settings(classes=(api.JobClass(100_000, 5_000_000, effect),), max_attempts=3, reports=False)
    referee = Referee(rules)
    referee.play(fleet(4))
    arrival = api.Arrival(1, 0, 4_000_000, made=made)
    assert not pushes(referee.play(arrival, after_us=4000))  # what is out is not sent again
    return referee


@pytest.mark.parametrize("effect", list(api.Effect))
@pytest.mark.parametrize("outcome", [api.Outcome.FULL, api.Outcome.TIMED_OUT, api.Outcome.SERVED])
def test_the_module_goes_on_with_an_attempt_made_elsewhere_as_with_its_own(
    effect: api.Effect, outcome: api.Outcome,
) -> None:
    referee = _adopted(effect, api.Made(2, 900_000))
    ended = api.AttemptEnded(1, 0, 2, outcome, 200_000, outcome is api.Outcome.SERVED)
    actions = referee.dispatcher.handle(referee.now + 50_000, [ended])
    again = pushes(actions)
    if outcome is api.Outcome.SERVED:
        assert not again and not any(isinstance(a, api.Refuse | api.Fail) for a in actions)
    elif outcome is api.Outcome.FULL or effect is api.Effect.SAFE:
        assert [a.worker for a in again] and again[0].worker != 2
    else:
        assert not again and any(isinstance(a, api.Fail) for a in actions)  # it may have run


def test_attempts_made_elsewhere_count_and_a_worker_that_no_list_names_may_have_one() -> None:
    before = [api.Made(n, 900_000, 0, api.Outcome.FULL) for n in (1, 2)]
    referee = _adopted(api.Effect.UNSAFE, *before, api.Made(99, 950_000, 960_000))
    actions = referee.dispatcher.handle(
        referee.now + 9000, [api.AttemptEnded(1, 2, 99, api.Outcome.FULL, 9000, False)])
    assert not pushes(actions) and any(isinstance(a, api.Refuse) for a in actions)  # the third was the last
