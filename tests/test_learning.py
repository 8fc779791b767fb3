"""Facts: how they are combined, stored, exchanged, saved and adopted by a dispatcher."""

import math
from dataclasses import replace
from datetime import timedelta
from random import Random

import msgspec
import pytest
from helpers import BASE, fleet
from hypothesis import given
from hypothesis import strategies as st
from loopback import STEADY

from hazellead.decide import interface as api
from hazellead.decide.dispatcher import Dispatcher
from hazellead.decide.estimates import Estimate, SharedEstimates, WorkerEstimates
from hazellead.decide.records import MeanWithPrior
from hazellead.learning.conversion import EstimateReader, ListedWorker, Names, observations
from hazellead.learning.facts import Fact, LearningSettings, Observation, Origin, Topic, default_half_lives
from hazellead.learning.merge import WeightedValue, combine, decayed_weight
from hazellead.learning.store import Batch, Knowledge
from hazellead.snapshots.file import SnapshotFile
from hazellead.snapshots.format import Snapshot, SnapshotError, decode, encode

S = 1_000_000
NOW = 1_000_000 * S
SETTINGS = LearningSettings(default_half_lives())
NAMES = Names(("a", "b", "c"), ("t1", "t2"))


def knowledge(name: str, started_us: int = 1, settings: LearningSettings = SETTINGS) -> Knowledge:
    return Knowledge(Origin(name, started_us), settings, Random(name))


def pace_observation(
    value: float, weight: float = 30, worker: str = "w-1", worker_started_us: int = 0, at: int = NOW,
) -> Observation:
    return Observation(Topic.PACE, worker, worker_started_us, value, weight, at)


def exchange(
    source: Knowledge, target: Knowledge, now: int = NOW, clock_offset: int = 0, budget: int = 10**6,
) -> int:
    return target.merge(now, source.delta(target.digest(), budget), clock_offset)


def reader(k: Knowledge) -> EstimateReader:
    return EstimateReader(k, SETTINGS, NAMES)


def combined_pace(k: Knowledge, now: int = NOW, worker_started_us: int = 0, worker: str = "w-1") -> Estimate:
    return reader(k).estimate(Topic.PACE, worker, worker_started_us, now, 1.0)


def test_evidence_counts_once_whichever_way_it_arrives() -> None:
    a, b, c = knowledge("a"), knowledge("b"), knowledge("c")
    a.publish(NOW, [pace_observation(2.0)])
    assert exchange(a, b) == 1 and exchange(a, b) == 0
    assert exchange(b, c) == 1 and exchange(a, c) == 0 and exchange(c, b) == 0
    assert exchange(b, a) == exchange(c, a) == 0  # A's own facts are not merged
    assert (combined_pace(a).weight == 0 and combined_pace(b) == combined_pace(c)
            and combined_pace(b).weight == 30)


def test_repeated_exchange_between_two_instances_adds_no_evidence() -> None:
    a, b = knowledge("a"), knowledge("b")
    a.publish(NOW, [pace_observation(3.0, weight=1)])
    for i in range(50):
        exchange(a, b, NOW + i)
        exchange(b, a, NOW + i)
    assert combined_pace(b).weight == 1 and combined_pace(a).weight == 0
    assert 1.0 < combined_pace(b).value < 3.0  # the default counts as one observation


def test_facts_lose_weight_with_age_and_expire() -> None:
    a, b = knowledge("a"), knowledge("b")
    a.publish(NOW, [pace_observation(2.0)])
    exchange(a, b)
    half_life = SETTINGS.half_lives[Topic.PACE]
    assert combined_pace(b, NOW + half_life).weight == pytest.approx(15)
    assert combined_pace(b, NOW + 4 * half_life).value < combined_pace(b, NOW).value
    assert (b.expire(NOW + 20 * half_life) == 1 and not b.count
            and combined_pace(b, NOW + 20 * half_life).weight == 0)


def test_clocks_hours_apart_agree_on_a_facts_age() -> None:
    hours, a, b = 5 * 3600 * S, knowledge("a"), knowledge("b")
    a.publish(NOW - hours, [pace_observation(2.0, at=NOW - hours - 10 * S)])
    exchange(a, b, NOW, clock_offset=hours)
    (_, fact), = b.facts_for((Topic.PACE, "w-1"))
    assert fact.observed_us == NOW - 10 * S


