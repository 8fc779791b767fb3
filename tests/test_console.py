"""The console: its calls, its metrics against what test doubles counted, and its limits on bad callers."""

import asyncio
import re
from collections import Counter
from pathlib import Path

from loopback import HttpWorker, free_port, http_post, run, until
from test_program import HEADERS, get, program

from hazellead.console.metrics import Gauges, Metrics


async def ask(port: int, target: str = "/admin/stats", method: str = "GET") -> tuple[int, str]:
    """Make one call and read to the end of the connection; return the status and the body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
    head, _, body = (await asyncio.wait_for(reader.read(), 5)).decode().partition("\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body


def parse_metrics(text: str) -> dict[str, int]:
    assert re.fullmatch(r"(svc\.[\w.-]+:\d+\|[cg]\n)+", text)
    return {name: int(value) for name, value in re.findall(r"svc\.(\S+):(\d+)\|", text)}


def test_metrics_have_their_text_format_whatever_characters_a_class_name_has() -> None:
    metrics = Metrics()
    metrics.add_classes(["post-payment", "a:1|c\nsvc.x"])
    metrics.ended("post-payment", "success")
    metrics.ended("refund", "overload")
    metrics.dispatched()
    metrics.count_reload(accepted=True)
    metrics.count_reload(accepted=False)
    lines = metrics.render(Gauges(14, 8, 2)).splitlines()
    assert {"svc.replies.post-payment.success:1|c", "svc.replies.post-payment.error:0|c",
            "svc.replies.refund.overload:1|c", "svc.dispatches:1|c", "svc.reload_success:1|c",
            "svc.reload_failure:1|c", "svc.concurrent:14|g", "svc.targets:8|g",
            "svc.targets_disabled:2|g", "svc.replies.a_1_c_svc_x.error:0|c"} <= set(lines)
    assert len(lines) == len(set(lines)) == 15


def test_metrics_agree_with_what_clients_and_workers_counted(tmp_path: Path) -> None:
    async def case() -> None:
        port, console, count = free_port(), free_port(), Counter[bytes]()
        worker = HttpWorker("s-1", count, lambda: port)
        async with worker.serving(), program(tmp_path, port, worker, console=f"127.0.0.1:{console}"):
            assert parse_metrics((await ask(console))[1])["replies.post-payment.success"] == 0
            seen = Counter[int]()
            for i in range(6):
                if i == 3:
                    worker.states = [{"state": "failed"}]
                seen[(await http_post(port, "/post-payment", b"%d" % i, HEADERS.format(i)))[0]] += 1
            worker.states = [{"state": "started"}]
            open_job = asyncio.ensure_future(http_post(port, "/post-payment", b"h", HEADERS.format("h")))
            await until(lambda: count[b"h"])
            got = parse_metrics((await ask(console))[1])
            assert seen == {200: got["replies.post-payment.success"], 502: got["replies.post-payment.error"]}
            assert seen[200] == seen[502] == 3 and got["concurrent"] == 1 and got["targets"] == 1
            # The one worker is disabled for the jobs that it failed.
            assert got["dispatches"] == sum(count.values()) == 7 and got["targets_disabled"] == 1
            assert await worker.call_back("h", state="done", result="") == 200
            await open_job
            assert parse_metrics((await ask(console))[1])["concurrent"] == 0

    run(case())


def test_calls_are_answered_beside_silent_callers_and_unknown_calls_are_refused(tmp_path: Path) -> None:
    async def case() -> None:
        port, console = free_port(), free_port()
        async with program(tmp_path, port, console=f"127.0.0.1:{console}") as process:
            async def keep_loop_busy() -> None:
                while True:
                    await asyncio.gather(*(get(port, "/up") for _ in range(40)))

            busy = asyncio.ensure_future(keep_loop_busy())
            silent = [await asyncio.open_connection("127.0.0.1", console) for _ in range(200)]
            for _, writer in silent[::2]:
                writer.write(b"GET /admin/he")
            for _ in range(3):
                began = asyncio.get_running_loop().time()
                assert (await ask(console, "/admin/health"))[0] == 200
                assert asyncio.get_running_loop().time() - began < 1
                await asyncio.sleep(0.3)
            busy.cancel()
            assert await get(port, "/up") == 200  # clients have connections of their own limit
            for status, target, method in ((404, "/admin", "GET"), (404, "/up", "GET"),
                                           (405, "/admin/stats", "PUT"), (405, "/admin/quiesce", "GET"),
                                           (400, "/admin/ stats", "GET")):
                assert (await ask(console, target, method))[0] == status
            assert (await ask(console, "/admin/resume", "PUT"))[0] == 200  # it is ready
            assert process.returncode is None
            for reader, writer in silent:  # all are closed after a time limit
                with_end = asyncio.wait_for(reader.read(), 4)
                try:
                    await with_end
                except ConnectionError:
                    pass
                writer.close()

    run(case())
