"""Gearman's packets, job table, workers and inventory, each against a model without sockets."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from loopback import ROOT, STEADY, run

from hazellead.core.jobs import Attempt, Job
from hazellead.decide import interface as api
from hazellead.decide.interface import Outcome, Phase
from hazellead.gearman import inventory, workers
from hazellead.gearman.jobs import JobTable, Ticket
from hazellead.gearman.packets import ARGUMENTS, Packet, PacketError, Parser, Type, write
from hazellead.lab.time import VirtualTime
from hazellead.limits import Limits
from hazellead.operator_config import load
from hazellead.platform.config import ConfigError, Names

WORDS = st.binary(max_size=40).map(lambda b: b.replace(b"\0", b""))
PACKETS = st.sampled_from(sorted(ARGUMENTS)).flatmap(lambda t: st.tuples(
    st.just(t), st.lists(WORDS, min_size=ARGUMENTS[t], max_size=ARGUMENTS[t]).map(tuple), st.booleans()))


@STEADY
@given(st.lists(PACKETS | st.sampled_from(["status", "version"]), max_size=8), st.integers(1, 30))
def test_packets_and_lines_come_out_as_they_were_written(items: list[Any], piece: int) -> None:
    line = b"".join(f"{i}\r\n".encode() if isinstance(i, str) else write(i[0], *i[1], response=i[2])
                    for i in items)
    parser, got = Parser(Limits()), []
    for at in range(0, len(line), piece):
        parser.feed(line[at:at + piece])
        while (item := parser.next()) is not None:
            got.append(item)
    assert got == [i if isinstance(i, str) else Packet(*i) for i in items] and parser.empty


@pytest.mark.parametrize("data", [
    b"\0REX" + bytes(8), b"\0X", b"\0REQ\0\0\0\x07\x7f\0\0\0", b"\0REQ\0\0\0\x07\0\0\0\x01a",
    b"\0REQ\0\0\0\x04\0\0\0\x01a", b"a" * 2000])
def test_what_cannot_be_followed_ends_the_connection(data: bytes) -> None:
    parser = Parser(Limits())
    parser.feed(data)
    with pytest.raises(PacketError):
        parser.next()


class Client:
    """A listener that notes its packets."""

    exceptions = False

    def __init__(self) -> None:
        self.got: Counter[Type] = Counter()

    def send(self, number: Type, *args: bytes) -> None:
        self.got[number] += 1


class Keys(RuleBasedStateMachine):
    """Submissions, ends and time against the table of unique keys."""

    limits = Limits(remembered=2, remembered_bytes=100, remembered_for=timedelta(seconds=10))

    def __init__(self) -> None:
        super().__init__()
        self.time = VirtualTime()
        self.table = JobTable("n", self.limits, self.time)  # type: ignore[arg-type]
        self.live: dict[bytes, Ticket] = {}
        self.ended: list[tuple[bytes, Ticket, Any, int]] = []  # key, ticket, when, size; the oldest first
        self.waiting: dict[bytes, list[Client]] = {}

    @rule(key=st.sampled_from([b"a", b"b", b"c", b"d"]))
    def submit(self, key: bytes) -> None:
        found = self.table.find((b"f", key))
        past = [e for e in self.kept() if e[0] == key]
        assert found is self.live.get(key, past[0][1] if past else None)
        if past:
            found.replay(client := Client())
            assert sum(client.got.values()) == 1
            return
        if found is None:
            found = self.live[key] = self.table.add("f", (b"f", key), background=False)
        found.join(client := Client())
        self.waiting.setdefault(key, []).append(client)

    @rule(key=st.sampled_from([b"a", b"b", b"c", b"d"]), how=st.sampled_from(["served", "failed", "refused"]),
          size=st.sampled_from([1, 70]))
    def end(self, key: bytes, how: str, size: int) -> None:
        if ticket := self.live.pop(key, None):
            if how == "served":
                ticket.served(b"x" * size)
            elif how == "failed":
                ticket.failed("")
            else:
                ticket.refused(timedelta(seconds=1))
            if how != "refused":
                self.ended.append((key, ticket, self.time.now(), size if how == "served" else 0))
            for client in self.waiting.pop(key):
                assert client.got[Type.WORK_COMPLETE] + client.got[Type.WORK_FAIL] == 1

    @rule(seconds=st.sampled_from([1, 8, 11]))
    def wait(self, seconds: int) -> None:
        self.time.run(timedelta(seconds=seconds))

    def kept(self) -> list[tuple[bytes, Ticket, Any, int]]:
        while self.ended and (
            len(self.ended) > self.limits.remembered or sum(e[3] for e in self.ended) > 100
            or self.time.now() - self.ended[0][2] > self.limits.remembered_for
        ):
            self.ended.pop(0)
        return self.ended

    @invariant()
    def live_keys_stay(self) -> None:
        assert {t.handle: t for t in self.live.values()} == self.table.live


class Line:
    """A worker's connection that can be ended."""

    def __init__(self) -> None:
        self.open, self.got = True, list[tuple[Type, tuple[bytes, ...]]]()

    def send(self, number: Type, *args: bytes) -> bool:
        if self.open:
            self.got.append((number, args))
        return self.open


