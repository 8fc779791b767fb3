"""Hosts dispatchers for the bench: frames in on standard input, replies out on standard output."""

import sys
from typing import BinaryIO

from hazellead.decide.dispatcher import Dispatcher
from hazellead.decide.interface import Event
from hazellead.sim import wire


def read_exactly(stream: BinaryIO, count: int) -> bytes:
    """Read so many bytes; fewer only at the end of input."""
    parts = []
    while count > 0:
        part = stream.read(count)
        if not part:
            break
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


class Host:
    """The dispatchers of one adapter process. They share nothing but this table."""

    def __init__(self) -> None:
        """Start with no instance."""
        self.dispatchers: dict[int, Dispatcher] = {}
        self.forms: dict[int, wire.ReportForm] = {}

    def answer(self, batch: int, count: int, now_us: int, body: bytes) -> bytes:
        """Let each instance handle its events and frame the reply."""
        pending: dict[int, list[Event]] = {}
        for instance, event in wire.records(count, body, self.forms):
            if isinstance(event, wire.Started):
                self.dispatchers[instance] = Dispatcher(wire.settings(event.setup), event.seed)
                pending[instance] = []
            elif isinstance(event, wire.Stopped):
                self.dispatchers.pop(instance, None)
                self.forms.pop(instance, None)
                pending.pop(instance, None)
            elif instance in self.dispatchers:
                pending.setdefault(instance, []).append(event)
            else:
                raise wire.WireError(f"an event for instance {instance}, which has not started")
        out: list[bytes] = []
        for instance, events in pending.items():
            try:
                encoded = [wire.encode(a) for a in self.dispatchers[instance].handle(now_us, events)]
            except Exception as error:
                encoded = [wire.text_record(9, f"{type(error).__name__}: {error}")]
            if encoded:
                out.append(wire.source(instance))
                out.extend(encoded)
        return wire.reply(batch, out)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends."""
    host = Host()
    while header := read_exactly(source, wire.BATCH_HEADER.size):
        if len(header) < wire.BATCH_HEADER.size:
            raise wire.WireError("truncated batch header")
        batch, count, length, now_us = wire.BATCH_HEADER.unpack(header)
        if not wire.CLOCK_BYTES <= length <= wire.MOST_BYTES:
            raise wire.WireError(f"impossible batch length {length}")
        body = read_exactly(source, length - wire.CLOCK_BYTES)
        if len(body) < length - wire.CLOCK_BYTES:
            raise wire.WireError("truncated batch")
        sink.write(host.answer(batch, count, now_us, body))
        sink.flush()


def main() -> int:
    """Run the host; malformed input ends it with one line on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:
        print(f"hazellead: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
