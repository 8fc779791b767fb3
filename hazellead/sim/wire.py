"""Binary codec of the simulator's protocol: batches of events in, replies with actions out.

Batches and replies consist of a header and records. Each record starts with its code in one byte. The records
of an instance, that is of one dispatcher, follow a record that names it. Integers are big-endian.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

from hazellead.decide.interface import (
    GROUPS,
    UNKNOWN_GROUP,
    Abandoned,
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    FetchList,
    JobBegan,
    JobClass,
    ListKind,
    Location,
    Log,
    Outcome,
    PeerMessage,
    Phase,
    Probe,
    ProbeEnded,
    Push,
    Refuse,
    Release,
    Report,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerFired,
    WorkerEntry,
    WorkerList,
)

BATCH_HEADER = struct.Struct(">IIIQ")  # batch number, record count, length of clock and body, clock in us
REPLY_HEADER = struct.Struct(">III")  # batch number, record count, length of the body
CLOCK_BYTES = 8  # size of the clock, which is part of a batch's header but counts in its length
MAX_BYTES = 1 << 28  # longest batch accepted

_INSTANCE = struct.Struct(">H")
_START = struct.Struct(">QI")
_LIST_HEADER = struct.Struct(">IBI")
_LIST_ENTRY = struct.Struct(">IHHBHBfQ")
_ARRIVAL = struct.Struct(">QBIQIIffB")
_JOB_BEGAN = struct.Struct(">QIHIH")
_ATTEMPT_ENDED = struct.Struct(">QHIHBIBI")
_UINT64 = struct.Struct(">Q")
_PROBE_ENDED = struct.Struct(">IHBI")
_PEER_MESSAGE = struct.Struct(">IH")
_JOB_RUNNING = struct.Struct(">QIHHBf")
_PUSH = struct.Struct(">BQIHI")
_REFUSE = struct.Struct(">BQI")
_FAIL = struct.Struct(">BQ")
_CANCEL = struct.Struct(">BQH")
_SET_TIMER = struct.Struct(">BIQ")
_WORKER = struct.Struct(">BIH")  # of a probe and a release: code and worker
_TEXT = struct.Struct(">BH")

_OUTCOMES = {
    0: Outcome.SERVED,
    255: Outcome.ERROR,
    254: Outcome.FULL,
    253: Outcome.TIMED_OUT,
    252: Outcome.CONNECT_FAILED,
    251: Outcome.RESET,
    250: Outcome.CANCELLED,
    249: Outcome.MOOT,
}
_LIST_KINDS = {0: ListKind.CHANGES, 1: ListKind.FULL, 2: ListKind.CACHED, 3: ListKind.FAILED}
_PHASES = {0: Phase.GONE, 1: Phase.READY, 2: Phase.DRAINING}
_EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}


_T = TypeVar("_T")


class WireError(ValueError):
    """A frame or a setting that the protocol does not allow."""


@dataclass(slots=True)
class Started:
    """An instance starts, with its seed and the text of its settings."""

    seed: int
    settings_text: str


@dataclass(slots=True)
class Stopped:
    """An instance has been killed."""


class Reader:
    """A cursor over the bytes of one body; reading past the end raises WireError."""

    def __init__(self, data: bytes) -> None:
        """Start at the first byte."""
        self.data = data
        self.position = 0

    def take(self, structure: struct.Struct) -> tuple[int, ...]:
        """Unpack one structure; its float fields come back as floats."""
        if self.position + structure.size > len(self.data):
            raise WireError("truncated record")
        values = structure.unpack_from(self.data, self.position)
        self.position += structure.size
        return values

    def bytes(self, count: int) -> bytes:
        """Take ``count`` bytes."""
        if self.position + count > len(self.data):
            raise WireError("truncated record")
        self.position += count
        return self.data[self.position - count : self.position]

    def byte(self) -> int:
        """Take one byte."""
        return self.bytes(1)[0]

    def floats(self) -> tuple[float, ...]:
        """Take a one-byte count and as many 32-bit floats."""
        count = self.byte()
        return struct.unpack(f">{count}f", self.bytes(4 * count))


def worker_id(address: int, port: int) -> int:
    """Fold a worker's address and port into one integer."""
    return address << 16 | port


def _lookup(table: dict[int, _T], code: int, name: str) -> _T:
    if code not in table:
        raise WireError(f"unknown {name} {code}")
    return table[code]


class ReportLayout:
    """The positions of the known figures (free slots, in flight, queue) in a load report."""

    def __init__(self, fields: list[str], x0: str) -> None:
        """Take the names of the report's fields, and which figure the field "x0" stands for."""
        names = ["free_slots" if f == "x0" and x0 == "free_slots" else f for f in fields]
        self.positions = [names.index(n) if n in names else -1 for n in ("free_slots", "inflight", "queue")]

    def read(self, values: tuple[float, ...]) -> Report | None:
        """Convert a report's values; return None if there are none."""
        if not values:
            return None
        return Report(*(values[p] if 0 <= p < len(values) else None for p in self.positions))


