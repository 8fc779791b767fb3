"""Bad clients send large requests, and again as soon as they are turned away; the platform watches memory."""

import asyncio
import signal
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2.lib import (  # noqa: E402
    HOST,
    BlockedError,
    Discovery,
    Scheduler,
    Worker,
    main,
    read_message,
    request_bytes,
    send,
)

MEMORY_MB = 64  # LATER: "32 to 192 MB depending on language and day, and 256 to 1,024 descriptors"
SOCKETS = 256
BAD = SOCKETS // 3
BODY = 65000  # PROTOCOL: "A body holds 64 KiB at most"
TROUBLE_S = 20
USUAL_PER_S = 10


def private_mb(process):
    """Return the private memory of a process in MB: without files that it has mapped."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    raise BlockedError("the system does not tell a process's private memory")


async def platform(case, process):
    """Kill the scheduler when it is over its memory limit, as the platform does."""
    most = 0.0
    while process.poll() is None:
        now = private_mb(process)
        if now > most + 1:
            most = now
            case.say("memory", private_mb=f"{now:.1f}")
        if now > MEMORY_MB:
            case.fault(f"{now:.1f} MB of private memory where {MEMORY_MB} are allowed: it is killed")
            case.end(process, signal.SIGKILL)
            return
        await asyncio.sleep(0.05)


async def bad_client(case, port, process, n, until, counts):
    """Send a large request on a new connection and read the answer; then send again at once."""
    number = 0
    while case.now() < until and process.poll() is None:
        number += 1
        status = "none"
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(7):
                reader, writer = await asyncio.open_connection(HOST, port)
                try:
                    writer.write(request_bytes(f"bad-{n}-{number}", b"0.3 ".ljust(BODY, b"x")))
                    first, _, _ = await read_message(reader)
                    status = first.split()[1]
                finally:
                    writer.close()
        counts[status] = counts.get(status, 0) + 1


async def work(case):
    """Run the case."""
    discovery = Discovery(case)
    await discovery.serve()
    scheduler = Scheduler(case, discovery, memory_mb=MEMORY_MB, sockets=SOCKETS)
    for n in range(4):
        worker = Worker(case, f"s-{n}", lambda: scheduler.port, slots=2)
        await worker.serve()
        discovery.put(worker.uid, worker.port)
    process = scheduler.start()
    await scheduler.ready()
    case.say("ready", private_mb=f"{private_mb(process):.1f}")
    case.background(platform(case, process))
    counts, bad, usual = {}, [], []
    for n in range((TROUBLE_S + 10) * USUAL_PER_S):
        if process.poll() is not None:
            break
        if n == 5 * USUAL_PER_S and case.trouble:
            until = case.now() + TROUBLE_S
            bad = [asyncio.ensure_future(bad_client(case, scheduler.port, process, i, until, counts))
                   for i in range(BAD)]
        usual.append(asyncio.ensure_future(send(case, scheduler.port, f"job-{n}", b"0.2 x")))
        await asyncio.sleep(1 / USUAL_PER_S)
    answers = [a.status for a in await asyncio.gather(*usual)]
    await asyncio.gather(*bad)
    usual_counts = {str(status): answers.count(status) for status in set(answers)}
    case.say("counts", bad=counts, usual=usual_counts)
    print(counts, usual_counts)


main(work, Path(__file__).parent)
