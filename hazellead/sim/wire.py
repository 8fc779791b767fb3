"""Binary codec between the bench's frames and the library's types. Nothing is decided here."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

from hazellead.decide.interface import (
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

BATCH_HEADER = struct.Struct(">IIIQ")
REPLY_HEADER = struct.Struct(">III")
CLOCK_BYTES = 8
MOST_BYTES = 1 << 28

_FOR = struct.Struct(">H")
_INIT = struct.Struct(">QI")
_LIST = struct.Struct(">IBI")
_ENTRY = struct.Struct(">IHHBHBfQ")
_SUBMIT = struct.Struct(">QBIQIIffB")
_HEAD = struct.Struct(">QIHIH")
_END = struct.Struct(">QHIHBIBI")
_ID = struct.Struct(">Q")
_SAMPLED = struct.Struct(">IHBI")
_PEER = struct.Struct(">IH")
_NOTE = struct.Struct(">QIHHBf")
_ISSUE = struct.Struct(">BQIHI")
_REFUSE = struct.Struct(">BQI")
_FAIL = struct.Struct(">BQ")
_CANCEL = struct.Struct(">BQH")
_REMIND = struct.Struct(">BIQ")
_CHECK = struct.Struct(">BIH")
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
    """A frame or a setting that the wire's description does not allow."""


@dataclass(slots=True)
class Started:
    """An instance starts, with its seed and its settings' text."""

    seed: int
    setup: str


@dataclass(slots=True)
class Stopped:
    """An instance has been killed."""


class Reader:
    """A cursor over one frame's bytes that never reads past their end."""

    def __init__(self, data: bytes) -> None:
        """Start at the first byte."""
        self.data = data
        self.at = 0

    def take(self, form: struct.Struct) -> tuple[int, ...]:
        """Unpack one fixed form. Floats come along as they are."""
        if self.at + form.size > len(self.data):
            raise WireError("truncated record")
        values = form.unpack_from(self.data, self.at)
        self.at += form.size
        return values

    def bytes(self, count: int) -> bytes:
        """Take so many bytes."""
        if self.at + count > len(self.data):
            raise WireError("truncated record")
        self.at += count
        return self.data[self.at - count : self.at]

    def byte(self) -> int:
        """Take one byte."""
        return self.bytes(1)[0]

    def floats(self) -> tuple[float, ...]:
        """Take a counted list of 32-bit floats."""
        count = self.byte()
        return struct.unpack(f">{count}f", self.bytes(4 * count))


def worker_id(address: int, port: int) -> int:
    """Fold a worker's address and port into one integer."""
    return address << 16 | port


def _known(table: dict[int, _T], code: int, what: str) -> _T:
    if code not in table:
        raise WireError(f"unknown {what} {code}")
    return table[code]


class ReportForm:
    """Where in a load report the values stand that the library knows."""

    def __init__(self, fields: list[str], x0: str) -> None:
        """Take the fields' names and the meaning of x0."""
        names = ["free_slots" if f == "x0" and x0 == "free_slots" else f for f in fields]
        self.places = [names.index(n) if n in names else -1 for n in ("free_slots", "inflight", "queue")]

    def read(self, values: tuple[float, ...]) -> Report | None:
        """Turn the values into a report; None where there are none."""
        if not values:
            return None
        return Report(*(values[p] if 0 <= p < len(values) else None for p in self.places))


def pairs(setup: str) -> dict[str, str]:
    """Split the settings' lines at their first equals sign."""
    return dict(line.split("=", 1) for line in setup.splitlines() if "=" in line)


def report_form(setup: str) -> ReportForm:
    """Read from the settings how load reports are laid out."""
    table = pairs(setup)
    return ReportForm(table.get("report.fields", "").split(","), table.get("specifics.reportX0", ""))