def pairs(settings_text: str) -> dict[str, str]:
    """Return the lines "key=value" of the settings' text as a dict."""
    return dict(line.split("=", 1) for line in settings_text.splitlines() if "=" in line)


def report_layout(settings_text: str) -> ReportLayout:
    """Read the layout of load reports from the settings."""
    table = pairs(settings_text)
    return ReportLayout(table.get("report.fields", "").split(","), table.get("specifics.reportX0", ""))


def settings(settings_text: str) -> Settings:
    """Parse the settings; raise WireError with the key at fault if one is missing or malformed."""
    table = pairs(settings_text)

    def need(key: str) -> str:
        if key not in table:
            raise WireError(f"missing setting: {key}")
        return table[key]

    def number(key: str, default: float | None = None) -> float:
        text = need(key) if default is None else table.get(key, str(default))
        try:
            return float(text)
        except ValueError:
            raise WireError(f"bad setting: {key}={text}") from None

    def flag(key: str) -> bool:
        if (text := table.get(key, "false")) not in ("true", "false"):
            raise WireError(f"bad setting: {key}={text}")
        return text == "true"

    def per_class(key: str, default: float) -> list[float]:
        items = [item for item in table.get(key, "").split(",") if item]
        try:
            return [float(item) for item in items] + [default] * classes
        except ValueError:
            raise WireError(f"bad setting: {key}") from None

    classes = int(number("requestClasses.count"))
    kinds = per_class("specifics.classKind", -1)
    stretches = per_class("specifics.classStretch", 0)
    job_classes = []
    for i in range(classes):
        at = f"requestClasses.{i}."
        effect = need(at + "effect")
        if effect not in _EFFECTS:
            raise WireError(f"bad setting: {at}effect={effect}")
        if (group := table.get(at + "group")) not in (None, *GROUPS):
            raise WireError(f"bad setting: {at}group={group}")
        job_classes.append(
            JobClass(
                aim_us=int(number(at + "aimUs")),
                deadline_us=int(number(at + "hardLimitUs")),
                effect=_EFFECTS[effect],
                group=UNKNOWN_GROUP if group is None else group,
                key_ttl_us=int(number(at + "keyTtlUs", 0)),
                stretch=max(stretches[i], number(at + "aimStretch", 0)),
                late_worth=number(at + "lateWorth", 0),
                worth=number(at + "importance", 1),
                kind=int(kinds[i]),
            )
        )
    tenants = tuple(
        Tenant(number(f"tenants.{i}.portion", 0), number(f"tenants.{i}.quotaPerS", 0))
        for i in range(int(number("tenants.count", 0)))
    )
    return Settings(
        classes=tuple(job_classes),
        tenants=tenants,
        dispatchers=int(number("siblings")),
        number=int(number("myNumber", 0)),
        zone=int(number("zone", 0)),
        tick_us=int(number("tickUs")),
        max_attempts=int(number("caps.maxAttempts")),
        may_duplicate=flag("caps.mayDuplicate"),
        may_probe=flag("caps.probes"),
        may_cancel=flag("caps.cancelling"),
        reports=table.get("report.via") != "silent",
        reports_by_probe=table.get("report.via") == "pull",
        tells_start=flag("specifics.tellsStart"),
        must_ask=table.get("membershipMode") == "subscribe",
        ask_within_us=int(number("invariants.askWithinUs", 10_000_000)),
        connect_timeout_us=int(number("caps.connectTimeoutUs", 250_000)),
        max_retry_after_us=int(number("caps.maxRetryAfterUs", 0)),
        cold_from=number("invariants.coldFrom", 1),
        warm_up_us=int(number("invariants.warmUpUs", 0)),
        fall_multiple=number("invariants.fallMultiple", 1),
        fall_us=int(number("invariants.fallUs", 1_000_000)),
        probe_price=number("prices.probe", 0),
        cross_zone_price=number("prices.crossZone", 0),
        handshake_price=number("prices.handshake", 0),
        conn_idle_us=int(number("caps.connIdleUs", 10_000_000)),
        release_within_us=int(number("invariants.releaseWithinUs", 0)),
        drain_grace_us=int(number("invariants.drainGraceUs", 400_000)),
        drain_binds_alone=flag("invariants.drainBindsAlone"),
    )


def _worker_list(reader: Reader) -> WorkerList:
    _, list_kind, count = reader.take(_LIST_HEADER)
    entries = []
    for _ in range(count):
        address, port, zone, kind, cell, phase, weight, started_us = reader.take(_LIST_ENTRY)
        entries.append(
            WorkerEntry(
                worker_id(address, port), zone, kind, Location(str(zone), str(cell)),
                _lookup(_PHASES, phase, "lifecycle"), weight, started_us,
            )
        )
    return WorkerList(_lookup(_LIST_KINDS, list_kind, "list kind"), tuple(entries))


