"""Members in virtual time: who is there, what is known, and what strangers and liars can do."""

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import STEADY

from hazellead.lab.mesh import Mesh, MeshNetwork, Peer
from hazellead.lab.time import VirtualTime
from hazellead.learning.facts import Draft, Fact, Origin, Topic
from hazellead.learning.store import Batch
from hazellead.peers.messages import (
    HEADER,
    MAGIC,
    Ack,
    Bounds,
    Delta,
    Digest,
    Message,
    MessageError,
    Nack,
    Ping,
    Reader,
    Rumour,
    Standing,
    Sync,
    encode,
)
from hazellead.peers.node import NodeSettings
from hazellead.peers.swim import Swim, SwimSettings
from hazellead.peers.transport import PeerLimits

S = 1_000_000


def mesh(count: int, seed: int = 1, loss: float = 0.0, settings: NodeSettings | None = None) -> Mesh:
    m = Mesh(VirtualTime(), seed, settings, network=MeshNetwork(loss=loss))
    for i in range(count):
        m.add(f"n{i}", [f"n{j}" for j in range(max(0, i - 3), i)])
        m.time.run_us(50_000)
    m.time.run_us(5 * S)
    return m


def views(m: Mesh) -> set[tuple[str, ...]]:
    """Return the different views of who is there, each with its owner."""
    return {tuple(sorted([p.node.name, *(x.name for x in p.node.swim.there())]))
            for p in m.peers.values() if p.up}


def tell(peer: Peer, m: Mesh, subject: str = "w-1", value: float = 2.0) -> None:
    now = m._now(peer)
    peer.node.tell(now, [Draft(Topic.PACE, subject, 0, value, 20.0, now)])


def knowing(m: Mesh, subject: str = "w-1") -> int:
    return sum(bool(list(p.node.knowledge.about((Topic.PACE, subject)))) for p in m.peers.values() if p.up)


def test_all_find_each_other_and_a_dead_one_is_known_to_all_despite_loss() -> None:
    m = mesh(20, loss=0.05)
    assert len(views(m)) == 1 and len(next(iter(views(m)))) == 20
    m.kill(m.peers["n7"])
    m.time.run_us(10 * S)
    assert len(views(m)) == 1 and "n7" not in next(iter(views(m)))
    assert {of for _, _, of in m.deaths} == {"n7"}


def test_a_third_of_all_messages_lost_kills_nobody() -> None:
    m = mesh(12, loss=0.3)
    m.time.run_us(60 * S)
    assert len(views(m)) == 1 and len(next(iter(views(m)))) == 12


def test_halves_of_a_partition_forget_and_find_each_other_and_share_what_they_learned() -> None:
    m = mesh(10)
    m.partition([f"n{i}" for i in range(5)])
    m.time.run_us(20 * S)
    assert sorted(len(v) for v in views(m)) == [5, 5]
    tell(m.peers["n0"], m, "w-1")
    tell(m.peers["n9"], m, "w-2")
    m.time.run_us(3 * S)
    assert knowing(m, "w-1") == knowing(m, "w-2") == 5
    m.heal()
    m.time.run_us(30 * S)
    assert len(views(m)) == 1 and len(next(iter(views(m)))) == 10
    assert knowing(m, "w-1") == knowing(m, "w-2") == 10


def test_a_member_back_under_its_name_with_its_incarnation_lost_is_taken_back() -> None:
    m = mesh(6)
    for _ in range(3):  # each time it must outdo what is remembered of its death
        m.kill(m.peers["n2"])
        m.time.run_us(10 * S)
        assert "n2" not in next(iter(views(m)))
        m.add("n2", ["n0"])
        m.time.run_us(5 * S)
        assert len(views(m)) == 1 and "n2" in next(iter(views(m)))
    assert m.peers["n2"].node.swim.incarnation >= 1


def test_a_member_that_flaps_ends_no_other_and_leaves_bounded_traces() -> None:
    m = mesh(6)
    for _ in range(20):
        m.add("n3", ["n0", "n1"])
        tell(m.peers["n3"], m)
        m.time.run_us(S)
    m.time.run_us(10 * S)
    assert len(views(m)) == 1 and len(next(iter(views(m)))) == 6
    assert {of for _, _, of in m.deaths} <= {"n3"}
    for p in m.peers.values():
        assert len(p.node.knowledge.digest()) <= 6 + 20


