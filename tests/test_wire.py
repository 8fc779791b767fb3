"""The simulator's codec against the byte examples of the protocol's description; input that it rejects."""

import io
import struct

import pytest

from hazellead.decide import interface as api
from hazellead.sim import host as sim_host
from hazellead.sim import wire

LAYOUT = wire.ReportLayout(["latency_ms", "inflight", "x0"], "free_slots")
SETTINGS = """siblings=2
tickUs=4000
caps.maxAttempts=3
requestClasses.count=1
requestClasses.0.aimUs=100000
requestClasses.0.hardLimitUs=5000000
requestClasses.0.effect=free
some.new.key=kept_out
"""


def decode(count: int, text: str) -> list[tuple[int, object]]:
    return list(wire.decode(count, bytes.fromhex(text), {3: LAYOUT}))


def test_submit_timer_and_abandoned_example() -> None:
    events = decode(
        5,
        "0b0003 02000ab3205d3a91c4000000000091f03b7c55d20a640003a98000002ee0400000000000000001"
        "06000000000000004d 0b0005 050005851b0e6f2b19",
    )
    assert events == [
        (3, api.Arrival(0x000AB3205D3A91C4, 0, 240000, 0, 2.0, 12000)),
        (3, api.TimerFired(0x4D)),
        (5, api.Abandoned(0x0005851B0E6F2B19)),
    ]


def test_list_example() -> None:
    ((_, listed),) = decode(
        2,
        "0b0003 01000000290200000002 0a124a071b5b000000000001 3f800000 0000000000000000"
        "0a9011f21b84000100000001 3fc00000 00000000005d1420",
    )
    assert isinstance(listed, api.WorkerList) and listed.kind is api.ListKind.CACHED
    assert [e.worker for e in listed.entries] == [0x0A124A071B5B, 0x0A9011F21B84]
    assert listed.entries[1].zone == 1 and listed.entries[1].weight == 1.5 and (
        listed.entries[1].started_us == 0x5D1420)
    assert {e.phase for e in listed.entries} == {api.Phase.READY}


def test_attempt_end_example() -> None:
    ((_, ended),) = decode(
        2, "0b0003 04000ab3205d3a91c400000a124a071b5b000000484401000000000341680000 40e000003ecccccd"
    )
    assert isinstance(ended, api.AttemptEnded)
    assert ended.outcome is api.Outcome.SERVED and ended.complete and ended.spent_us == 0x4844
    assert ended.report is not None and ended.report.inflight == 7 and (
        ended.report.free_slots == pytest.approx(0.4))


def test_reply_example() -> None:
    worker = wire.worker_id(0x0A124A07, 0x1B5B)
    reply = wire.reply(
        12,
        [
            wire.instance_record(3),
            wire.encode(api.Push(0x000AB3205D3A91C4, worker, 0x13880)),
            wire.encode(api.SetTimer(500000, 0x4D)),
            wire.instance_record(5),
            wire.encode(api.Log("two servers known")),
        ],
    )
    assert reply.hex() == (
        "0000000c000000050000003a0c000300000ab3205d3a91c40a124a071b5b00013880"
        "040007a120000000000000004d0c0005080011" + b"two servers known".hex()
    )


def test_release_has_code_6_and_connection_settings_are_read() -> None:
    assert wire.encode(api.Release(wire.worker_id(0x0A124A07, 0x1B5B))).hex() == "060a124a071b5b"
    parsed = wire.settings(SETTINGS + "invariants.releaseWithinUs=800000\ncaps.connIdleUs=5000000\n")
    assert (parsed.release_within_us, parsed.conn_idle_us) == (800_000, 5_000_000)
    assert wire.settings(SETTINGS).release_within_us == 0


def test_settings_of_drains_and_reports_are_read() -> None:
    parsed = wire.settings(SETTINGS + "invariants.drainBindsAlone=true\nreport.via=silent\n")
    assert parsed.drain_binds_alone and not parsed.reports
    assert not wire.settings(SETTINGS).drain_binds_alone and wire.settings(SETTINGS).reports