def decode(
    count: int, body: bytes, layouts: dict[int, ReportLayout]
) -> Iterator[tuple[int, Event | Started | Stopped]]:
    """Decode a batch's records to pairs of instance and event.

    ``layouts`` holds the layout of load reports by instance; each start of an instance sets its own.
    Raises WireError where a record is malformed.
    """
    reader = Reader(body)
    instance = -1
    for _ in range(count):
        code = reader.byte()
        if code == 11:
            (instance,) = reader.take(_INSTANCE)
            continue
        if instance < 0:
            raise WireError("a record stands before any FOR")
        event: Event | Started | Stopped | None = None
        if code == 0:
            seed, length = reader.take(_START)
            try:
                settings_text = reader.bytes(length).decode()
            except UnicodeDecodeError:
                raise WireError("settings are not UTF-8") from None
            layouts[instance] = report_layout(settings_text)
            event = Started(seed, settings_text)
        elif code == 1:
            event = _worker_list(reader)
        elif code == 2:
            request, job_class, tenant, _, remaining_us, hint_us, slots, _, flags = reader.take(_ARRIVAL)
            event = Arrival(
                request, job_class, remaining_us, tenant, slots or 1.0, hint_us if flags & 1 else 0)
        elif code == 3:
            request, _, attempt, address, port = reader.take(_JOB_BEGAN)
            event = JobBegan(request, attempt, worker_id(address, port))
        elif code == 4:
            request, attempt, address, port, outcome_code, spent_us, complete, _ = reader.take(_ATTEMPT_ENDED)
            report = layouts[instance].read(reader.floats()) if instance in layouts else None
            outcome = _lookup(_OUTCOMES, outcome_code, "outcome")
            event = AttemptEnded(
                request, attempt, worker_id(address, port), outcome, spent_us, bool(complete), report
            )
        elif code == 5:
            event = Abandoned(reader.take(_UINT64)[0])
        elif code == 6:
            event = TimerFired(reader.take(_UINT64)[0])
        elif code == 7:
            address, port, outcome_code, _ = reader.take(_PROBE_ENDED)
            report = layouts[instance].read(reader.floats()) if instance in layouts else None
            event = ProbeEnded(worker_id(address, port), _lookup(_OUTCOMES, outcome_code, "outcome"), report)
        elif code == 8:
            sender, length = reader.take(_PEER_MESSAGE)
            event = PeerMessage(sender, reader.bytes(length))
        elif code == 9:
            event = Stopped()
        elif code == 10:
            request, address, port, attempt, _, _ = reader.take(_JOB_RUNNING)
            event = JobBegan(request, attempt, worker_id(address, port))
        else:
            raise WireError(f"unknown record code {code}")
        yield instance, event
    if reader.position != len(body):
        raise WireError(f"{len(body) - reader.position} bytes follow the last record")


def instance_record(instance: int) -> bytes:
    """Encode the record that names the instance whose actions follow."""
    return struct.pack(">BH", 12, instance)


def text_record(code: int, text: str) -> bytes:
    """Encode a log line (code 8) or a fatal message (code 9), cut to what its length field can hold."""
    data = text.encode()[:65535]
    return _TEXT.pack(code, len(data)) + data


def encode(action: Action) -> bytes:
    """Encode one action as a record."""
    if isinstance(action, Push):
        return _PUSH.pack(
            0, action.request, action.worker >> 16, action.worker & 0xFFFF, action.timeout_us
        )
    if isinstance(action, Refuse):
        return _REFUSE.pack(1, action.request, action.retry_after_us)
    if isinstance(action, Fail):
        return _FAIL.pack(2, action.request)
    if isinstance(action, Cancel):
        return _CANCEL.pack(3, action.request, action.attempt)
    if isinstance(action, SetTimer):
        return _SET_TIMER.pack(4, action.after_us, action.token)
    if isinstance(action, Probe):
        return _WORKER.pack(5, action.worker >> 16, action.worker & 0xFFFF)
    if isinstance(action, Release):
        return _WORKER.pack(6, action.worker >> 16, action.worker & 0xFFFF)
    if isinstance(action, Subscribe):
        return b"\x0a\x01"
    if isinstance(action, FetchList):
        return b"\x0b"
    if isinstance(action, Log):
        return text_record(8, action.text)
    raise TypeError(f"not an action: {action!r}")


def reply(batch: int, encoded: list[bytes]) -> bytes:
    """Return a reply to a batch: header and encoded records."""
    body = b"".join(encoded)
    return REPLY_HEADER.pack(batch, len(encoded), len(body)) + body
