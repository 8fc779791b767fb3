"""Usual clients while other clients send hundreds of requests at once."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2.lib import HOST, Discovery, Scheduler, Worker, main, request_bytes, send  # noqa: E402

BAD_CLIENTS = 150  # of the 298 connections that 512 descriptors leave

BODY = b"0.1 " + b"x" * 170


async def bad_client(case, port, number):
    """Send hundreds of requests at once, and the same again as soon as one is turned away."""
    sent = 0

    def more():
        nonlocal sent
        sent += 1
        return request_bytes(f"bad-{number}-{sent}", BODY, tenant="kuuste-soojus")

    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"".join(more() for _ in range(100 + number * 7919 % 130)))
            while data := await reader.read(65536):
                writer.write(b"".join(more() for _ in range(data.count(b"HTTP/1.1 "))))
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def work(case):
    """Run the case."""
    discovery = Discovery(case)
    await discovery.serve()
    scheduler = Scheduler(case, discovery, memory_mb=48, sockets=512)
    workers = [Worker(case, f"s-{n}", lambda: scheduler.port, slots=3) for n in range(4)]
    for n, worker in enumerate(workers):
        await worker.serve()
        discovery.put(worker.uid, worker.port, az=("tartu-dc", "tallinn-dc")[n % 2])
    scheduler.start()
    await scheduler.ready()
    answers = []

    async def usual(n, tenant):
        answers.append(await send(case, scheduler.port, f"usual-{n}", b"0.05 " + b"y" * 30000, tenant=tenant))

    async def traffic(seconds, first):
        tasks = []
        for n in range(int(seconds * 20)):
            tasks.append(asyncio.ensure_future(usual(first + n, ("emajoe-energia", "pohja-vesi")[n % 2])))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    await traffic(2, 0)
    if case.trouble:
        for n in range(BAD_CLIENTS):
            case.background(bad_client(case, scheduler.port, n))
    await traffic(10, 1000)
    status = Path(f"/proc/{scheduler.process.pid}/status").read_text()
    case.say("memory", peak=next(x for x in status.splitlines() if "VmHWM" in x).split()[1])
    counts = {}
    for a in answers:
        key = a.status or a.end
        counts[key] = counts.get(key, 0) + 1
        if a.status is None:
            case.fault(f"{a.identity} {a.end} after {a.at - a.sent:.3f} s")
    case.say("counts", **{str(k).replace(" ", "_"): v for k, v in counts.items()})
    print(counts)


main(work, Path(__file__).parent)
