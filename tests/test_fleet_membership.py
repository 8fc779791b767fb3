"""Whole fleets in virtual time: no sends to a drained or removed server once a process counts as notified."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from discovery_model import Outage, Overload
from fleet import Fleet, Gate, Verdict, ignores_drains, knows_current_state, real_gate
from virtual_loop import VirtualLoop, run_virtually

Scenario = Callable[[Fleet], Awaitable[None]]
SIZES = (6, 40, 200, 230)


def play(scenario: Scenario, size: int, *, gate: Gate = real_gate, **options: Any) -> Verdict:
    """Run one scenario to its end and return the referee's verdict."""
    async def case(loop: VirtualLoop) -> Verdict:
        fleet = Fleet(loop, size, gate=gate, **options)
        await scenario(fleet)
        return await fleet.end()

    return run_virtually(case)


def second_address(fleet: Fleet, number: int = 2, **options: Any) -> tuple[str, int]:
    """Add another discovery address with list versions of its own."""
    address = (f"10.2.0.{number}", 8500)
    fleet.add_service(address, first_version=100 * number, **options)
    return address


# Scenarios.


async def all_watches_fall_silent(fleet: Fleet) -> None:
    await fleet.settle()
    await asyncio.sleep(3)
    fleet.service.silence_watches()
    for wave in range(4):  # drains right afterwards, and while the fleet reopens its watches
        await asyncio.sleep(0.3 + wave)
        fleet.drain(wave)
    await asyncio.sleep(12)


async def all_watches_are_reset(fleet: Fleet) -> None:
    await fleet.settle()
    await asyncio.sleep(3)
    fleet.service.reset_watches()
    for wave in range(4):
        fleet.drain(wave)
        await asyncio.sleep(1)
    await asyncio.sleep(10)


async def short_outage(fleet: Fleet) -> None:
    await _outage(fleet, 8.0, Outage.NO_TURN)


async def long_outage(fleet: Fleet) -> None:
    await _outage(fleet, 60.0, Outage.NO_TURN)


async def short_outage_with_nobody_listening(fleet: Fleet) -> None:
    await _outage(fleet, 8.0, Outage.NOBODY_LISTENS)


async def long_outage_with_nobody_listening(fleet: Fleet) -> None:
    await _outage(fleet, 60.0, Outage.NOBODY_LISTENS)


async def _outage(fleet: Fleet, seconds: float, outage: Outage) -> None:
    await fleet.settle()
    await asyncio.sleep(3)
    fleet.service.go_down(outage)
    await asyncio.sleep(seconds / 2)
    fleet.drain(0, 1)
    fleet.remove(2)
    await asyncio.sleep(seconds / 2)
    fleet.service.come_back()
    for wave in range(3):
        await asyncio.sleep(0.5 + wave)
        fleet.drain(3 + wave)
    await asyncio.sleep(12)


async def silence_and_then_an_outage(fleet: Fleet) -> None:
    await fleet.settle()
    fleet.service.silence_watches()
    await asyncio.sleep(0.2)
    fleet.drain(0)
    await asyncio.sleep(1)
    fleet.service.go_down(Outage.NO_TURN)
    await asyncio.sleep(8)
    fleet.service.come_back()
    fleet.drain(1)
    await asyncio.sleep(12)


async def _move(fleet: Fleet, address: tuple[str, int]) -> None:
    """Apply a new discovery address to all processes; watches of the former address go silent."""
    former = fleet.network.services[fleet.processes[0].address]
    for process in fleet.processes:
        process.move(address)
    former.silence_watches()


async def new_settings_move_discovery(fleet: Fleet) -> None:
    await fleet.settle()
    await _move(fleet, second_address(fleet))
    for wave in range(4):
        fleet.drain(wave)
        await asyncio.sleep(1.5)
    await asyncio.sleep(10)


async def new_settings_move_discovery_where_it_is_slow(fleet: Fleet) -> None:
    await fleet.settle()
    await _move(fleet, second_address(fleet, calls_per_s=fleet.calls_per_s / 2, lines_per_call=40.0))
    for wave in range(4):
        fleet.drain(wave)
        await asyncio.sleep(1.5)
    await asyncio.sleep(20)


async def three_settings_in_quick_succession(fleet: Fleet) -> None:
    await fleet.settle()
    addresses = [second_address(fleet, number) for number in (2, 3, 4)]
    for wave, address in enumerate(addresses):
        await _move(fleet, address)
        fleet.drain(wave)
        await asyncio.sleep(1.2)
    fleet.remove(5)
    await asyncio.sleep(14)


