"""Tests the capacity page, its slopes, verdicts and ranking, and the early end of a run."""

import importlib.util
import os
import re
import signal
import subprocess
import sys
import time
from dataclasses import asdict
from pathlib import Path
from random import Random

import pytest
from loopback import ROOT

from hazellead.lab.capacity import failures, page, peaks, ranking, slopes, table
from hazellead.lab.capacity.__main__ import main
from hazellead.lab.capacity.result import Figure, Point, Result, load
from hazellead.lab.capacity.target import TARGET

DOCS = ROOT / "docs"
SIZES = {"schedulers": 9.0, "workers": 490.0, "running": 4200.0, "starts": 28.0, "tenants": 91.0}


def points(values: dict[float, list[float]]) -> list[Point]:
    return [Point(size, some) for size, some in values.items()]


def sample() -> Result:
    """Return a result with straight and bent sweeps, too few sizes, runs at and beyond the target, a gap."""
    result = Result(
        calibration_ms=9.5, cores=8, python="3.11.7", seconds=900.0, peak_memory_mib=2000.0, peak_processes=17
    )
    held = {k: v for k, v in SIZES.items() if k != "workers"}
    line = {60.0: [1.0, 1.2], 120.0: [2.1, 2.3], 490.0: [9.7, 9.9], 1000.0: [20.0, 20.2]}
    result.sweep("scheduler", "bytes_out.watch", "KB/s", "workers", "hollow", line, **held)
    result.sweep("member", "memory", "MiB", "workers", "hollow", {s: [30 + s / 100] for s in line}, **held)
    result.sweep(
        "member",
        "bytes_out",
        "B/s",
        "schedulers",
        "hollow",
        {n: [100.0 * n * n] for n in (1.0, 3.0, 9.0, 18.0)},
        workers=490.0,
    )
    result.sweep("scheduler", "state", "tasks", "running", "hollow", {10.0: [1.0], 20.0: [2.0]}, workers=60.0)
    figures = {
        "cpu": Figure(0.03, "of a core", TARGET.core_share),
        "memory": Figure(70.0, "MB", 64.0),
        "control": Figure(12_000.0, "B/s", 19_000.0),
        "traffic": Figure(31_000.0, "B/s"),
        "push_in": Figure(3.0, "1/s"),
        "probe_in": Figure(0.5, "1/s"),
        "running_in": Figure(0.0, "1/s"),
        "watch_in_bytes": Figure(10.0, "B/s"),
        "watch_out_bytes": Figure(20.0, "B/s"),
    }
    result.run("target", "real", SIZES, figures, broken=["rule 2: twice | once"])
    result.run(
        "target-progress",
        "real",
        SIZES,
        {
            "cpu": Figure(0.2, "of a core", TARGET.core_share),
            "running_in": Figure(467.0, "1/s"),
            "push_in": Figure(99.0, "1/s"),
        },
    )
    result.run(
        "target x2",
        "hollow",
        {k: 2 * v for k, v in SIZES.items()},
        {"urgent_late": Figure(0.2, "of tasks", 0.0)},
    )
    result.gap("gangs | wide", "no room")
    return result


# The page.


def test_page_and_plots_match_the_result_file() -> None:
    assert main(["--check"]) == 0


def test_handwritten_text_has_only_figures_of_target_and_program() -> None:
    text = re.sub(r"<!-- generated.*?<!-- end -->", "", (DOCS / "CAPACITY.md").read_text(), flags=re.S)
    # 1.9 is the number of accelerators per worker.
    target_figures = {f"{v:,g}" for v in asdict(TARGET).values()} | {"4.7", "19", "930", "1.9"}
    assert f"{930 / TARGET.workers:.1f}" == "1.9" and ranking.Load().machines == 499
    # Machines, bend and interval in per cent, multiples, descriptors, an HTTP status, minutes of a run.
    program_figures = {"499", f"{slopes.MAX_BEND:.0%}"[:-1], "95", "2x", "10x", "1,024", "202", "20"}
    found = set(re.findall(r"(?<![\w.])\d[\d,.]*x?(?<![,.])", text))
    assert found <= target_figures | program_figures, found - target_figures - program_figures


