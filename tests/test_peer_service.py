"""Peer service on real sockets: TLS, name policy, key reload, misbehaving peers and the whole program."""

import asyncio
import signal
import ssl
import sys
import time
import tomllib
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import pytest
import trustme
from helpers import BASE
from loopback import ROOT, HttpWorker, free_port, http_post, run, until
from test_program import HEADERS

from hazellead.core.clock import Clock
from hazellead.decide import interface as api
from hazellead.decide.estimates import Estimate, SharedEstimates, WorkerEstimates
from hazellead.learning.conversion import Names
from hazellead.learning.facts import Topic
from hazellead.operator_config import load
from hazellead.peers.config import PeersConfig, read
from hazellead.peers.messages import HEADER, MAGIC, Hello, encode
from hazellead.peers.service import PeerService
from hazellead.peers.transport import PeerLimits
from hazellead.platform.config import ConfigError

CA, FOREIGN = trustme.CA(), trustme.CA()
NAMES = Names(("a", "b", "c"), ("t1", "t2"))
QUICK = PeerLimits(hello=timedelta(milliseconds=300), stall=timedelta(milliseconds=300))


def keys(folder: Path, name: str, ca: trustme.CA = CA, **more: Any) -> dict[str, str]:
    """Write an instance's certificate and key; return its ``[peers.tls]`` table."""
    issued = ca.issue_cert(name, **more)
    issued.private_key_pem.write_to_path(folder / f"{name}.key")
    (folder / f"{name}.pem").write_bytes(b"".join(p.bytes() for p in issued.cert_chain_pems))
    CA.cert_pem.write_to_path(folder / "ca.pem")
    return {"ca": "ca.pem", "cert": f"{name}.pem", "key": f"{name}.key"}


class Learner:
    """Fake scheduler: exports one worker's pace (none if ``pace`` is None) and records adopted estimates."""

    settings = replace(BASE, reports=False)

    def __init__(self, pace: float | None) -> None:
        self.pace, self.learned = pace, list[SharedEstimates]()

    def export_estimates(self) -> SharedEstimates:
        if self.pace is None:
            return SharedEstimates()
        now = Clock().now_us()
        return SharedEstimates((WorkerEstimates(1, 0, pace=Estimate(self.pace, 40, now)),))

    def adopt_estimates(self, estimates: SharedEstimates) -> None:
        self.learned.append(estimates)

    @property
    def workers(self) -> tuple[api.WorkerEntry, ...]:
        return (api.WorkerEntry(1),)

    def worker_name(self, worker: int) -> str:
        return f"w-{worker}"


def config(folder: Path, name: str, port: int, seeds: list[int], **more: Any) -> PeersConfig:
    table = {"peers": {"listen": f"127.0.0.1:{port}", "seeds": [f"127.0.0.1:{p}" for p in seeds],
                       "names": "n*", "tls": keys(folder, name), **more.pop("peers", {})},
             "learning": {"every_ms": 50}, **more}
    return read(table, folder, name)


@asynccontextmanager
async def instance(
    peers_config: PeersConfig, pace: float | None = None, limits: PeerLimits = QUICK,
) -> AsyncIterator[tuple[PeerService, Learner]]:
    learner = Learner(pace)
    service = PeerService(peers_config, learner, NAMES, Clock(), limits)
    await service.start()
    try:
        yield service, learner
    finally:
        await service.stop()


def pace_of(learner: Learner) -> float:
    return learner.learned[-1].workers[0].pace.value if learner.learned else 0.0


def test_a_restarted_instance_has_the_facts_of_its_peers_at_its_start(tmp_path: Path) -> None:
    async def case() -> None:
        ports = [free_port() for _ in range(5)]
        four = [config(tmp_path, f"n{i}", ports[i], ports[:i]) for i in range(4)]
        async with instance(four[0], 2.0) as (a, _), instance(four[1], 2.0), instance(four[2], 2.0), \
                instance(four[3], 2.0) as (d, _):
            await until(lambda: a.node.swim.size == d.node.swim.size == 4)
            await until(lambda: d.node.knowledge.count >= 4)
            for _ in range(3):
                began = time.monotonic()
                async with instance(config(tmp_path, "n4", ports[4], ports[:4])) as (new, learner):
                    assert time.monotonic() - began < 0.6  # 0.3 s plus delay on a busy machine
                    assert len(new.node.answered) >= 1 and pace_of(learner) > 1.5
                await until(lambda: a.node.swim.size == 4)  # it has left

    run(case())


