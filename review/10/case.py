"""Background jobs of a Gearman client while one utility sends several times its usual traffic."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2 import gear  # noqa: E402
from stand2.lib import main  # noqa: E402

USUAL_PER_S = 12.0
BURST = 5.5  # times the usual traffic; the pages allow 2.3 to 5.7
BURST_S = 10.0  # the pages allow 5.2 to 15 s
WORK_S = 0.2


async def work(case):
    """Run the case."""
    workers = [gear.GearWorker(case, f"worker-{n}") for n in range(4)]
    scheduler = gear.GearScheduler(case, [w.name for w in workers])
    await scheduler.start(workers)
    told = {}  # by id: the packet that answered its submission

    async def submit(peer, identity):
        case.say("sent", id=identity)
        peer.send(gear.SUBMIT_JOB_BG, b"post_payment", b"", f"{WORK_S} {identity}".encode())
        kind, data = await peer.packet()
        told[identity] = kind
        case.say("answer", id=identity, packet=gear.NAMES.get(kind, kind), data=data[:60])

    peer = await gear.Peer.connect(scheduler.port)
    loop = asyncio.get_running_loop()

    async def traffic(name, seconds, per_s):
        until, n = loop.time() + seconds, 0
        while loop.time() < until:
            await submit(peer, f"{name}-{n}")
            n += 1
            await asyncio.sleep(1 / per_s)

    await traffic("usual", 3, USUAL_PER_S)
    await traffic("burst", BURST_S, USUAL_PER_S * (BURST if case.trouble else 1))
    await traffic("after", 3, USUAL_PER_S)
    later = {}
    with_answer = asyncio.create_task(peer.packet())  # anything more that the client is told
    await asyncio.sleep(6)  # longer than the class's 5 s
    if with_answer.done():
        later["packet"] = with_answer.result()
    with_answer.cancel()
    ran = [identity for w in workers for _, identity in w.runs]
    for identity, kind in told.items():
        if kind == gear.JOB_CREATED and identity not in ran:
            case.fault(f"{identity} was answered JOB_CREATED, never ran, and nothing more was said of it")
    case.say("counts", submitted=len(told), created=sum(k == gear.JOB_CREATED for k in told.values()),
             ran=len(set(ran)), ran_twice=len(ran) - len(set(ran)), told_later=later)
    print(len(told), len(ran), later)


main(work, Path(__file__).parent)