def test_a_member_that_was_paused_does_not_declare_the_others_dead() -> None:
    m = mesh(8)
    m.peers["n1"].paused_until_us = m.time.now_us() + 6 * S
    m.time.run_us(30 * S)
    assert not [d for d in m.deaths if d[1] == "n1"] and len(views(m)) == 1


def test_a_member_that_leaves_is_gone_at_once_and_not_mourned() -> None:
    m = mesh(6)
    m._send(m.peers["n4"], m.peers["n4"].node.swim.leave())
    m.time.run_us(20_000)
    m.kill(m.peers["n4"])
    m.time.run_us(2 * S)
    assert len(views(m)) == 1 and "n4" not in next(iter(views(m))) and not m.deaths


def test_a_new_member_has_what_the_others_know_at_once_whatever_its_clock() -> None:
    m = mesh(5)
    for i in range(5):
        tell(m.peers[f"n{i}"], m, f"w-{i}")
    m.time.run_us(3 * S)
    new = m.add("late", ["n0", "n1", "n2", "n3"], clock_offset_us=-7200 * S)
    m.time.run_us(200_000)
    assert len(new.node.answered) == 3 and new.node.knowledge.count == 5
    now = m._now(new)
    assert all(now - 10 * S < f.observed <= now for k in new.node.knowledge.keys()
               for _, f in new.node.knowledge.about(k))


def test_facts_are_sent_within_the_rate_and_arrive_all_the_same() -> None:
    slow = NodeSettings(rate=4 * 1024, burst=8 * 1024, whole=2 * 1024)
    m = mesh(4, settings=slow)
    now = m.time.now_us()
    for k in range(3):
        drafts = [Draft(Topic.PACE, f"w-{k}-{i}", 0, 2.0, 20.0, now) for i in range(200)]
        m.peers["n0"].node.tell(now, drafts)
    before = {n: p.sent_bytes for n, p in m.peers.items()}
    m.time.run_us(10 * S)
    assert max(p.sent_bytes - before[n] for n, p in m.peers.items()) < 10 * 10 * 1024
    m.time.run_us(60 * S)
    assert {p.node.knowledge.count for p in m.peers.values()} == {600}


def test_where_relaying_is_not_trusted_a_member_speaks_for_itself_only() -> None:
    m = mesh(4, settings=NodeSettings(relay=False))
    liar, target = m.peers["n1"], m.peers["n0"]
    forged = Batch(Origin("n2", 10**17), 1, [Fact(Topic.PACE, "w-9", 0, 9.0, 50.0, m.time.now_us(), 1)])
    m._send(liar, [("n0", "n0", Delta(m.time.now_us(), [forged]))])
    m.time.run_us(S)
    assert not list(target.node.knowledge.about((Topic.PACE, "w-9")))
    tell(liar, m)
    m.time.run_us(5 * S)
    assert knowing(m) == 4  # from its origin to each


def test_a_suspect_is_told_so_with_the_next_ping_and_refutes() -> None:
    m = mesh(4)
    p = m.peers["n0"].node.swim
    p._hear(m.time.now_us(), [Rumour("n1", "n1", p.members["n1"].incarnation, Standing.SUSPECT, "n0")])
    assert p.members["n1"].standing is Standing.SUSPECT
    m.time.run_us(4 * S)
    assert p.members["n1"].standing is Standing.ALIVE and m.peers["n1"].node.swim.incarnation > 0
    assert not m.deaths


def test_local_health_falls_when_helpers_stay_silent_and_rises_with_answers() -> None:
    s = Swim("a", "a", SwimSettings(), Random(1))
    now = 0
    for name in "bcde":
        s.receive(now, name, Sync([Rumour(name, name, 0, 0)], reply=False))
    for _ in range(12):  # cut off: nobody answers anything
        now = s.due()
        s.tick(now)
    doubtful = s.health
    assert doubtful >= 4 and all(s._lasts(n) > s.settings.period_us * 5 for n in s._suspected)
    for _ in range(60):  # back: all that is asked is answered
        for name, _, message in s.tick(now := s.due()):
            if isinstance(message, Ping):
                s.receive(now, name, Ack(message.seq, [Rumour(name, name, 1, 0)]))
    assert s.health == 0 and s.members["b"].standing is Standing.ALIVE


# The wire.