def test_unresponsive_peers_delay_a_start_by_at_most_the_set_time(tmp_path: Path) -> None:
    async def case() -> None:
        silent = await asyncio.start_server(lambda r, w: asyncio.sleep(30), "127.0.0.1", port := free_port())
        began = time.monotonic()
        async with instance(config(tmp_path, "n1", free_port(), [port, free_port()])):
            assert 0.25 < time.monotonic() - began < 0.6
        began = time.monotonic()
        async with instance(config(tmp_path, "n1", free_port(), [free_port(), free_port()])):
            assert time.monotonic() - began < 0.25  # all refuse the connection: no wait
        silent.close()

    run(case())


async def connect_and_send(
    port: int, context: ssl.SSLContext | None, *data: bytes, timeout: float = 1.5,
) -> bytes:
    """Connect, send ``data`` and return the bytes received until the other side closes the connection.

    Raises TimeoutError if it does not close it in time.
    """
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
        for part in data:
            writer.write(part)
        received = await asyncio.wait_for(reader.read(-1), timeout)
        writer.close()
        return received
    except (ConnectionError, ssl.SSLError):
        return b""


def context(folder: Path, name: str, ca: trustme.CA = CA, **more: Any) -> ssl.SSLContext:
    c = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    c.check_hostname = False
    CA.configure_trust(c)
    ca.issue_cert(name, **more).configure_cert(c)
    return c


def test_unauthenticated_connections_get_nothing_and_are_closed(tmp_path: Path) -> None:
    async def case() -> None:
        port = free_port()
        past = datetime.now(UTC) - timedelta(days=1)
        without_certificate = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        without_certificate.check_hostname = False
        CA.configure_trust(without_certificate)
        hello = encode(Hello("n9", "127.0.0.1:1", "hazellead"))
        tls_1_2 = context(tmp_path, "n9")
        tls_1_2.maximum_version = ssl.TLSVersion.TLSv1_2
        async with instance(config(tmp_path, "n1", port, []), 2.0) as (service, _):
            for client_context in (None, without_certificate, context(tmp_path, "n9", FOREIGN), tls_1_2,
                                   context(tmp_path, "n9", not_after=past)):
                assert await connect_and_send(port, client_context, hello) in (b"", encode(Hello(
                    "n1", f"127.0.0.1:{port}", "hazellead")))
            own_hello = encode(Hello("n1", f"127.0.0.1:{port}", "hazellead"))
            for data in (encode(Hello("n8", "x:1", "hazellead")), encode(Hello("n9", "x:1", "other")),
                         HEADER.pack(MAGIC, 1, 60_000_000) + b"x" * 100_000, b"GET / HTTP/1.1\r\n\r\n", b""):
                # A reset connection counts as no bytes.
                assert await connect_and_send(port, context(tmp_path, "n9"), data) in (own_hello, b"")
            not_allowed = encode(Hello("x9", "x:1", "hazellead"))
            assert await connect_and_send(port, context(tmp_path, "x9"), not_allowed) == own_hello
            assert not service.node.swim.members and not service.transport.connected  # type: ignore[union-attr]
            assert service.transport.refused >= 10  # type: ignore[union-attr]

    run(case())


def test_a_member_that_floods_stalls_or_sends_garbage_does_not_affect_others(tmp_path: Path) -> None:
    async def case() -> None:
        a, b = free_port(), free_port()
        hello = encode(Hello("n9", "127.0.0.1:1", "hazellead"))
        async with instance(config(tmp_path, "n1", a, []), 2.0) as (one, _), \
                instance(config(tmp_path, "n2", b, [a])) as (two, learner):
            await until(lambda: one.node.swim.size == 2 and two.node.knowledge.count)
            for data in (HEADER.pack(MAGIC, 1, 1000) + b"x" * 10, HEADER.pack(MAGIC, 1, 60_000_000),
                         HEADER.pack(MAGIC, 1, 4) + b"\xc1" * 4, hello):
                await connect_and_send(a, context(tmp_path, "n9"), hello, data)  # closed: no timeout
            from hazellead.peers.messages import Nack
            with pytest.raises(TimeoutError):  # read at the limited rate, not closed
                await connect_and_send(
                    a, context(tmp_path, "n9"), hello, encode(Nack(1)) * 20_000, timeout=1.0)
            began = asyncio.get_running_loop().time()
            await asyncio.sleep(0.01)
            assert asyncio.get_running_loop().time() - began < 0.2  # the event loop is not blocked
            assert one.node.swim.size == 2 and pace_of(learner) > 1.2

    run(case())