def test_a_fact_with_a_time_in_the_future_is_dated_now() -> None:
    b, origin = knowledge("b"), Origin("a", 1)
    fact = Fact(Topic.PACE, "w-1", 0, 2.0, 5.0, NOW + 10**12, 1)
    b.merge(NOW, [Batch(origin, 1, [fact])])
    (_, merged), = b.facts_for((Topic.PACE, "w-1"))
    assert merged.observed_us == NOW


@given(lying_value=st.floats(0.02, 50), weight=st.floats(0.1, 1e6), true_value=st.floats(0.5, 2),
       spread=st.floats(0, 0.2))
@STEADY
def test_one_lying_source_among_five_moves_an_estimate_by_at_most_the_clamp(
    lying_value: float, weight: float, true_value: float, spread: float,
) -> None:
    rng = Random(1)
    honest = [WeightedValue(true_value * math.exp(rng.uniform(-spread, spread)), 30.0) for _ in range(4)]
    without_lying_source, _ = combine(honest, 1.0, SETTINGS)
    with_lying_source, _ = combine([*honest, WeightedValue(lying_value, weight)], 1.0, SETTINGS)
    # At most a third of the range of the clamp, plus the change of the median and the share of the default.
    assert abs(with_lying_source / without_lying_source - 1) <= (SETTINGS.clamp - 1) / 3 + 3 * spread + 0.01


def test_fewer_than_three_sources_are_limited_by_the_few_sources_clamp() -> None:
    assert combine([WeightedValue(50, 1e6)], 1.0, SETTINGS)[0] <= SETTINGS.few_sources_clamp
    assert combine(
        [WeightedValue(0.02, 1e6), WeightedValue(0.02, 1e6)], 1.0, SETTINGS,
    )[0] >= 1 / SETTINGS.few_sources_clamp


def test_invalid_facts_are_skipped() -> None:
    b = knowledge("b")
    good = Fact(Topic.PACE, "w-1", 0, 2.0, 5.0, NOW, 1)
    bad = [msgspec.structs.replace(good, seq=i, **change) for i, change in enumerate((
        {"value": 1000.0}, {"value": math.nan}, {"weight": -1.0}, {"weight": math.inf}, {"topic": 99},
        {"subject": "x" * 600}, {"worker_started_us": -5}, {"value": math.inf}), start=2)]
    assert b.merge(NOW, [Batch(Origin("a", 1), 20, [good, *bad])]) == 1 and b.count == 1


def test_facts_and_origins_are_limited_and_own_facts_are_kept() -> None:
    small = replace(SETTINGS, max_facts=50, max_origins=5, witnesses=2)
    b = knowledge("b", settings=small)
    b.publish(NOW, [pace_observation(1.5)])
    for o in range(20):
        facts = [Fact(Topic.PACE, f"w-{i}", 0, 2.0, 5.0, NOW - i * S, i + 1) for i in range(40)]
        b.merge(NOW + o, [Batch(Origin(f"o{o}", 1), 40, facts)])
        assert b.count <= 50 and len(b.digest()) <= 6
    assert any(o == b.own_origin for o, _ in b.facts_for((Topic.PACE, "w-1")))


def test_nothing_is_published_where_enough_witnesses_agree() -> None:
    b = knowledge("b")
    for o in range(SETTINGS.witnesses):
        b.merge(NOW, [Batch(Origin(f"o{o}", 1), 1, [Fact(Topic.PACE, "w-1", 0, 2.0, 30.0, NOW, 1)])])
    assert b.publish(NOW, [pace_observation(2.0, weight=20)]) == 0
    assert b.publish(NOW, [pace_observation(4.0, weight=20)]) == 1


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(1, 400)), max_size=40))
@STEADY
def test_all_instances_converge_even_if_budgets_cut_deltas_short(
    steps: list[tuple[int, int, int]],
) -> None:
    members = [knowledge(n) for n in "abc"]
    for i, k in enumerate(members):
        k.publish(NOW, [pace_observation(1.0 + i, worker=f"w-{j}") for j in range(i + 3)])
    for source, target, budget in steps:
        exchange(members[source], members[target], budget=budget)
    for _ in range(3):
        for source in members:
            for target in members:
                exchange(source, target)
    assert len({k.fingerprint() for k in members}) == 1
    assert len({tuple(sorted((f.key, o, f.value) for key in k.keys() for o, f in k.facts_for(key)))
                for k in members}) == 1


OBSERVATIONS = st.tuples(st.floats(0.1, 9), st.sampled_from([0.1, 0.2, 0.5]))