def test_check_finds_a_differing_page(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    docs = write_docs(tmp_path)
    assert main(["--check"], docs=docs) == 1  # the parts of the page are still empty
    assert "differs" in capsys.readouterr().out
    assert main(["--render"], docs=docs) == 0
    assert main(["--check"], docs=docs) == 0
    text = (docs / "CAPACITY.md").read_text()
    (docs / "CAPACITY.md").write_text(text.replace("12,000", "11,000"))
    assert main(["--check"], docs=docs) == 1
    (docs / "CAPACITY.md").write_text(text)
    (docs / "capacity/left.svg").write_text("<svg/>")
    assert main(["--check"], docs=docs) == 1


def write_docs(folder: Path) -> Path:
    """Write an empty page and a result file to a folder."""
    docs = folder / "docs"
    (docs / "capacity").mkdir(parents=True)
    parts = "".join(f"\n<!-- generated: {name} -->\n<!-- end -->\n" for name in page.PARTS)
    (docs / "CAPACITY.md").write_text(f"# Capacity\n{parts}")
    sample().save(docs / "capacity/result.json")
    return docs


def test_rendering_is_idempotent_and_keeps_handwritten_text(tmp_path: Path) -> None:
    docs = write_docs(tmp_path)
    assert main(["--render"], docs=docs) == 0
    first = {path.name: path.read_bytes() for path in docs.rglob("*.*")}
    assert main(["--render"], docs=docs) == 0
    assert {path.name: path.read_bytes() for path in docs.rglob("*.*")} == first
    assert {"scheduler-workers.svg", "member-schedulers.svg"} <= set(first)
    assert first["CAPACITY.md"].startswith(b"# Capacity\n")
    assert not any(b"date>" in data for data in first.values())


def test_changes_since_an_earlier_result_are_shown_for_equal_runs_only(tmp_path: Path) -> None:
    before, now = Result(), Result()
    for result, served, failed in ((before, 0.0, 467.0), (now, 467.0, 0.0)):
        figures = {"tasks_served": Figure(served, "tasks"), "tasks_failed": Figure(failed, "tasks", 0.0),
                   "tasks_open": Figure(467.0, "tasks")}
        result.run("replaced", "real", {"schedulers": 9}, figures)
        result.run("killed", "real", {"schedulers": served}, figures)  # at another size
        result.run("restarted", "real", {"schedulers": 9}, figures, seed=int(served))
    assert "Not measured" in page.parts(now)["mechanism"]
    rows = page.parts(now, before)["mechanism"].splitlines()[2:]
    assert rows == ["| replaced, real, seed 1 | tasks_served | 0 tasks | 467 tasks |",
                    "| replaced, real, seed 1 | tasks_failed | 467 tasks | 0 tasks |"]
    # The page is rendered with before.json from the result's folder; an unreadable one is a usage error.
    docs = write_docs(tmp_path)
    now.save(docs / "capacity/result.json")
    before.save(docs / "capacity/before.json")
    assert main(["--render"], docs=docs) == 0
    assert rows[0] in (docs / "CAPACITY.md").read_text()
    (docs / "capacity/before.json").write_text("{")
    assert main(["--check"], docs=docs) == 2


def test_tables_keep_their_columns_despite_special_characters() -> None:
    for name, text in page.parts(sample()).items():
        width = 0
        for row in text.splitlines():
            columns = row.replace("\\|", "").count("|")
            assert not (width and columns) or columns == width, (name, row)
            width = columns


@pytest.mark.parametrize(
    "change",
    [
        lambda t: t.replace("<!-- generated: gaps -->\n<!-- end -->", ""),
        lambda t: t + "<!-- generated: gaps -->\n<!-- end -->\n",
        lambda t: t + "<!-- generated: other -->\n<!-- end -->\n",
        lambda t: t + "<!-- generated: gaps -->\n",
    ],
)
def test_wrong_markers_are_a_one_line_error(
    change: object, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    docs = write_docs(tmp_path)
    text = change((docs / "CAPACITY.md").read_text())  # type: ignore[operator]
    (docs / "CAPACITY.md").write_text(text)
    assert main(["--render"], docs=docs) == 2
    assert is_one_line(capsys.readouterr().err) and (docs / "CAPACITY.md").read_text() == text


def test_numbers_are_formatted_alike_on_every_machine() -> None:
    written = {
        0: "0",
        1234.4: "1,234",
        467: "467",
        2.5: "2.5",
        123_456: "123,000",
        3.2e-5: "3.2e-05",
        float("inf"): "without bound",
    }
    assert {value: page.number(value) for value in written} == written
    assert page.number(0.30049999999999999) == page.number(0.3005) == page.number(0.3005 + 6e-17)


# Slopes.


def test_an_exact_line_has_no_spread() -> None:
    line = slopes.fit(points({s: [3 + 0.5 * s] for s in (60.0, 120.0, 490.0, 1000.0)}))
    assert (
        line.slope == pytest.approx(0.5)
        and line.intercept == pytest.approx(3)
        and line.r2 == pytest.approx(1)
    )
    assert line.slope_spread == pytest.approx(0, abs=1e-9) and line.straight and not line.fault
    assert line.at(2000)[0] == pytest.approx(1003) and line.size_at_limit(253) == pytest.approx(500)
    assert max(map(abs, line.residuals)) == pytest.approx(0, abs=1e-9)


def test_the_spread_matches_the_textbook_formula() -> None:
    # y = 2x with +1, -1, -1, +1: slope 2, squared residuals 4, width 5, 2 degrees of freedom.
    line = slopes.fit(points({1.0: [3.0], 2.0: [3.0], 3.0: [5.0], 4.0: [9.0]}))
    assert line.slope == pytest.approx(2.0)
    assert line.slope_spread == pytest.approx(4.303 * (2.0 / 5) ** 0.5)
    assert line.residuals == pytest.approx((1, -1, -1, 1))
    assert line.r2 == pytest.approx(1 - 4 / 24)


def test_noise_is_no_bend_and_the_interval_has_its_nominal_coverage() -> None:
    rng, covered, straight = Random(5), 0, 0
    for _ in range(200):
        line = slopes.fit(
            points(
                {
                    s: [10 + 0.2 * s + rng.gauss(0, 2) for _ in range(3)]
                    for s in (60.0, 120.0, 250.0, 490.0, 1000.0)
                }
            )
        )
        covered += abs(line.slope - 0.2) <= line.slope_spread
        straight += line.straight
    assert 180 <= covered <= 199 and straight >= 180


def test_a_curve_is_not_straight() -> None:
    square = slopes.fit(points({n: [100 * n * n] for n in (1.0, 3.0, 9.0, 18.0)}))
    assert not square.straight and square.fault.startswith("bent")
    step = slopes.fit(points({s: [1.0 if s < 400 else 5.0] for s in (60.0, 120.0, 250.0, 490.0, 1000.0)}))
    assert not step.straight
    slight = slopes.fit(points({s: [s + 1e-5 * s * s] for s in (60.0, 120.0, 490.0, 1000.0)}))
    assert slight.straight  # significant, but negligible within the sizes


def test_constant_values_are_straight_and_never_reach_a_limit() -> None:
    line = slopes.fit(points({s: [27.0] for s in (1.0, 2.0, 3.0, 4.0)}))
    assert (
        line.straight
        and line.r2 == 1
        and line.size_at_limit(64.0) is None
        and line.at(10)[0] == pytest.approx(27)
    )
    assert slopes.fit(points({s: [0.0] for s in (1.0, 2.0, 3.0, 4.0)})).straight


@pytest.mark.parametrize(
    "values",
    [
        {1.0: [1.0, 1.1], 2.0: [2.0, 2.1], 3.0: [3.0, 2.9]},
        {1.0: [1.0], 2.0: [2.0], 3.0: [3.0], 4.0: []},
        {1.0: [1.0], 2.0: [2.0], 3.0: [3.0], 4.0: [float("nan")]},
    ],
)
def test_fewer_than_four_finite_sizes_are_no_slope(values: dict[float, list[float]]) -> None:
    with pytest.raises(slopes.SlopeError, match="not a slope"):
        slopes.fit(points(values))


# The table.


def rows_of(result: Result) -> dict[tuple[str, str, str], table.Row]:
    return {(r.name.role, r.name.part, r.name.quantity): r for r in table.rows(result)}


def test_all_expected_rows_exist_without_a_run() -> None:
    found = rows_of(Result())
    assert {role for role, _, _ in found} == {"scheduler", "member", "discovery", "worker", "configuration"}
    assert {"decisions", "clients", "workers", "callbacks", "watch", "console"} <= {p for _, p, _ in found}
    assert {row.verdict for row in found.values()} == {table.Verdict.NOT_MEASURED}
    assert all(row.mechanism for row in found.values())


def test_verdicts_are_computed_from_value_and_limit() -> None:
    found, verdict = rows_of(sample()), table.Verdict
    assert found["scheduler", "", "cpu"].value == pytest.approx(30_000)
    assert found["scheduler", "", "cpu"].verdict is verdict.HOLDS
    assert found["scheduler", "", "memory"].verdict is verdict.FAILS
    assert found["scheduler", "control", "bytes"].verdict is verdict.HOLDS
    assert found["scheduler", "", "bytes"].verdict is verdict.NO_LIMIT
    assert found["scheduler", table.PROGRESS, "cpu"].verdict is verdict.FAILS
    assert found["discovery", "", "cpu"].verdict is verdict.NOT_MEASURED
    assert [table.judge(v, 5.0) for v in (5.0, 5.001, None)] == [
        verdict.HOLDS,
        verdict.FAILS,
        verdict.NOT_MEASURED,
    ]
    failing = [line for line in page.parts(sample())["table"].splitlines() if "**fails**" in line]
    assert len(failing) == sum(r.verdict is verdict.FAILS for r in found.values()) == 2


def test_messages_of_a_part_are_summed_and_progress_has_its_own_run() -> None:
    found = rows_of(sample())
    assert found["scheduler", "workers", "messages_in"].value == pytest.approx(3.5)
    assert found["scheduler", "progress", "messages_in"].value == pytest.approx(467)
    assert [t.value for t in table.control(found.values())] == [12_000, None, 30, 31_000, None]


def test_a_line_gives_the_target_value_only_if_straight_and_other_sizes_match() -> None:
    result, sizes = Result(), (60.0, 120.0, 490.0, 1000.0)
    result.sweep(
        "scheduler",
        "memory",
        "MiB",
        "workers",
        "hollow",
        {s: [20 + s / 100] for s in sizes},
        running=4200.0,
        schedulers=9.0,
    )
    assert rows_of(result)["scheduler", "", "memory"].value == pytest.approx(24.9 * 1.048576)
    result.sweeps[0] = type(result.sweeps[0])(
        "scheduler", "memory", "MB", "workers", {"running": 500.0}, "hollow", result.sweeps[0].points
    )
    assert rows_of(result)["scheduler", "", "memory"].verdict is table.Verdict.NOT_MEASURED
    square = next(s for s in table.slopes(sample()) if s.sweep.axis == "schedulers")
    assert square.line and square.fault.startswith("bent") and square.at(1.0) is None


def test_target_sizes_scale_with_the_number_of_schedulers() -> None:
    assert table.target_size("running", {"schedulers": 1.0}) == pytest.approx(4200 / 9)
    assert (
        table.target_size("running", {}) == 4200 and table.target_size("workers", {"schedulers": 1.0}) == 490
    )
    assert table.target_size("loss", {}) is None


def test_a_bent_sweep_gives_the_value_measured_at_the_target_size() -> None:
    row = rows_of(sample())["member", "", "bytes_out"]
    assert (
        row.value == 8100
        and row.source.startswith("the target's size itself")
        and row.note.startswith("bent")
    )
    assert row.verdict is table.Verdict.HOLDS  # the limit is half of 19 KB a second


def test_traced_memory_is_not_process_memory() -> None:
    result = Result()
    line = {s: [s * 1000] for s in (500.0, 1050.0, 4200.0, 8400.0)}
    held = {k: v for k, v in SIZES.items() if k != "running"}
    result.sweep("scheduler", "memory", "bytes", "running", "hollow", line, **held)
    found = rows_of(result)
    assert found["scheduler", "decisions", "state_bytes"].value == pytest.approx(4_200_000)
    assert found["scheduler", "", "memory"].verdict is table.Verdict.NOT_MEASURED


def test_the_slowest_kind_of_change_counts() -> None:
    figures = {
        "settings_in_force_most": Figure(0.4, "s"),
        "list_in_force_most": Figure(6.0, "s"),
        "cpu": Figure(0.5, "of a core"),
    }
    result = Result()
    result.run("changes", "real", SIZES | {"changes": 20.0}, figures)
    found = rows_of(result)
    assert found["configuration", "", "in_force"].value == 6
    assert found["configuration", "", "in_force"].verdict is table.Verdict.FAILS
    assert (
        found["scheduler", "", "cpu"].verdict is table.Verdict.NOT_MEASURED
    )  # it includes the polls of the console


def test_limits_are_sorted_by_the_size_that_exceeds_them() -> None:
    result, sizes = Result(), (60.0, 120.0, 490.0, 1000.0)
    result.sweep("scheduler", "cpu", "µs/s", "workers", "hollow", {s: [s * 10] for s in sizes})
    result.sweep("scheduler", "memory", "MB", "workers", "hollow", {s: [10 + s / 10] for s in sizes})
    result.sweep("scheduler", "descriptors", "", "workers", "hollow", {s: [100.0] for s in sizes})
    found = table.breaks(result)
    assert [b.name.quantity for b in found] == ["memory", "cpu", "descriptors"]
    assert found[0].factor == pytest.approx(540 / 490) and found[2].factor is None
    assert found[1].values == pytest.approx((4900, 9800, 49_000))


# Failures and ranking.


def test_load_derived_from_the_target() -> None:
    load_ = ranking.Load()
    assert load_.run_s == pytest.approx(150) and load_.machines == 499
    assert load_.tasks == (3500, 112_000) and load_.peak_s == pytest.approx((125, 4000))
    assert load_.scheduler_restarts + load_.worker_restarts == pytest.approx(150)
    assert load_.scheduler_restarts == pytest.approx(150 * 9 / 499)


def result_of(runs: dict[str, dict[str, float]]) -> Result:
    """Return a result with these real runs, whose figures are shares or counts without a unit."""
    result = Result()
    for name, figures in runs.items():
        result.run(name, "real", {"running": 4200.0}, {k: Figure(v, "") for k, v in figures.items()})
    return result


def test_real_and_hollow_runs_are_compared_only_at_equal_sizes() -> None:
    result = Result()
    result.run("target", "real", SIZES, {"taken": Figure(0.8, ""), "cpu": Figure(1.0, "")})
    result.run("target", "hollow", SIZES | {"schedulers": 1.0}, {"taken": Figure(0.1, "")})
    result.run("target", "hollow", SIZES, {"taken": Figure(0.6, ""), "steps": Figure(1.0, "")})
    (pair,) = table.pairs(result)
    assert (pair.key, pair.real, pair.hollow) == ("taken", 0.8, 0.6) and pair.apart == pytest.approx(-0.25)
    assert "| 0.8 | 0.6 | -0.25 |" in page.parts(result)["compare"]


def test_larger_runs_are_those_beyond_the_target() -> None:
    result = sample()
    result.run(
        "target, one scheduler", "hollow", SIZES | {"schedulers": 1.0}, {"open": Figure(4200.0, "", 640.0)}
    )
    assert [(run.name, key) for run, key, _, _ in table.larger_runs(result)] == [("target x2", "urgent_late")]


def test_a_falling_line_is_not_extrapolated_below_zero() -> None:
    result = Result()
    line = {s: [1000 - s] for s in (60.0, 120.0, 490.0, 900.0)}
    result.sweep("scheduler", "cpu", "µs/s", "workers", "hollow", line)
    (slope,) = table.slopes(result)
    assert slope.at(1.0) and slope.at(10.0) is None and table.breaks(result)[0].values[2] is None


def test_causes_are_ranked_by_harmed_tasks_and_unmeasured_ones_come_last() -> None:
    found = ranking.rank(
        result_of(
            {
                "restarted": {"met": 50, "met_served": 5, "met_open": 0, "met_failed": 45},
                "gangs of 32, 40 slots, load 0.1": {"begun_32": 0.01},
                "gangs of 32, 40 slots, load 0.1, one scheduler": {"begun_32": 0.0},
                "target": {"urgent_within_1s": 1.0},
                "killed": {"tasks_open": 50, "tasks_served": 0, "tasks_still_open": 0},
                "zone cut off": {"met": 700, "met_served": 350, "met_failed": 350},
            }
        )
    )
    restart, gangs, killed, zone, urgent = found[:5]
    assert [h.run.split()[0] for h in found[:5]] == ["restarted", "gangs", "killed", "zone", "target"]
    assert gangs.tasks == pytest.approx((3500 * 0.01 * 32 * 0.99, 3500 * 0.1 * 32 * 0.99))
    mean_running = 3500 / 86_400 * 150
    assert restart.share == pytest.approx(0.9)
    assert restart.tasks == pytest.approx(
        (mean_running / 9 * 150 * 9 / 499 * 0.9, 4200 / 9 * 150 * 0.9)
    )
    assert zone.tasks == pytest.approx((mean_running * 2 / 365 / 12, 4200 * 5 / 365 / 12))
    assert killed.share == 1 and urgent.tasks == (0, 0) and all(h.tasks is None for h in found[5:])


def test_refusals_of_an_even_team_are_subtracted_from_those_of_an_uneven_one() -> None:
    def team(**begun: float) -> ranking.Harm:
        result = result_of({f"quota, inside, {k}": {"begun_over_asked": v} for k, v in begun.items()})
        return next(h for h in ranking.rank(result) if h.title.startswith("A team"))

    assert team(one=0.70, even=0.85).share == pytest.approx(0.15)
    assert team(one=0.86, even=0.85).share == 0 and team(one=0.7).share is None


def test_real_runs_precede_hollow_ones_and_figures_that_are_no_share_are_skipped() -> None:
    result = Result()
    for source, late in (("hollow", 0.9), ("real", 0.2)):
        result.run("target", source, {}, {"urgent_late": Figure(late, "of tasks")})  # type: ignore[arg-type]
    urgent = next(h for h in ranking.rank(result) if h.title.startswith("Urgent"))
    assert (urgent.share, urgent.source) == (0.2, "real")
    result.runs[1].figures["urgent_late"] = Figure(0.2, "s")
    urgent = next(h for h in ranking.rank(result) if h.title.startswith("Urgent"))
    assert (urgent.share, urgent.source) == (0.9, "hollow")


def test_exceeded_limits_are_sorted_by_factor() -> None:
    result = sample()
    found = ranking.exceeded_limits(table.rows(result), result.runs)
    assert found[0].factor == float("inf") and found == sorted(found, key=lambda p: -p.factor)
    assert [p.limit for p in found if p.value == 70] == [64]  # only the row, not also the run's figure


def test_each_kind_of_failure_knows_whether_it_was_measured() -> None:
    result = result_of({"scheduler killed": {"met": 1}, "regions-cut": {"met": 0}})
    found = {f.kind: f.measured for f in failures.failures(result.runs)}
    assert len(found) == 8
    assert {k for k, measured in found.items() if measured} == {
        "A scheduler's machine fails",
        "The regions lose each other",
    }


# The command.


def is_one_line(text: str) -> bool:
    return text.startswith("capacity: ") and text.count("\n") == 1


@pytest.mark.parametrize(
    "arguments",
    [
        ["--seed", "x"],
        ["--seed", "-1"],
        ["--only", "other"],
        ["--only", "real"],
        ["--small"],
        ["--what"],
        ["more"],
        ["--render", "--check"],
        ["--render", "--small"],
        ["--out", "/nowhere/at/all"],
        ["--out", "/"],
    ],
)
def test_a_bad_argument_is_a_one_line_error(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(arguments, parts={"real": fail_if_measured, "hollow": fail_if_measured}) == 2
    assert is_one_line(capsys.readouterr().err)


def fail_if_measured(result: Result, **_: object) -> None:
    raise AssertionError("measured despite bad arguments")


def test_a_partial_run_cannot_replace_the_pages_result_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    docs = write_docs(tmp_path)
    arguments = ["--only", "real", "--out", str(docs / "capacity/result.json")]
    assert main(arguments, parts={"real": fail_if_measured}, docs=docs) == 2
    assert is_one_line(capsys.readouterr().err)


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b'{"version": 2}',
        b'{"runs": [{"name": 1}]}',
        b"[]",
        b'{"sweeps": [{"role": "scheduler"}]}',
    ],
)
@pytest.mark.parametrize("arguments", [["--render"], ["--check"], []])
def test_an_invalid_result_file_is_a_one_line_error(
    content: bytes, arguments: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    docs = write_docs(tmp_path)
    (docs / "capacity/result.json").write_bytes(content)
    before = (docs / "CAPACITY.md").read_bytes()
    assert main(arguments, parts={"real": fail_if_measured}, docs=docs) == 2
    assert is_one_line(capsys.readouterr().err) and (docs / "CAPACITY.md").read_bytes() == before


def test_a_complete_run_writes_result_page_plots(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    docs = write_docs(tmp_path)

    def real(result: Result, *, small: bool, seed: int, say: object, track: object) -> None:
        assert not small and seed == 7
        result.sweeps, result.runs = sample().sweeps, sample().runs

    assert main(["--seed", "7"], parts={"real": real}, docs=docs) == 0
    written = load(docs / "capacity/result.json")
    assert written.runs == sample().runs and written.calibration_ms > 0 and written.peak_processes >= 1
    assert written.peak_memory_mib > 1 and "peaks: " in capsys.readouterr().out
    assert main(["--check"], docs=docs) == 0


def test_a_failing_part_leaves_all_files_unchanged(tmp_path: Path) -> None:
    docs = write_docs(tmp_path)
    before = {path: path.read_bytes() for path in docs.rglob("*.*")}

    def real(result: Result, **_: object) -> None:
        raise OSError("no room")

    with pytest.raises(OSError, match="no room"):
        main([], parts={"real": real}, docs=docs)
    assert {path: path.read_bytes() for path in docs.rglob("*.*")} == before


# A part that starts a process with a child, prints their ids and runs on. "deaf": the part and its processes
# ignore interruptions.
PART_SCRIPT = """
import signal, subprocess, sys, time
from pathlib import Path
from hazellead.lab.capacity import __main__ as command

deaf, docs, limit = sys.argv[1] == "deaf", Path(sys.argv[2]), float(sys.argv[3])
command.GRACE_S = 0.3
HUSH = "import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN); " if deaf else ""
SLEEP = HUSH + "import time; print(flush=True); time.sleep(60)"
CHILD = f"import subprocess, sys; print(subprocess.Popen([sys.executable, '-c', {SLEEP!r}]).pid); " + SLEEP

def part(result, *, small, seed, say, track):
    child = subprocess.Popen([sys.executable, "-c", CHILD], stdout=subprocess.PIPE, text=True)
    track(child.pid)
    grand = int(child.stdout.readline())
    child.stdout.readline()
    child.stdout.readline()
    say(f"pids {child.pid} {grand}")
    while True:
        try:
            time.sleep(60)
        except KeyboardInterrupt:
            if not deaf:
                raise

sys.exit(command.main(["--seed", "3"], parts={"real": part}, docs=docs, max_run_s=limit))
"""


def alive(pid: int) -> bool:
    return peaks._identify(pid) is not None


@pytest.mark.parametrize(
    ("kind", "number", "code"),
    [
        ("heeding", signal.SIGINT, 130),
        ("heeding", signal.SIGTERM, 143),
        ("deaf", signal.SIGINT, 130),
        ("deaf", signal.SIGTERM, 143),
    ],
)
def test_an_interrupted_run_leaves_files_unchanged_and_no_process(
    kind: str, number: signal.Signals, code: int, tmp_path: Path
) -> None:
    docs = write_docs(tmp_path)
    before = {path: path.read_bytes() for path in docs.rglob("*.*")}
    run = subprocess.Popen(
        [sys.executable, "-c", PART_SCRIPT, kind, str(docs), "60"],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert run.stdout
    pids = [int(p) for p in next(line for line in run.stdout if "pids" in line).split()[-2:]]
    assert all(map(alive, pids))
    run.send_signal(number)
    _, error_output = run.communicate(timeout=30)
    assert run.returncode == code and is_one_line(error_output), error_output
    assert not any(map(alive, pids))
    assert {path: path.read_bytes() for path in docs.rglob("*.*")} == before


def test_a_run_ends_itself_at_its_time_limit(tmp_path: Path) -> None:
    docs = write_docs(tmp_path)
    before = (docs / "capacity/result.json").read_bytes()
    run = subprocess.run(
        [sys.executable, "-c", PART_SCRIPT, "heeding", str(docs), "1"],
        cwd=ROOT,
        text=True,
        timeout=30,
        capture_output=True,
        check=False,
    )
    assert run.returncode == 1 and is_one_line(run.stderr) and "over 1 s" in run.stderr
    pids = [int(p) for p in next(line for line in run.stdout.splitlines() if "pids" in line).split()[-2:]]
    assert not any(map(alive, pids)) and (docs / "capacity/result.json").read_bytes() == before


def test_peaks_cover_this_process_and_its_descendants() -> None:
    called: list[str] = []
    watch = peaks.Peaks(1.0, 100, 100.0, called.append)
    watch.sample()
    alone, processes = watch.memory_mib, watch.processes
    code = "x = bytearray(64 << 20); x[::4096] = b'x' * len(x[::4096]); print(flush=True); input()"
    child = subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert child.stdout and child.stdout.readline()
    watch.sample()
    assert watch.memory_mib > alone + 64 and watch.processes == processes + 1
    watch.start()
    until = time.monotonic() + 10
    while not called and time.monotonic() < until:
        time.sleep(0.02)
    assert called and called[0].startswith("over 1 MiB") and len(called) == 1
    assert watch.close() == [child.pid] and child.wait(5) == -signal.SIGTERM
    assert not alive(child.pid) and alive(os.getpid())


def test_schedulers_do_not_import_the_pages_libraries() -> None:
    code = (
        "import sys; import hazellead.__main__, hazellead.sim.host; "
        "print(sorted({'matplotlib', 'jinja2', 'numpy'} & set(sys.modules)))"
    )
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, check=True)
    assert run.stdout.strip() == "[]"
    listed = (ROOT / "requirements.txt").read_text() + (ROOT / "requirements-peers.txt").read_text()
    assert importlib.util.find_spec("matplotlib") and "matplotlib" not in listed and "jinja2" not in listed


def test_every_sweep_is_in_exactly_one_plot() -> None:
    found = table.slopes(sample())
    assert sum(len(some) for some in table.plot_groups(found).values()) == len(found) == 4