def test_keys_are_reloaded_without_closing_connections_and_bad_keys_are_refused(tmp_path: Path) -> None:
    async def case() -> None:
        a, b = free_port(), free_port()
        n1_config = config(tmp_path, "n1", a, [])
        async with instance(n1_config, 2.0) as (one, _), instance(config(tmp_path, "n2", b, [a])) as (two, _):
            await until(lambda: one.transport.connected == ["n2"])  # type: ignore[union-attr]
            connection = one.transport._open["n2"]  # type: ignore[union-attr]
            before, soon = one.keys, datetime.now(UTC) + timedelta(days=2)
            keys(tmp_path, "n1", not_after=soon)
            assert one.prepare(n1_config)() == []
            assert one.keys is not before and one.keys and one.keys.expires < soon + timedelta(seconds=1)
            current_keys = one.keys
            for damage in ("expired", "garbled", "missing"):
                if damage == "expired":
                    keys(tmp_path, "n1", not_after=datetime.now(UTC) - timedelta(hours=1))
                elif damage == "garbled":
                    (tmp_path / "n1.pem").write_text("x")
                else:
                    (tmp_path / "n1.pem").unlink()
                with pytest.raises(ConfigError, match="peers.tls"):
                    one.prepare(n1_config)
                assert one.keys is current_keys
            assert one.transport._open["n2"] is connection and not connection.closed  # type: ignore[union-attr]
            keys(tmp_path, "n1")
            policy = replace(n1_config.policy, pattern="", listed=frozenset({"n1"}))
            one.prepare(replace(n1_config, policy=policy))()
            assert connection.closed

    run(case())


def test_a_snapshot_is_used_if_no_peer_answers(tmp_path: Path) -> None:
    async def case() -> None:
        more = {"snapshot": {"path": "snap", "every_s": 1}}
        async with instance(config(tmp_path, "n1", free_port(), [], **more), 2.0):
            await asyncio.sleep(0.15)
        (tmp_path / "snap.1.tmp").write_bytes(b"left by a write that was killed")
        async with instance(config(tmp_path, "n1", free_port(), [free_port()], **more)) as (one, learner):
            assert pace_of(learner) > 1.5
            origins = {o.started_us for o, _ in one.node.knowledge.facts_for((Topic.PACE, "w-1"))}
            assert one.node.knowledge.own_origin.started_us not in origins  # an earlier run is another origin
        (tmp_path / "snap").write_bytes((tmp_path / "snap").read_bytes()[:-3])
        async with instance(config(tmp_path, "n1", free_port(), [], **more)) as (_, learner):
            assert not pace_of(learner) or pace_of(learner) == 1.0

    run(case())


@pytest.mark.parametrize(("change", "reason"), [
    ({"peers": {"lisen": "x"}}, "peers: object contains unknown field `lisen`"),
    ({"peers": {"ping_ms": "5s"}}, "peers.ping_ms: expected `int`"),
    ({"peers": {"ping_ms": 5}}, "peers.ping_ms: expected `int` >= 100"),
    ({"peers": {"ping_timeout_ms": 400}}, "peers.ping_timeout_ms: is at most half"),
    ({"peers": {"seeds": ["nowhere"]}}, "peers.seeds[0] is not an address"),
    ({"peers": {"names": "x*"}}, "this instance's name"),
    ({"peers": {"names": ""}}, "peers: members or names"),
    ({"learning": {"clamp": 0.5}}, "learning.clamp: expected `float` > 1.0"),
    ({"learning": {"half_lives_s": {"speed": 1}}}, "learning.half_lives_s.speed: is none of pace"),
    ({"snapshot": {"every_s": 1}}, "snapshot: object missing required field `path`")])