@given(st.lists(OBSERVATIONS, max_size=30), st.floats(0.2, 5))
@STEADY
def test_a_mean_replaces_its_prior_and_keeps_its_own_observations(
    observed: list[tuple[float, float]], prior_value: float,
) -> None:
    plain, late = MeanWithPrior(prior_value), MeanWithPrior(1.0)
    for x, weight in observed:
        plain.add(x, weight, 0, 0.02)
        late.add(x, weight, 0, 0.02)
    late.set_prior(Estimate(prior_value, 5.0))
    assert late.value == pytest.approx(plain.value)
    assert late.own_estimate() == plain.own_estimate() and late.own_estimate().weight == len(observed)


def shared(*workers: WorkerEstimates) -> SharedEstimates:
    return SharedEstimates(workers=workers)


def dispatcher(**changes: int) -> Dispatcher:
    d = Dispatcher(replace(BASE, reports=False, tells_start=True), 1)
    d.handle(NOW, [fleet(4, **changes)])
    return d


def test_estimates_of_another_run_of_a_worker_are_ignored() -> None:
    d, estimate = dispatcher(started_us=5), Estimate(3.0, 20.0, NOW)
    d.adopt_estimates(shared(WorkerEstimates(1, 4, pace=estimate), WorkerEstimates(2, 5, pace=estimate),
                  WorkerEstimates(99, 5, pace=estimate)))
    assert d.workers[1].pace == 1.0 and d.workers[2].pace == 3.0 and 99 not in d.workers


def test_adopted_estimates_never_end_a_workers_warm_up_but_can_restart_it() -> None:
    d = dispatcher(started_us=NOW - S)
    before = d.workers[1].cold_since
    d.adopt_estimates(shared(WorkerEstimates(1, NOW - S, broke=Estimate(1.0, 1.0, NOW - 2 * S),
                                  slots=Estimate(1000.0, 9.0, NOW))))
    assert d.workers[1].cold_since == before and d.workers[1].slots < 1000
    d.adopt_estimates(shared(WorkerEstimates(1, NOW - S, broke=Estimate(1.0, 1.0, NOW))))
    assert d.workers[1].cold_since == NOW
    d.adopt_estimates(shared(WorkerEstimates(2, NOW - S, broke=Estimate(1.0, 1.0, NOW + 10**12))))
    assert d.workers[2].cold_since == before  # a time in the future is ignored


def test_a_drain_reported_by_peers_keeps_new_jobs_away_for_a_short_time() -> None:
    d = dispatcher()
    drains = tuple(WorkerEstimates(w, 0, drain=Estimate(1.0, 1.0, NOW + S)) for w in (1, 2, 3))
    d.adopt_estimates(SharedEstimates(workers=drains))
    events = [api.Arrival(i, 2, 5 * S) for i in range(1, 4)]
    sent = {a.worker for a in d.handle(NOW + 4000, events) if isinstance(a, api.Push)}
    assert sent == {4}
    d.adopt_estimates(shared())
    more = [api.Arrival(i, 2, 5 * S) for i in range(10, 14)]
    assert {a.worker for a in d.handle(NOW + 2 * S, more) if isinstance(a, api.Push)} - {4}


def test_adopted_estimates_never_make_a_draining_or_unlisted_worker_eligible() -> None:
    d = dispatcher(phase=api.Phase.DRAINING)  # type: ignore[arg-type]
    d.adopt_estimates(shared(*(WorkerEstimates(w, 0, pace=Estimate(0.1, 99, NOW)) for w in range(1, 9))))
    assert not [a for a in d.handle(NOW + 4000, [api.Arrival(1, 2, 5 * S)]) if isinstance(a, api.Push)]


def test_adopted_estimates_are_not_published_as_own() -> None:
    d = dispatcher()
    full = Estimate(2.0, 50.0, NOW)
    d.adopt_estimates(SharedEstimates(
        workers=tuple(WorkerEstimates(w, 0, full, full, full, full, full, full) for w in range(1, 5)),
        runs=(full,) * 3, factor=Estimate(1.0, 9, NOW)))
    listed = [ListedWorker(w, f"w-{w}", 0) for w in range(1, 5)]
    published = observations(d.export_estimates(), NAMES, listed, "me", NOW)
    assert not [t for t in published if t.topic not in (Topic.DEMAND,)]


