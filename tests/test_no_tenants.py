"""Sites whose settings define no tenants.

Guards against a request without an answer: the first job that was to be passed to another process had no
tenant to be named, and stayed parked after the error.
"""

import asyncio
import json
import signal
from pathlib import Path

import pytest
from test_console import ask
from test_passing import LONG_SETTINGS, Site, site_test

from hazellead.core import generations
from hazellead.decide import interface as api

# The program with a fault where it describes these jobs to the process that they are passed to.
FAULTY_PROGRAM = """
from hazellead import __main__ as program
from hazellead.core.migration import JobMigration

park = JobMigration.park

def faulty_park(self, number, after):
    job = self._scheduler.unanswered_job(number)
    if job and job[0].identity in {jobs}:
        raise IndexError("built-in fault")
    return park(self, number, after)

JobMigration.park = faulty_park
program.sys.argv[1:] = []
raise SystemExit(program.main())
"""
WITHOUT_TENANTS = {key: value for key, value in LONG_SETTINGS.items() if key != "tenants"}
SETTINGS = {"none": WITHOUT_TENANTS, "empty": WITHOUT_TENANTS | {"tenants": []}, "some": LONG_SETTINGS}


@pytest.mark.parametrize(("before", "after"), [
    ("none", "none"), ("empty", "empty"), ("none", "some"), ("some", "none")])
def test_jobs_are_passed_on_with_and_without_tenants(tmp_path: Path, before: str, after: str) -> None:
    # Guards against: the job was never answered, and the old process did not end.
    async def case(site: Site) -> None:
        old = await site.start(settings=SETTINGS[before])
        names = [f"j{i}" for i in range(3)]
        clients = await site.open(*names)
        await site.start(settings=SETTINGS[after])
        old.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(old.wait(), 5) == 0
        assert await site.metric(1, "concurrent") == len(names)
        (later,) = await site.open("later")
        await site.done(*names, "later")
        assert [await c.answer() for c in clients] == [(200, f"r {n}".encode()) for n in names]
        assert await later.answer() == (200, b"r later")
        assert set(site.postings.values()) == {1}

    site_test(case)(tmp_path)


@site_test
async def test_jobs_that_end_with_their_process_are_answered_without_tenants(site: Site) -> None:
    old = await site.start(settings=WITHOUT_TENANTS)
    (client,) = await site.open("hangs")
    old.send_signal(signal.SIGTERM)  # no other process: it is failed at the end
    assert (await client.answer(ending=True))[0] == 502
    assert await asyncio.wait_for(old.wait(), 2) == 0


def settings_for(count: int) -> api.Settings:
    return api.Settings(
        (api.JobClass(100_000, 5_000_000, api.Effect.UNSAFE),),
        tuple(api.Tenant(1 / count, 10) for _ in range(count)))


def test_all_jobs_of_a_site_without_tenants_belong_to_one_unnamed_tenant() -> None:
    first = generations.initial(settings_for(0), ["pay"])
    assert first.tenant_ids == (0,) and first.tenant_rows[0][0] == generations.NO_TENANT
    same, _, tenant = generations.including(first, first.class_rows[0], generations.NO_TENANT)
    assert same is first and tenant == 0


def test_new_jobs_do_not_come_under_a_tenant_that_was_removed() -> None:
    # Guards against: where new settings define no tenants, jobs counted for a tenant with nearly no share.
    first = generations.initial(settings_for(2), ["pay"], ["a", "b"])
    after = generations.next_after(first, settings_for(0), ["pay"], [], set(), {1})
    (number,) = after.tenant_ids
    assert after.tenant_rows[number] == (generations.NO_TENANT, api.Tenant(1.0))
    assert after.tenant_rows[0][1].portion == generations.GONE_PORTION
    extended, _, tenant = generations.including(
        generations.initial(settings_for(0), ["pay"]), first.class_rows[0], "a")
    assert extended.tenant_ids == (0,) and tenant == 1
    assert extended.settings.tenants[tenant].portion == generations.GONE_PORTION


@pytest.mark.parametrize(("before", "after"), [("none", "none"), ("none", "some"), ("some", "none")])
def test_a_reload_is_accepted_unless_it_leaves_out_the_tenants(
    tmp_path: Path, before: str, after: str,
) -> None:
    async def case(site: Site) -> None:
        process = await site.start(settings=SETTINGS[before])
        (old_client,) = await site.open("before")
        config = site.folder / "1/config.json"
        rows = [row | {"hardLimitUs": 50_000_000} for row in LONG_SETTINGS["requestClasses"]]
        config.write_text(json.dumps(
            json.loads(config.read_text()) | {"settings": SETTINGS[after] | {"requestClasses": rows}}))
        process.send_signal(signal.SIGHUP)
        # Settings without a part that the ones in force have count as an incomplete file.
        outcome = "failure" if (before, after) == ("some", "none") else "success"
        while f"reload_{outcome}:1" not in (await ask(site.consoles[0], "/admin/stats"))[1]:
            await asyncio.sleep(0.02)
        (client,) = await site.open("after")
        await site.done("before", "after")
        assert await old_client.answer() == (200, b"r before")
        assert await client.answer() == (200, b"r after")

    site_test(case)(tmp_path)


@pytest.mark.parametrize("number_of_faults", [1, 3])
def test_a_fault_while_one_job_is_passed_on_leaves_no_job_without_an_answer(
    tmp_path: Path, number_of_faults: int,
) -> None:
    async def case(site: Site) -> None:
        names = [f"j{i}" for i in range(4)]
        faulty = names[:number_of_faults]
        old = await site.start(command=("-c", FAULTY_PROGRAM.format(jobs=faulty)))
        clients = await site.open(*names)
        await site.start()
        old.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(old.wait(), 5) == 0
        passed = names[number_of_faults:]
        await site.done(*passed)
        statuses = [(await c.answer(ending=True))[0] for c in clients]
        assert statuses == [502] * len(faulty) + [200] * len(passed)
        assert set(site.postings.values()) == {1}

    site_test(case)(tmp_path)
