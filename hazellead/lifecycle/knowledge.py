"""Encoding of the dispatcher's knowledge of workers and tenants for the successor of a process. No I/O.

Workers are identified by their uids: their numbers differ from process to process.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import fields
from typing import Any

from hazellead.decide.estimates import Estimate, SharedEstimates, WorkerEstimates
from hazellead.decide.records import INHERITED_FIELDS
from hazellead.lifecycle.messages import MessageError

_ESTIMATE_FIELDS = tuple(
    f.name for f in fields(WorkerEstimates) if f.name not in ("worker", "started_us", "own"))


def encode(
    known: SharedEstimates, uid_of: Callable[[int], str], classes: Sequence[str], tenants: Sequence[str],
) -> dict[str, Any]:
    """Return ``known`` as JSON values; ``classes`` and ``tenants`` are names in the order of its figures."""
    return {
        "workers": [{"uid": uid_of(w.worker), "started_us": w.started_us, "own": w.own}
                    | {f: _encode_estimate(getattr(w, f)) for f in _ESTIMATE_FIELDS} for w in known.workers],
        "runs": {c: _encode_estimate(e) for c, e in zip(classes, known.runs, strict=False)},
        "demand": {t: _encode_estimate(e) for t, e in zip(tenants, known.demand, strict=False)},
        "factor": _encode_estimate(known.factor), "tokens": dict(zip(tenants, known.tokens, strict=False)),
    }


def decode(
    body: Any, number_of: Callable[[str], int | None], classes: Sequence[str], tenants: Sequence[str],
) -> SharedEstimates:
    """Return the knowledge in ``body``, without workers, classes and tenants that are unknown here.

    ``number_of`` returns a worker's number here, None if it is unknown. Raises MessageError.
    """
    try:
        workers = [
            WorkerEstimates(n, int(w["started_us"]), **{f: _decode_estimate(w[f]) for f in _ESTIMATE_FIELDS},
                        own=_decode_own(w["own"]))
            for w in body["workers"] if (n := number_of(str(w["uid"]))) is not None]
        runs, demand = (
            {str(k): _decode_estimate(v) for k, v in body[key].items()} for key in ("runs", "demand"))
        return SharedEstimates(tuple(workers), tuple(runs.get(c, Estimate()) for c in classes),
                               tuple(demand.get(t, Estimate()) for t in tenants),
                               _decode_estimate(body["factor"]),
                               _finite(body["tokens"].get(t, 0.0) for t in tenants))
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"malformed knowledge: {error}") from None


def _decode_own(raw: Any) -> tuple[float, ...]:
    if len(values := _finite(raw)) not in (0, len(INHERITED_FIELDS)):
        raise ValueError("wrong number of values in own")
    return values


def _finite(raw: Iterable[Any]) -> tuple[float, ...]:
    values = tuple(float(value) for value in raw)
    if not all(map(math.isfinite, values)):
        raise ValueError("a value is not finite")
    return values


def _encode_estimate(estimate: Estimate) -> list[float]:
    return [estimate.value, float(estimate.weight), estimate.at_us]


def _decode_estimate(raw: Any) -> Estimate:
    value, weight, at_us = raw
    return Estimate(float(value), float(weight), int(at_us))