def batch(number: int, records: list[bytes], now: int = 1000) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIIQ", number, len(records), 8 + len(body), now) + body


def start(instance: int, settings: str = SETTINGS) -> list[bytes]:
    text = settings.encode()
    return [struct.pack(">BH", 11, instance),
            struct.pack(">BQI", 0, 9, len(text)) + text,
            struct.pack(">BIBI", 1, 1, 2, 1) + struct.pack(">IHHBHBfQ", 1, 1, 0, 0, 0, 1, 1.0, 0)]


def serve(data: bytes) -> bytes:
    sink = io.BytesIO()
    sim_host.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def test_empty_batch_example() -> None:
    empty = bytes.fromhex("0000000100000000000000080000000000805c5a")
    assert serve(empty).hex() == "000000010000000000000000"


def test_a_request_is_pushed_through_the_host() -> None:
    submit = struct.pack(">BQBIQIIffB", 2, 77, 0, 0, 0, 5_000_000, 0, 1.0, 0.0, 0)
    out = serve(batch(1, [*start(4), submit]))
    number, count, length = struct.unpack_from(">III", out)
    assert (number, length) == (1, len(out) - 12) and count >= 2
    assert out[12:15] == wire.instance_record(4)
    assert wire.encode(api.Push(77, wire.worker_id(1, 1))) in out


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\0\0", "truncated batch header"),
        (struct.pack(">IIIQ", 1, 0, 4, 0), "impossible batch length"),
        (struct.pack(">IIIQ", 1, 1, 20, 0) + b"\x0b", "truncated batch"),
        (batch(1, [struct.pack(">BH", 11, 1), b"\x63"]), "unknown record code 99"),
        (batch(1, [struct.pack(">BH", 11, 1), b"\x05\0"]), "truncated record"),
        (batch(1, [b"\x05" + bytes(8)]), "before any FOR"),
        (batch(1, start(1, "tickUs=1\n")), "missing setting: requestClasses.count"),
        (batch(1, start(1, SETTINGS.replace("=free", "=odd"))), "bad setting: requestClasses.0.effect"),
        (batch(1, start(1, SETTINGS.replace("siblings=2", "siblings=x"))), "bad setting: siblings=x"),
        (batch(1, start(1, SETTINGS + "invariants.releaseWithinUs=soon\n")),
         "bad setting: invariants.releaseWithinUs=soon"),
        (batch(1, start(1, SETTINGS + "invariants.drainBindsAlone=yes\n")),
         "bad setting: invariants.drainBindsAlone=yes"),
        (batch(1, start(1, SETTINGS + "invariants.releaseWithinUs=-1\n")),
         "impossible setting: release_within_us"),
        (batch(1, start(1, SETTINGS.replace("aimUs=100000", "aimUs=-1"))),
         "impossible setting: classes.aim_us"),
    ],
)
def test_malformed_input_ends_with_one_plain_message(
    data: bytes, message: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    sink = io.BytesIO()
    monkeypatch.setattr("sys.stdin", io.TextIOWrapper(io.BytesIO(data)))
    monkeypatch.setattr("sys.stdout", io.TextIOWrapper(sink))
    assert sim_host.main() == 2
    err = capsys.readouterr().err
    assert message in err and err.count("\n") == 1
    assert sink.getvalue() == b""


def test_an_exception_in_a_decision_is_reported_as_fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_handle(*_: object) -> list[api.Action]:
        raise KeyError("a missing key")

    monkeypatch.setattr("hazellead.decide.dispatcher.Dispatcher.handle", failing_handle)
    out = serve(batch(1, start(2)))
    assert b"KeyError: 'a missing key'" in out and out[12:15] == wire.instance_record(2) and out[15] == 9
