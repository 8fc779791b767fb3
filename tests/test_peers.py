"""Membership, exchange of facts and message decoding, run in virtual time over a simulated network."""

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import STEADY

from hazellead.lab.mesh import Mesh, MeshNetwork, Peer
from hazellead.lab.time import VirtualTime
from hazellead.learning.facts import Fact, Observation, Origin, Topic
from hazellead.learning.store import Batch
from hazellead.peers.messages import (
    HEADER,
    MAGIC,
    Ack,
    Bounds,
    Delta,
    Digest,
    FrameReader,
    MemberStatus,
    MemberUpdate,
    Message,
    MessageError,
    Nack,
    Ping,
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
    """Return the distinct member lists of all running members; each list includes its owner."""
    return {tuple(sorted([p.node.name, *(x.name for x in p.node.swim.active_members())]))
            for p in m.peers.values() if p.up}


def publish(peer: Peer, m: Mesh, subject: str = "w-1", value: float = 2.0) -> None:
    now = m._now(peer)
    peer.node.publish(now, [Observation(Topic.PACE, subject, 0, value, 20.0, now)])


def members_with_fact(m: Mesh, subject: str = "w-1") -> int:
    return sum(bool(list(p.node.knowledge.facts_for((Topic.PACE, subject))))
               for p in m.peers.values() if p.up)


def test_all_members_find_each_other_and_detect_a_death_despite_loss() -> None:
    m = mesh(20, loss=0.05)
    assert len(views(m)) == 1 and len(next(iter(views(m)))) == 20
    m.kill(m.peers["n7"])
    m.time.run_us(10 * S)
    assert len(views(m)) == 1 and "n7" not in next(iter(views(m)))
    assert {of for _, _, of in m.deaths} == {"n7"}


def test_thirty_percent_loss_causes_no_false_death() -> None:
    m = mesh(12, loss=0.3)
    m.time.run_us(60 * S)
    assert len(views(m)) == 1 and len(next(iter(views(m)))) == 12


def test_the_sides_of_a_healed_partition_rejoin_and_share_their_facts() -> None:
    m = mesh(10)
    m.partition([f"n{i}" for i in range(5)])
    m.time.run_us(20 * S)
    assert sorted(len(v) for v in views(m)) == [5, 5]
    publish(m.peers["n0"], m, "w-1")
    publish(m.peers["n9"], m, "w-2")
    m.time.run_us(3 * S)
    assert members_with_fact(m, "w-1") == members_with_fact(m, "w-2") == 5
    m.heal()
    m.time.run_us(30 * S)
    assert len(views(m)) == 1 and len(next(iter(views(m)))) == 10
    assert members_with_fact(m, "w-1") == members_with_fact(m, "w-2") == 10


def test_a_restarted_member_rejoins_although_its_incarnation_was_lost() -> None:
    m = mesh(6)
    for _ in range(3):  # its incarnation must exceed the one known from its death
        m.kill(m.peers["n2"])
        m.time.run_us(10 * S)
        assert "n2" not in next(iter(views(m)))
        m.add("n2", ["n0"])
        m.time.run_us(5 * S)
        assert len(views(m)) == 1 and "n2" in next(iter(views(m)))
    assert m.peers["n2"].node.swim.incarnation >= 1


def test_a_flapping_member_causes_no_other_death_and_few_origins() -> None:
    m = mesh(6)
    for _ in range(20):
        m.add("n3", ["n0", "n1"])
        publish(m.peers["n3"], m)
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


def test_a_member_that_leaves_is_removed_at_once_without_a_death() -> None:
    m = mesh(6)
    m._send(m.peers["n4"], m.peers["n4"].node.swim.leave())
    m.time.run_us(20_000)
    m.kill(m.peers["n4"])
    m.time.run_us(2 * S)
    assert len(views(m)) == 1 and "n4" not in next(iter(views(m))) and not m.deaths


def test_a_new_member_gets_all_facts_at_once_even_if_its_clock_is_wrong() -> None:
    m = mesh(5)
    for i in range(5):
        publish(m.peers[f"n{i}"], m, f"w-{i}")
    m.time.run_us(3 * S)
    new = m.add("late", ["n0", "n1", "n2", "n3"], clock_offset_us=-7200 * S)
    m.time.run_us(200_000)
    assert len(new.node.answered) == 3 and new.node.knowledge.count == 5
    now = m._now(new)
    assert all(now - 10 * S < f.observed_us <= now for k in new.node.knowledge.keys()
               for _, f in new.node.knowledge.facts_for(k))


def test_all_facts_arrive_within_the_send_rate() -> None:
    slow = NodeSettings(bytes_per_s=4 * 1024, burst_bytes=8 * 1024, initial_bytes=2 * 1024)
    m = mesh(4, settings=slow)
    now = m.time.now_us()
    for k in range(3):
        observations = [Observation(Topic.PACE, f"w-{k}-{i}", 0, 2.0, 20.0, now) for i in range(200)]
        m.peers["n0"].node.publish(now, observations)
    before = {n: p.sent_bytes for n, p in m.peers.items()}
    m.time.run_us(10 * S)
    assert max(p.sent_bytes - before[n] for n, p in m.peers.items()) < 10 * 10 * 1024
    m.time.run_us(60 * S)
    assert {p.node.knowledge.count for p in m.peers.values()} == {600}


def test_without_relaying_a_member_can_only_send_its_own_facts() -> None:
    m = mesh(4, settings=NodeSettings(relay=False))
    forger, target = m.peers["n1"], m.peers["n0"]
    forged = Batch(Origin("n2", 10**17), 1, [Fact(Topic.PACE, "w-9", 0, 9.0, 50.0, m.time.now_us(), 1)])
    m._send(forger, [("n0", "n0", Delta(m.time.now_us(), [forged]))])
    m.time.run_us(S)
    assert not list(target.node.knowledge.facts_for((Topic.PACE, "w-9")))
    publish(forger, m)
    m.time.run_us(5 * S)
    assert members_with_fact(m) == 4  # from its origin to each


def test_a_suspect_learns_of_its_suspicion_by_the_next_ping_and_refutes_it() -> None:
    m = mesh(4)
    p = m.peers["n0"].node.swim
    p._apply_updates(m.time.now_us(), [
        MemberUpdate("n1", "n1", p.members["n1"].incarnation, MemberStatus.SUSPECT, "n0")])
    assert p.members["n1"].status is MemberStatus.SUSPECT
    m.time.run_us(4 * S)
    assert p.members["n1"].status is MemberStatus.ALIVE and m.peers["n1"].node.swim.incarnation > 0
    assert not m.deaths


def test_local_health_worsens_without_nacks_and_recovers_with_acks() -> None:
    s = Swim("a", "a", SwimSettings(), Random(1))
    now = 0
    for name in "bcde":
        s.receive(now, name, Sync([MemberUpdate(name, name, 0, 0)], reply=False))
    for _ in range(12):  # disconnected: no message is answered
        now = s.due()
        s.tick(now)
    worst_health = s.local_health
    assert worst_health >= 4 and all(s._suspicion_us(n) > s.settings.period_us * 5 for n in s._suspected)
    for _ in range(60):  # reconnected: every ping is answered
        for name, _, message in s.tick(now := s.due()):
            if isinstance(message, Ping):
                s.receive(now, name, Ack(message.seq, [MemberUpdate(name, name, 1, 0)]))
    assert s.local_health == 0 and s.members["b"].status is MemberStatus.ALIVE


# Messages.


MESSAGES: list[Message] = [
    Ping(1, "a", [MemberUpdate("b", "b:1", 3, 1, "c")]), Ack(2), Nack(3),
    Sync([MemberUpdate("x", "y:2", 0, 0)]),
    Digest(5, 6, [(Origin("a", 1), 7)], urgent=True),
    Delta(8, [Batch(Origin("a", 1), 2, [Fact(1, "w", 0, 1.0, 2.0, 3, 1)])])]


def test_messages_are_decoded_from_chunks_of_any_size() -> None:
    data = b"".join(encode(m) for m in MESSAGES)
    for size in (1, 3, 7, 1000):
        r, messages = FrameReader(Bounds()), []
        for at in range(0, len(data), size):
            messages += r.feed(data[at : at + size])
        assert messages == MESSAGES and r.empty


def test_older_and_newer_versions_understand_each_other() -> None:
    def frame(value: object) -> bytes:
        body = msgspec.msgpack.encode(value)
        return HEADER.pack(MAGIC, 2, len(body)) + body

    r = FrameReader(Bounds())
    # One field too many, one too few, and an unknown kind of message.
    messages = r.feed(
        frame([1, 9, "a", [], "field of a newer version"]) + frame([2, 4]) + frame([77, {"new": 1}]))
    assert messages == [Ping(9, "a"), Ack(4)]


@pytest.mark.parametrize("data", [
    b"GET / HTTP/1.1\r\n", HEADER.pack(MAGIC, 1, 60_000_000), HEADER.pack(MAGIC, 0, 5) + b"xxxxx",
    HEADER.pack(MAGIC, 1, 3) + b"\xc1\xc1\xc1", encode(Sync([MemberUpdate("", "", 0, 0)])),
    encode(Sync([MemberUpdate("a", "a", -1, 0)])), encode(Sync([MemberUpdate("a", "a", 0, 9)])),
    encode(Ping(1, "a", [MemberUpdate("a", "a", 0, 0)] * 50))])
def test_invalid_frames_raise_a_message_error(data: bytes) -> None:
    with pytest.raises(MessageError):
        FrameReader(Bounds()).feed(data)


def test_corrupt_frames_raise_only_message_errors_and_keep_limits() -> None:
    rng, frames = Random(5), [encode(m) for m in MESSAGES]
    node = mesh(3).peers["n0"].node
    refused = delivered = 0
    for number in range(100_000):
        data = bytearray(rng.choice(frames))
        for _ in range(rng.randint(1, 4)):
            at, mutation = rng.randrange(len(data)), rng.random()
            if mutation < 0.6:
                data[at] = rng.randrange(256)
            elif mutation < 0.8:
                del data[at : at + rng.randint(1, 5)]
            else:
                data[at:at] = rng.randbytes(rng.randint(1, 6))
            if not data:
                data = bytearray(b"h")
        if rng.random() < 0.8 and len(data) > HEADER.size:  # with a valid header
            data[: HEADER.size] = HEADER.pack(MAGIC, 1, len(data) - HEADER.size)
        reader = FrameReader(Bounds())
        try:
            for message in reader.feed(bytes(data)):
                delivered += 1
                node.receive(10**15 + number, "n1", message)
        except MessageError:
            refused += 1
    assert refused > 10_000 and delivered > 10_000
    assert len(node.swim.members) < 4096 and node.knowledge.count < node.knowledge.settings.max_facts
    for key in node.knowledge.keys():
        assert len(key[1]) <= 512


@given(st.lists(st.tuples(st.sampled_from("bcd"), st.integers(0, 3), st.integers(0, 3)), max_size=40))
@STEADY
def test_an_update_never_overrides_a_higher_incarnation_or_status(
    updates: list[tuple[str, int, int]],
) -> None:
    s = Swim("a", "a", SwimSettings(), Random(1))
    best: dict[str, tuple[int, int]] = {}
    for name, incarnation, status in updates:
        s.receive(0, "z", Sync([MemberUpdate(name, name, incarnation, status)], reply=False))
        if name in best or status in (0, 1):
            best[name] = max(best.get(name, (-1, -1)), (incarnation, status))
    assert {n: (m.incarnation, int(m.status)) for n, m in s.members.items()} == best


def test_a_sync_of_a_thousand_members_with_the_longest_names_fits_in_a_frame() -> None:
    updates = [MemberUpdate(f"{n:0128}", "a" * 300, 1 << 40, 0, f"{n:0128}") for n in range(1024)]
    (message,) = FrameReader(Bounds()).feed(encode(Sync(updates)))
    assert message == Sync(updates)
    assert PeerLimits().write_buffer > len(encode(Sync(updates)))
