"""Hosts dispatchers for the simulator: reads batches on standard input, writes replies to standard output."""

import sys
from typing import BinaryIO

from hazellead.decide.dispatcher import Dispatcher
from hazellead.decide.interface import Event
from hazellead.sim import wire


def read_exactly(stream: BinaryIO, count: int) -> bytes:
    """Read ``count`` bytes; return fewer only at the end of the input."""
    parts = []
    while count > 0:
        part = stream.read(count)
        if not part:
            break
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


class Host:
    """The dispatchers of one adapter process by instance number; they share no state."""

    def __init__(self) -> None:
        """Start without instances."""
        self.dispatchers: dict[int, Dispatcher] = {}
        self.layouts: dict[int, wire.ReportLayout] = {}

    def answer(self, batch: int, count: int, now_us: int, body: bytes) -> bytes:
        """Let each instance handle its events of a batch; return the reply.

        An exception of an instance goes into the reply as its fatal message. Raises WireError if the batch is
        malformed.
        """
        pending: dict[int, list[Event]] = {}
        for instance, event in wire.decode(count, body, self.layouts):
            if isinstance(event, wire.Started):
                self.dispatchers[instance] = Dispatcher(wire.settings(event.settings_text), event.seed)
                pending[instance] = []
            elif isinstance(event, wire.Stopped):
                self.dispatchers.pop(instance, None)
                self.layouts.pop(instance, None)
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
                out.append(wire.instance_record(instance))
                out.extend(encoded)
        return wire.reply(batch, out)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends; raise WireError if one is malformed."""
    host = Host()
    while header := read_exactly(source, wire.BATCH_HEADER.size):
        if len(header) < wire.BATCH_HEADER.size:
            raise wire.WireError("truncated batch header")
        batch, count, length, now_us = wire.BATCH_HEADER.unpack(header)
        if not wire.CLOCK_BYTES <= length <= wire.MAX_BYTES:
            raise wire.WireError(f"impossible batch length {length}")
        body = read_exactly(source, length - wire.CLOCK_BYTES)
        if len(body) < length - wire.CLOCK_BYTES:
            raise wire.WireError("truncated batch")
        sink.write(host.answer(batch, count, now_us, body))
        sink.flush()


def main() -> int:
    """Run the host; return its exit status.

    Malformed input ends it with one line on standard error and status 2, a closed standard output with 1.
    """
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