def settings(setup: str) -> Settings:
    """Read the settings; an absent or unreadable required key is a WireError that names it."""
    table = pairs(setup)

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
        job_classes.append(
            JobClass(
                aim_us=int(number(at + "aimUs")),
                deadline_us=int(number(at + "hardLimitUs")),
                effect=_EFFECTS[effect],
                group=table.get(at + "group", "all"),
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


def _worker_list(r: Reader) -> WorkerList:
    _, kind, count = r.take(_LIST)
    entries = []
    for _ in range(count):
        address, port, zone, hw, cell, phase, weight, started = r.take(_ENTRY)
        entries.append(
            WorkerEntry(
                worker_id(address, port), zone, hw, cell, _known(_PHASES, phase, "lifecycle"), weight, started
            )
        )
    return WorkerList(_known(_LIST_KINDS, kind, "list kind"), tuple(entries))


def records(
    count: int, body: bytes, forms: dict[int, ReportForm]
) -> Iterator[tuple[int, Event | Started | Stopped]]:
    """Read a batch's records as pairs of instance and event; ``forms`` is kept up to date at each start."""
    r = Reader(body)
    instance = -1
    for _ in range(count):
        code = r.byte()
        if code == 11:
            (instance,) = r.take(_FOR)
            continue
        if instance < 0:
            raise WireError("a record stands before any FOR")
        event: Event | Started | Stopped | None = None
        if code == 0:
            seed, length = r.take(_INIT)
            try:
                text = r.bytes(length).decode()
            except UnicodeDecodeError:
                raise WireError("settings are not UTF-8") from None
            forms[instance] = report_form(text)
            event = Started(seed, text)
        elif code == 1:
            event = _worker_list(r)
        elif code == 2:
            rid, lane, team, _, left, hint, slots, _, bits = r.take(_SUBMIT)
            event = Arrival(rid, lane, left, team, slots or 1.0, hint if bits & 1 else 0)
        elif code == 3:
            rid, _, attempt, address, port = r.take(_HEAD)
            event = JobBegan(rid, attempt, worker_id(address, port))
        elif code == 4:
            rid, attempt, address, port, verdict, spent, complete, _ = r.take(_END)
            report = forms[instance].read(r.floats()) if instance in forms else None
            outcome = _known(_OUTCOMES, verdict, "outcome")
            event = AttemptEnded(
                rid, attempt, worker_id(address, port), outcome, spent, bool(complete), report
            )
        elif code == 5:
            event = Abandoned(r.take(_ID)[0])
        elif code == 6:
            event = TimerFired(r.take(_ID)[0])
        elif code == 7:
            address, port, verdict, _ = r.take(_SAMPLED)
            report = forms[instance].read(r.floats()) if instance in forms else None
            event = ProbeEnded(worker_id(address, port), _known(_OUTCOMES, verdict, "outcome"), report)
        elif code == 8:
            sender, length = r.take(_PEER)
            event = PeerMessage(sender, r.bytes(length))
        elif code == 9:
            event = Stopped()
        elif code == 10:
            rid, address, port, attempt, _, _ = r.take(_NOTE)
            event = JobBegan(rid, attempt, worker_id(address, port))
        else:
            raise WireError(f"unknown record code {code}")
        yield instance, event
    if r.at != len(body):
        raise WireError(f"{len(body) - r.at} bytes follow the last record")


def source(instance: int) -> bytes:
    """Encode whose actions follow."""
    return struct.pack(">BH", 12, instance)


def text_record(code: int, text: str) -> bytes:
    """Encode a log line (8) or a fatal message (9), cut to what its length field can hold."""
    data = text.encode()[:65535]
    return _TEXT.pack(code, len(data)) + data


def encode(action: Action) -> bytes:
    """Encode one action."""
    if isinstance(action, Push):
        return _ISSUE.pack(
            0, action.request, action.worker >> 16, action.worker & 0xFFFF, action.timeout_us
        )
    if isinstance(action, Refuse):
        return _REFUSE.pack(1, action.request, action.retry_after_us)
    if isinstance(action, Fail):
        return _FAIL.pack(2, action.request)
    if isinstance(action, Cancel):
        return _CANCEL.pack(3, action.request, action.attempt)
    if isinstance(action, SetTimer):
        return _REMIND.pack(4, action.after_us, action.token)
    if isinstance(action, Probe):
        return _CHECK.pack(5, action.worker >> 16, action.worker & 0xFFFF)
    if isinstance(action, Release):
        return _CHECK.pack(6, action.worker >> 16, action.worker & 0xFFFF)
    if isinstance(action, Subscribe):
        return b"\x0a\x01"
    if isinstance(action, FetchList):
        return b"\x0b"
    if isinstance(action, Log):
        return text_record(8, action.text)
    raise TypeError(f"not an action: {action!r}")


def reply(batch: int, encoded: list[bytes]) -> bytes:
    """Frame a reply from its encoded records."""
    body = b"".join(encoded)
    return REPLY_HEADER.pack(batch, len(encoded), len(body)) + body