class Host:
    """Stands in for the scheduler: notes how attempts end."""

    def __init__(self) -> None:
        self.open, self.ends = True, dict[int, Outcome | None]()

    def may_begin(self, _: Attempt) -> bool:
        return self.open

    def attempt_ended(self, attempt: Attempt, result: bytes) -> None:
        assert attempt.number not in self.ends
        self.ends[attempt.number] = attempt.outcome

    def __getattr__(self, _: str) -> Callable[..., None]:
        return lambda *_, **__: None


class Assignments(RuleBasedStateMachine):
    """One worker's connection and what is chosen for it, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.time, self.host, self.present = VirtualTime(), Host(), list[bool]()
        self.station = workers.GearmanWorkers(
            lambda _: "w", Limits(), lambda _, there: self.present.append(there), self.time)
        self.assigned, self.waiting, self.sent = dict[int, bytes](), list[Attempt](), 0
        self.connect()

    def connect(self) -> None:
        self.able = self.asleep = False
        self.line = Line()
        self.session = workers.WorkerSession(self.line, self.station)
        self.take(Type.SET_CLIENT_ID, b"w")

    def take(self, kind: Type, *args: bytes) -> list[tuple[Type, tuple[bytes, ...]]]:
        before = len(self.line.got)
        self.session.take(Packet(kind, args))
        return self.line.got[before:]

    @rule(able=st.booleans(), timeout=st.booleans())
    def can(self, able: bool, timeout: bool) -> None:
        self.able = able
        if able and timeout:
            self.take(Type.CAN_DO_TIMEOUT, b"f", b"9")
        else:
            self.take(Type.CAN_DO if able else Type.CANT_DO, b"f")

    @rule()
    def choose(self) -> None:
        job = Job(str(self.sent), "/f", b"work", 0, 0, timedelta(seconds=5), function="f")
        now = self.time.now()
        attempt = Attempt(self.host, 1, self.sent, 1, job, now, now)  # type: ignore[arg-type]
        self.sent += 1
        before = len(self.line.got)
        room = self.able and not self.waiting
        self.station.send(attempt)
        if not room:
            assert attempt.outcome is Outcome.FULL
        else:
            self.waiting.append(attempt)
            assert self.line.got[before:] == ([(Type.NOOP, ())] if self.asleep else [])
            self.asleep = False

    @rule(kind=st.sampled_from([Type.GRAB_JOB, Type.GRAB_JOB_UNIQ, Type.GRAB_JOB_ALL]))
    def grab(self, kind: Type) -> None:
        self.asleep = False
        ((number, args),) = self.take(kind)
        if self.waiting and self.host.open and self.able:
            attempt = self.waiting.pop()
            assert len(args) == ARGUMENTS[number] and args[1] == b"f" and args[-1] == b"work"
            self.assigned[attempt.number] = args[0]
        else:
            assert number is Type.NO_JOB
            if not self.host.open:
                self.handed_back()

    @rule()
    def sleep(self) -> None:
        woken = self.waiting and self.able
        assert self.take(Type.PRE_SLEEP) == ([(Type.NOOP, ())] if woken else [])
        self.asleep = not woken

    @rule(drained=st.booleans())
    def drain(self, drained: bool) -> None:
        self.host.open = not drained
        self.station.recheck()
        if drained:
            self.handed_back()

    def handed_back(self) -> None:
        for attempt in self.waiting:
            assert attempt.outcome is Outcome.MOOT
        self.waiting.clear()

    @rule(kind=st.sampled_from([Type.WORK_COMPLETE, Type.WORK_FAIL]), again=st.booleans())
    def report(self, kind: Type, again: bool) -> None:
        if self.assigned:
            number, handle = self.assigned.popitem()
            for _ in range(1 + again):
                self.take(kind, handle, *[b"r"][:kind is Type.WORK_COMPLETE])
            assert self.host.ends[number] is (Outcome.SERVED if kind is Type.WORK_COMPLETE else Outcome.ERROR)

    @rule()
    def drop(self) -> None:
        self.line.open = False
        self.station.lost(self.session)
        for number in self.assigned:
            assert self.host.ends[number] is Outcome.RESET, "it may have run"
        for attempt in self.waiting:
            assert attempt.outcome is Outcome.CONNECT_FAILED, "it never ran"
        self.assigned.clear()
        self.waiting.clear()
        assert self.present[-1] is False
        self.connect()

    @rule()
    def dawdle(self) -> None:
        busy = bool(self.assigned)
        self.time.run(timedelta(seconds=1))
        for attempt in self.waiting:  # not asked for in time
            assert attempt.outcome is (Outcome.FULL if busy else Outcome.CONNECT_FAILED)
        self.waiting.clear()

    @rule()
    def overrun(self) -> None:
        self.time.run(timedelta(seconds=10))  # past the worker's own time limit, where it has one
        self.waiting.clear()
        for number, handle in list(self.assigned.items()):
            if handle not in self.session.running:
                assert self.host.ends[number] is Outcome.TIMED_OUT
                del self.assigned[number]

    @invariant()
    def each_is_waiting_or_assigned_or_ended(self) -> None:
        assert self.sent == len(self.waiting) + len(self.assigned) + len(self.host.ends)


for machine in (Keys, Assignments):
    machine.TestCase.settings = STEADY
TestKeys, TestAssignments = Keys.TestCase, Assignments.TestCase

NAMES = Names(("post-payment",), (), ("tartu-dc", "tallinn-dc"), ("fast-2c", "mid-3c", "slow-2c"))


def test_both_forms_of_the_sample_inventory_say_the_same() -> None:
    csv, yml = (inventory.read(ROOT / f"deploy/inventory.{form}", NAMES, Limits()) for form in ("csv", "yml"))
    assert csv == yml and [h.name for h in csv] == ["post-1", "post-2", "post-3"]
    assert [h.entry.kind for h in csv] == [0, 1, 2] and csv[2].where and csv[2].where.port == 9003


@pytest.mark.parametrize(("form", "text", "line"), [
    ("csv", "", 1), ("csv", "nom\n", 1), ("csv", "name,state\n#\na,odd\n", 3), ("csv", "name,state\na\n", 2),
    ("csv", "name\na\na\n", 3), ("csv", "name,protocol\na,http\n", 2), ("csv", "name,zone\n\na,x\n", 3),
    ("csv", 'name\n"a', 2), ("csv", "name,protocol\na,ftp\n", 2), ("csv", "name\n\xff", 2),
    ("yml", "a: [", 1), ("yml", "a:\n  odd: 1\n", 2), ("yml", "a:\n  hosts:\n    b:\n      state: x\n", 3),
    ("yml", "a:\n  hosts:\n    b:\n      zone: [1]\n", 4), ("yml", "- a\n", 1),
    ("yml", "a: &a\n  children:\n    b: *a\n", 1)])
def test_a_bad_inventory_is_told_with_its_line(tmp_path: Path, form: str, text: str, line: int) -> None:
    path = tmp_path / f"i.{form}"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(ConfigError, match=rf"^{path}:{line}: "):
        inventory.read(path, NAMES, Limits())


def test_a_broken_or_unfinished_edit_keeps_the_old_list(tmp_path: Path) -> None:
    async def case() -> None:
        path, told, time = tmp_path / "i.csv", list[api.WorkerList](), VirtualTime()
        path.write_text("name,state\na,up\nb,up\n")
        kept = inventory.Inventory(path, NAMES, Limits(poll=timedelta(hours=1)), time,  # type: ignore[arg-type]
                                   told.append, lambda: None)

        def phases() -> list[Phase]:
            return [e.phase for e in told[-1].entries]

        assert phases() == [Phase.GONE, Phase.GONE]  # none of them has connected
        kept.present("a", True)
        kept.present("b", True)
        assert phases() == [Phase.READY, Phase.READY] and told[-1].entries[0].started_us == 0
        path.write_text("name,state\na,up\n")
        kept.look()  # seen to have changed, not yet trusted
        path.write_text("name,state\na,up\nb,draining\n")
        kept.look()
        assert phases() == [Phase.READY, Phase.READY]
        kept.look()
        assert phases() == [Phase.READY, Phase.DRAINING]
        for broken in ("name,state\na,odd\n", None):
            path.unlink() if broken is None else path.write_text(broken)
            kept.look()
            kept.look()
            assert phases() == [Phase.READY, Phase.DRAINING]
        path.write_text("name,state\nb,up\n")
        kept.look()
        kept.look()
        assert phases() == [Phase.GONE, Phase.READY]
        time.run(timedelta(minutes=1))
        kept.present("b", False)
        kept.present("b", True)
        assert told[-1].entries[1].started_us == time.now_us()  # it has just started: cold
        kept.close()

    run(case())


@pytest.mark.parametrize(("old", "new", "words"), [
    ('class = "post-payment"\ntenant = "poh', 'class = "odd"\ntenant = "poh', "class is missing or unknown"),
    ('tenant = "pohja-vesi"', 'tenant = "odd"', "tenant is missing or unknown"),
    ("inventory =", "in =", "holds"),
    ("deadline_ms = 5000", "deadline_ms = 5001", "deadline_ms"), ("[gearman]", "[gearman", "line"),
    ('"127.0.0.1:4730"', '"x"', "gearman.listen is no address")])
def test_a_bad_operators_file_is_a_plain_error(tmp_path: Path, old: str, new: str, words: str) -> None:
    text = (ROOT / "deploy/gearman.toml").read_text()
    assert old in text
    (tmp_path / "g.toml").write_text(text.replace(old, new))
    with pytest.raises(ConfigError, match=words):
        load(tmp_path / "g.toml", {})


def test_a_function_with_a_deadline_of_its_own_is_a_class_of_its_own(tmp_path: Path) -> None:
    text = (ROOT / "deploy/gearman.toml").read_text().replace("deadline_ms = 5000", "deadline_ms = 300")
    (tmp_path / "g.toml").write_text(text)
    given = load(tmp_path / "g.toml", {})
    classes = given.base.settings.classes
    assert [c.deadline_us for c in classes] == [5_000_000, 300_000]
    assert [f.job_class for f in given.gearman.functions.values()] == [1, 0]