def test_a_caution_needs_two_members_or_the_only_one_there_is() -> None:
    worker = ListedWorker(1, "w-1", 7)
    b = knowledge("b")

    def report(name: str, topic: Topic, seq: int = 1) -> None:
        b.merge(NOW, [Batch(Origin(name, 1), seq, [Fact(topic, "w-1", 7, 1.0, 1.0, NOW, seq)])])

    def blame_weight() -> float:
        return reader(b).shared_estimates([worker], NOW, SharedEstimates(), ()).workers[0].blame.weight

    report("x", Topic.BLAME)
    assert blame_weight() > 0  # the only other member
    report("y", Topic.PACE)
    assert blame_weight() == 0  # only one of two members
    b.merge(NOW, [Batch(Origin("x", 2), 1, [Fact(Topic.BLAME, "w-1", 7, 1.0, 1.0, NOW, 1)])])
    assert blame_weight() == 0  # another run of the same member does not count as a second member
    report("y", Topic.BLAME, 2)
    assert blame_weight() > 0


def test_a_restarted_instance_adopts_the_demand_of_its_earlier_run_within_the_quota() -> None:
    b = knowledge("me", started_us=2)
    b.merge(NOW, [
        Batch(Origin("me", 1), 2, [Fact(Topic.DEMAND, "me/t1", 0, 30.0, 9.0, NOW, 1),
                                   Fact(Topic.DEMAND, "me/t2", 0, 900.0, 9.0, NOW, 2)]),
        Batch(Origin("x", 1), 1, [Fact(Topic.DEMAND, "x/t1", 0, 5.0, 9.0, NOW, 1)])])
    one, two = reader(b).shared_estimates([], NOW, SharedEstimates(), (25.0, 50.0)).demand
    assert one.value == pytest.approx(29.4, abs=0.5) and two.value <= 100.0


# Snapshots.


def five_facts() -> Knowledge:
    a = knowledge("a")
    a.publish(NOW, [pace_observation(2.0, worker=f"w-{i}") for i in range(5)])
    return a


def test_a_truncated_or_corrupt_snapshot_is_refused() -> None:
    data = encode(Snapshot("c", "a", NOW, five_facts().all_batches()))
    hour = timedelta(hours=1)
    assert decode(data, cluster="c", now=NOW, max_age=hour).name == "a"
    for cut in range(len(data)):
        with pytest.raises(SnapshotError):
            decode(data[:cut], cluster="c", now=NOW, max_age=hour)
        flipped = data[:cut] + bytes([data[cut] ^ 0x10]) + data[cut + 1 :]
        with pytest.raises(SnapshotError):
            decode(flipped, cluster="c", now=NOW, max_age=hour)


@pytest.mark.parametrize(("cluster", "now", "reason"), [
    ("other", NOW, "another installation"), ("c", NOW + 4000 * S, "s old"), ("c", NOW - 4000 * S, "future")])
def test_a_foreign_or_old_snapshot_is_refused(cluster: str, now: int, reason: str) -> None:
    data = encode(Snapshot("c", "a", NOW, []))
    with pytest.raises(SnapshotError, match=reason):
        decode(data, cluster=cluster, now=now, max_age=timedelta(hours=1))


def test_a_failed_write_leaves_the_old_snapshot(tmp_path: object, monkeypatch: pytest.MonkeyPatch) -> None:
    from pathlib import Path
    folder = Path(str(tmp_path))
    file = SnapshotFile(folder / "snap", "c", "a", timedelta(hours=1))
    assert file.write(five_facts(), NOW) and [p.name for p in folder.iterdir()] == ["snap"]

    def full(_: int) -> None:
        raise OSError(28, "No space left on device")

    before = (folder / "snap").read_bytes()
    monkeypatch.setattr("os.fsync", full)
    assert not file.write(knowledge("a"), NOW + S) and (folder / "snap").read_bytes() == before
    assert [p.name for p in folder.iterdir()] == ["snap"]
    one, two = knowledge("x"), knowledge("y")  # two instances that read the same file
    assert file.read(one, NOW) == file.read(two, NOW) == 5
    assert exchange(one, two) == 0 and combined_pace(one).weight == combined_pace(two).weight == 30
    assert SnapshotFile(folder / "none", "c", "a", timedelta(hours=1)).read(one, NOW) == 0


def test_weight_decays_by_half_lives() -> None:
    assert decayed_weight(8.0, 3 * S, S) == 1.0 and decayed_weight(8.0, -5, S) == 8.0


def test_facts_of_more_than_a_thousand_instances_are_kept() -> None:
    k = knowledge("me")
    for n in range(1500):
        fact = Fact(int(Topic.PACE), f"w-{n}", 0, 2.0, 20.0, NOW, 1)
        assert k.merge(NOW, [Batch(Origin(f"n{n}", 1), 1, [fact])]) == 1
    assert len(k.recent_members(NOW, 1)) == 1500
