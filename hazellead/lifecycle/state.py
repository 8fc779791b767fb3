"""What a process knows of workers and tenants, as its successor takes it over. Pure.

Workers go by their names: numbers are a process's own.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import fields
from typing import Any

from hazellead.decide.estimates import Estimate, SharedEstimates, WorkerEstimates
from hazellead.decide.records import INHERITED_FIELDS
from hazellead.lifecycle.messages import MessageError

_FACTS = tuple(f.name for f in fields(WorkerEstimates) if f.name not in ("worker", "started_us", "own"))


def write(
    known: SharedEstimates, name: Callable[[int], str], classes: Sequence[str], tenants: Sequence[str],
) -> dict[str, Any]:
    """Turn it into plain values, with the names of the classes and tenants that its figures are for."""
    return {
        "workers": [{"uid": name(w.worker), "started_us": w.started_us, "own": w.own}
                    | {f: _plain(getattr(w, f)) for f in _FACTS} for w in known.workers],
        "runs": {c: _plain(e) for c, e in zip(classes, known.runs, strict=False)},
        "demand": {t: _plain(e) for t, e in zip(tenants, known.demand, strict=False)},
        "factor": _plain(known.factor), "tokens": dict(zip(tenants, known.tokens, strict=False)),
    }


def read(
    body: Any, number: Callable[[str], int | None], classes: Sequence[str], tenants: Sequence[str],
) -> SharedEstimates:
    """Read it again, less what nobody here knows; raises MessageError."""
    try:
        workers = [
            WorkerEstimates(
                n, int(w["started_us"]), **{f: _estimate(w[f]) for f in _FACTS}, own=_own(w["own"]))
            for w in body["workers"] if (n := number(str(w["uid"]))) is not None]
        runs, demand = ({str(k): _estimate(v) for k, v in body[key].items()} for key in ("runs", "demand"))
        return SharedEstimates(tuple(workers), tuple(runs.get(c, Estimate()) for c in classes),
                     tuple(demand.get(t, Estimate()) for t in tenants), _estimate(body["factor"]),
                     _finite(body["tokens"].get(t, 0.0) for t in tenants))
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"malformed knowledge: {error}") from None


def _own(given: Any) -> tuple[float, ...]:
    if len(values := _finite(given)) not in (0, len(INHERITED_FIELDS)):
        raise ValueError("own figures")
    return values


def _finite(given: Iterable[Any]) -> tuple[float, ...]:
    values = tuple(float(value) for value in given)
    if not all(map(math.isfinite, values)):
        raise ValueError("no finite figures")
    return values


def _plain(estimate: Estimate) -> list[float]:
    return [estimate.value, float(estimate.weight), estimate.at_us]


def _estimate(given: Any) -> Estimate:
    value, weight, at_us = given
    return Estimate(float(value), float(weight), int(at_us))