MESSAGES: list[Message] = [
    Ping(1, "a", [Rumour("b", "b:1", 3, 1, "c")]), Ack(2), Nack(3), Sync([Rumour("x", "y:2", 0, 0)]),
    Digest(5, 6, [(Origin("a", 1), 7)], urgent=True),
    Delta(8, [Batch(Origin("a", 1), 2, [Fact(1, "w", 0, 1.0, 2.0, 3, 1)])])]


def test_messages_survive_any_cut_of_their_bytes() -> None:
    data = b"".join(encode(m) for m in MESSAGES)
    for size in (1, 3, 7, 1000):
        r, got = Reader(Bounds()), []
        for at in range(0, len(data), size):
            got += r.feed(data[at : at + size])
        assert got == MESSAGES and r.empty


def test_older_and_newer_versions_understand_each_other() -> None:
    def frame(value: object) -> bytes:
        body = msgspec.msgpack.encode(value)
        return HEADER.pack(MAGIC, 2, len(body)) + body

    r = Reader(Bounds())
    # A field more than we know, one fewer than we have, and a kind that we do not know.
    got = r.feed(frame([1, 9, "a", [], "what a newer one adds"]) + frame([2, 4]) + frame([77, {"new": 1}]))
    assert got == [Ping(9, "a"), Ack(4)]


@pytest.mark.parametrize("data", [
    b"GET / HTTP/1.1\r\n", HEADER.pack(MAGIC, 1, 60_000_000), HEADER.pack(MAGIC, 0, 5) + b"xxxxx",
    HEADER.pack(MAGIC, 1, 3) + b"\xc1\xc1\xc1", encode(Sync([Rumour("", "", 0, 0)])),
    encode(Sync([Rumour("a", "a", -1, 0)])), encode(Sync([Rumour("a", "a", 0, 9)])),
    encode(Ping(1, "a", [Rumour("a", "a", 0, 0)] * 50))])
def test_what_is_no_message_ends_the_reading(data: bytes) -> None:
    with pytest.raises(MessageError):
        Reader(Bounds()).feed(data)


def test_a_hundred_thousand_garbled_inputs_raise_nothing_but_refusals_and_hold_little() -> None:
    rng, whole = Random(5), [encode(m) for m in MESSAGES]
    node = mesh(3).peers["n0"].node
    refused = taken = 0
    for number in range(100_000):
        data = bytearray(rng.choice(whole))
        for _ in range(rng.randint(1, 4)):
            at, how = rng.randrange(len(data)), rng.random()
            if how < 0.6:
                data[at] = rng.randrange(256)
            elif how < 0.8:
                del data[at : at + rng.randint(1, 5)]
            else:
                data[at:at] = rng.randbytes(rng.randint(1, 6))
            if not data:
                data = bytearray(b"h")
        if rng.random() < 0.8 and len(data) > HEADER.size:  # with the head as it should be
            data[: HEADER.size] = HEADER.pack(MAGIC, 1, len(data) - HEADER.size)
        reader = Reader(Bounds())
        try:
            for message in reader.feed(bytes(data)):
                taken += 1
                node.receive(10**15 + number, "n1", message)
        except MessageError:
            refused += 1
    assert refused > 10_000 and taken > 10_000
    assert len(node.swim.members) < 4096 and node.knowledge.count < node.knowledge.settings.most_facts
    for held in node.knowledge.keys():
        assert len(held[1]) <= 512


@given(st.lists(st.tuples(st.sampled_from("bcd"), st.integers(0, 3), st.integers(0, 3)), max_size=40))
@STEADY
def test_a_rumour_never_takes_back_what_a_later_incarnation_or_a_death_has_said(
    rumours: list[tuple[str, int, int]],
) -> None:
    s = Swim("a", "a", SwimSettings(), Random(1))
    best: dict[str, tuple[int, int]] = {}
    for name, incarnation, standing in rumours:
        s.receive(0, "z", Sync([Rumour(name, name, incarnation, standing)], reply=False))
        if name in best or standing in (0, 1):
            best[name] = max(best.get(name, (-1, -1)), (incarnation, standing))
    assert {n: (m.incarnation, int(m.standing)) for n, m in s.members.items()} == best


def test_a_thousand_members_with_the_longest_names_are_told_in_one_exchange() -> None:
    rumours = [Rumour(f"{n:0128}", "a" * 300, 1 << 40, 0, f"{n:0128}") for n in range(1024)]
    (got,) = Reader(Bounds()).feed(encode(Sync(rumours)))
    assert got == Sync(rumours)
    assert PeerLimits().unread > len(encode(Sync(rumours)))