def test_an_invalid_setting_gives_a_one_line_error_that_names_the_key(
    tmp_path: Path, change: dict[str, Any], reason: str,
) -> None:
    with pytest.raises(ConfigError) as error:
        config(tmp_path, "n1", 1234, [], **change)
    assert reason in str(error.value) and "\n" not in str(error.value)


def write_operator_config(
    folder: Path, name: str, http: int, peer: int, seeds: list[int], inventory: str,
) -> Path:
    """Write a configuration file from the samples, with Gearman and its inventory as worker list."""
    keys(folder, name)
    (folder / "inventory.csv").write_text("name,address,protocol,zone,model,state\n" + inventory)
    text = (ROOT / "deploy/gearman.toml").read_text()
    sample = tomllib.loads((ROOT / "deploy/peers.toml").read_text())
    assert set(sample) - {"settings"} == {
        "name", "listen", "discovery", "limits", "peers", "learning", "snapshot"}
    text = text.replace("127.0.0.1:8080", f"127.0.0.1:{http}").replace(
        "127.0.0.1:4730", f"127.0.0.1:{free_port()}").replace('"gearman-1"', f'"{name}"')
    text = 'seed = "8c1f"\n' + text
    text += (f'\n[peers]\nlisten = "127.0.0.1:{peer}"\nnames = "n*"\n'
             f'seeds = {[f"127.0.0.1:{p}" for p in seeds]}\n'
             f'[peers.tls]\nca = "ca.pem"\ncert = "{name}.pem"\nkey = "{name}.key"\n'
             f'[snapshot]\npath = "{name}.snap"\n')
    (folder / f"{name}.toml").write_text(text)
    return folder / f"{name}.toml"


def test_the_program_exchanges_facts_reloads_keys_and_leaves_with_jobs_in_flight(tmp_path: Path) -> None:
    async def case() -> None:
        https, peers, count = [free_port(), free_port()], [free_port(), free_port()], Counter[bytes]()
        worker = HttpWorker("post-3", count, lambda: https[0])
        worker.states = [{"state": "started"}]
        async with worker.serving():
            line = f"post-3,127.0.0.1:{worker.port},http,tartu-dc,mid-3c,up\n"
            files = [write_operator_config(tmp_path, f"n{i}", https[i], peers[i], peers[:i], line)
                     for i in (0, 1)]
            programs = []
            for file in files:
                p = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "hazellead", str(file), cwd=ROOT, stderr=asyncio.subprocess.PIPE)
                programs.append(p)
                assert p.stderr
                while b"event=ready" not in (received := await p.stderr.readline()):
                    assert received, "ended"
            response = asyncio.ensure_future(http_post(https[0], "/post-payment", b"a", HEADERS.format("1")))
            await until(lambda: count[b"a"])
            first = programs[0].stderr
            assert first
            for break_key, event in ((True, b"config_kept"), (False, b"config_read")):
                keys(tmp_path, "n0")
                if break_key:
                    (tmp_path / "n0.key").write_text("no key")
                programs[0].send_signal(signal.SIGHUP)
                while event not in (received := await first.readline()):
                    assert received, "ended"
            assert await worker.call_back("1", state="done", result="r") == 200
            assert (await response)[::2] == (200, b"r")
            for p in programs:
                p.send_signal(signal.SIGTERM)
            rest = [await p.communicate() for p in programs]
            assert [p.returncode for p in programs] == [0, 0]
            assert b"peer_alive" in rest[0][1] + rest[1][1] or b"peer_left" in rest[0][1] + rest[1][1]
            assert (tmp_path / "n0.snap").stat().st_size > 20

    run(case())


def test_the_sample_configuration_is_valid(tmp_path: Path) -> None:
    text = (ROOT / "deploy/peers.toml").read_text()
    (tmp_path / "peers.toml").write_text(text)
    loaded = load(tmp_path / "peers.toml", {})
    assert loaded.peers and not loaded.gearman and loaded.peers.node.bytes_per_s == 32 * 1024
    (tmp_path / "peers.toml").write_text("serach = 1\n" + text)
    with pytest.raises(ConfigError, match="serach: unknown key"):
        load(tmp_path / "peers.toml", {})