async def rolling_restart(fleet: Fleet) -> None:
    await fleet.settle()
    tenth = max(1, fleet.size // 10)
    for start in range(0, fleet.size, tenth):
        batch = fleet.processes[start:start + tenth]
        for process in batch:
            process.kill()
        fleet.drain((start // tenth) % 10)
        await asyncio.sleep(0.6)
        for process in batch:
            process.start()
        await asyncio.sleep(0.4)
    await asyncio.sleep(10)


async def most_are_killed_at_once(fleet: Fleet) -> None:
    await fleet.settle()
    killed = fleet.processes[: fleet.size * 7 // 10]
    for process in killed:
        process.kill()
    for wave in range(3):
        fleet.drain(wave)
        await asyncio.sleep(0.8)
    for process in killed:
        process.start()
    for wave in range(3):
        await asyncio.sleep(1)
        fleet.drain(3 + wave)
    await asyncio.sleep(12)


async def killed_long_before_with_old_lists(fleet: Fleet) -> None:
    await fleet.settle()
    killed = fleet.processes[: fleet.size * 7 // 10]
    for process in killed:
        process.kill()
    fleet.drain(0, 1)
    fleet.remove(2)
    await asyncio.sleep(30)
    for process in killed:
        process.start()
    await asyncio.sleep(12)


async def calls_fail_although_discovery_is_reachable(fleet: Fleet) -> None:
    await fleet.settle()
    await asyncio.sleep(3)
    fleet.service.failing_share = 0.9
    restarted = fleet.processes[::3]
    for process in restarted:
        process.kill()
    fleet.drain(0)
    for process in restarted:
        process.start()
    for wave in range(1, 4):
        await asyncio.sleep(1)
        fleet.drain(wave)
    await asyncio.sleep(12)
    fleet.service.failing_share = 0.0
    await asyncio.sleep(10)


async def restarts_during_a_long_outage(fleet: Fleet) -> None:
    await fleet.settle()
    fleet.service.go_down(Outage.NOBODY_LISTENS)
    await asyncio.sleep(5)
    for process in fleet.processes[::2]:
        process.kill()
    fleet.drain(0)
    await asyncio.sleep(1)
    for process in fleet.processes[::2]:
        process.start()
    await asyncio.sleep(25)
    fleet.service.come_back()
    fleet.drain(1)
    await asyncio.sleep(12)


async def trouble_after_ten_quiet_minutes(fleet: Fleet) -> None:
    await fleet.settle()
    await asyncio.sleep(600)
    await all_watches_fall_silent(fleet)


async def slow_discovery_with_a_long_queue(fleet: Fleet) -> None:
    await fleet.settle()
    fleet.service.calls_per_s /= 4
    fleet.service.longest_wait = 30.0
    fleet.service.silence_watches()
    for wave in range(4):
        await asyncio.sleep(1)
        fleet.drain(wave)
    await asyncio.sleep(45)


async def servers_leave_and_return(fleet: Fleet) -> None:
    await fleet.settle()
    for boot in range(1, 4):
        fleet.drain(0)
        await asyncio.sleep(1)
        fleet.remove(0)
        await asyncio.sleep(1)
        fleet.registry.change("s-0", "up", boot_ms=boot)  # with the same name
        fleet.registry.change(f"s-1{boot}", "up", endpoint="10.0.0.1:80", boot_ms=boot)  # same endpoint
        await asyncio.sleep(1)
    fleet.service.silence_watches()
    fleet.drain(0)
    await asyncio.sleep(9)


async def changes_keep_happening(fleet: Fleet) -> None:
    await fleet.settle()
    for step in range(120):
        fleet.registry.change(f"s-{step % 6}", "draining" if step // 6 % 2 == 0 else "up", boot_ms=step)
        if step == 40:
            fleet.service.silence_watches()
        await asyncio.sleep(0.2)
    await asyncio.sleep(8)


async def removed_while_watches_are_silent(fleet: Fleet) -> None:
    """The servers are missing from the next full list, which comes from another address."""
    await fleet.settle()
    fleet.service.silence_watches()
    fleet.remove(0, 1)
    await asyncio.sleep(0.5)
    await _move(fleet, second_address(fleet))
    await asyncio.sleep(14)


async def discovery_is_set_up_again(fleet: Fleet) -> None:
    """Its versions restart below those held, and processes start from a list with an old version number."""
    await fleet.settle()
    for process in fleet.processes:
        process.kill()
        process.known |= {"rev": 1000}
    fleet.drain(0)
    await asyncio.sleep(2)
    for process in fleet.processes:
        process.start()
    await asyncio.sleep(1)
    fleet.drain(1)
    await asyncio.sleep(20)


FAULTS: dict[str, tuple[Scenario, dict[str, Any]]] = {
    "silence": (all_watches_fall_silent, {}),
    "silence, crowd refused late": (all_watches_fall_silent, {"overload": Overload.REFUSED_AFTER_WAIT}),
    "silence, crowd reset late": (all_watches_fall_silent, {"overload": Overload.RESET_AFTER_WAIT}),
    "resets": (all_watches_are_reset, {}),
    "short outage": (short_outage, {}),
    "long outage": (long_outage, {}),
    "short outage, nobody listens": (short_outage_with_nobody_listening, {}),
    "long outage, nobody listens": (long_outage_with_nobody_listening, {}),
    "silence, then an outage": (silence_and_then_an_outage, {}),
    "settings": (new_settings_move_discovery, {}),
    "settings, slow discovery": (new_settings_move_discovery_where_it_is_slow, {}),
    "settings, crowd refused late": (
        new_settings_move_discovery, {"overload": Overload.REFUSED_AFTER_WAIT}),
    "settings in succession": (three_settings_in_quick_succession, {}),
    "rolling restart": (rolling_restart, {}),
    "most are killed": (most_are_killed_at_once, {}),
    "most are killed, crowd refused late": (
        most_are_killed_at_once, {"overload": Overload.REFUSED_AFTER_WAIT}),
    "old lists": (killed_long_before_with_old_lists, {}),
    "restarts in an outage": (restarts_during_a_long_outage, {}),
    "calls fail": (calls_fail_although_discovery_is_reachable, {}),
    "calls fail, crowd refused late": (
        calls_fail_although_discovery_is_reachable, {"overload": Overload.REFUSED_AFTER_WAIT}),
}
RARER_FAULTS: dict[str, tuple[Scenario, dict[str, Any]]] = {
    "quiet time": (trouble_after_ten_quiet_minutes, {}),
    "long queue": (slow_discovery_with_a_long_queue, {}),
    "come again": (servers_leave_and_return, {}),
    "changes": (changes_keep_happening, {}),
    "whole list": (removed_while_watches_are_silent, {}),
    "set up anew": (discovery_is_set_up_again, {}),
}
PUSHED = {"silence", "resets", "rolling restart", "most are killed", "old lists", "come again", "changes"}


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("fault", FAULTS)
def test_no_process_sends_to_a_server_after_notification_that_it_leaves(fault: str, size: int) -> None:
    scenario, options = FAULTS[fault]
    verdict = play(scenario, size, **options)
    assert verdict.violations == 0, verdict.first_violation


@pytest.mark.parametrize("fault", RARER_FAULTS)
def test_no_process_of_a_fleet_of_forty_does_so_in_rarer_faults(fault: str) -> None:
    scenario, options = RARER_FAULTS[fault]
    verdict = play(scenario, 40, **options)
    assert verdict.violations == 0, verdict.first_violation


def test_no_process_does_so_after_an_outage_whose_crowd_is_let_wait() -> None:
    """Each call fails after the longest wait, in the outage as well as in the overload that follows it."""
    verdict = play(short_outage, 40, overload=Overload.REFUSED_AFTER_WAIT)
    assert verdict.violations == 0, verdict.first_violation


async def agent_silent_for_a_while(fleet: Fleet) -> None:
    await _outage(fleet, 20.0, Outage.AGENT_SILENT)


@pytest.mark.parametrize("fault", [*sorted(PUSHED), "outage"])
def test_no_process_does_so_where_lists_are_pushed(fault: str) -> None:
    scenario = agent_silent_for_a_while if fault == "outage" else (FAULTS | RARER_FAULTS)[fault][0]
    verdict = play(scenario, 40, pushed=True)
    assert verdict.violations == 0, verdict.first_violation


@pytest.mark.parametrize("fault", [*FAULTS, *RARER_FAULTS])
def test_the_referee_reports_a_fleet_that_ignores_drains_and_passes_one_that_knows_all(fault: str) -> None:
    scenario, options = (FAULTS | RARER_FAULTS)[fault]
    assert play(scenario, 6, gate=ignores_drains, **options).violations > 0
    correct = play(scenario, 6, gate=knows_current_state, **options)
    assert correct.violations == 0 and correct.served_share == 1.0
