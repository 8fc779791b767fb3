"""Finds the keys that a new configuration file lacks, compared with the file in force."""

from collections.abc import Iterator, Mapping, Sequence
from functools import reduce
from typing import Any

GUARDED = "guarded"  # the effect of a class whose repeats are discarded by some workers, for some time
GUARDED_KEYS = ("group", "keyTtlUs")

Table = Mapping[str, Any]


def missing_keys(current: Any, new: Any, path: str = "") -> Iterator[str]:
    """Yield the paths of the keys in ``current`` that ``new`` lacks.

    In a list of objects those of one name are compared. Some objects may be left out, and one of a new name
    needs the keys that all objects of the current list have.
    """
    if _is_structured(current) and type(current) is not type(new):
        yield path
    elif isinstance(current, Mapping):
        for key, value in current.items():
            where = f"{path}.{key}" if path else key
            if key in new:
                yield from missing_keys(value, new[key], where)
            else:
                yield where
    elif _is_list_of_objects(current):
        if _is_list_of_objects(new):
            yield from _missing_in_rows(current, new, path)
        else:
            yield path


def _missing_in_rows(current: Sequence[Table], new: Sequence[Table], path: str) -> Iterator[str]:
    by_name = {str(row.get("name", i)): row for i, row in enumerate(current)}
    in_all = reduce(_common, current)
    for i, row in enumerate(new):
        name = str(row.get("name", i))
        where = f"{path}.{name}"
        yield from missing_keys(by_name.get(name, in_all), row, where)
        if row.get("effect") == GUARDED and by_name.get(name, {}).get("effect") != GUARDED:
            yield from (f"{where}.{key}" for key in GUARDED_KEYS if key not in row)


def _is_structured(value: Any) -> bool:
    return isinstance(value, Mapping) or _is_list_of_objects(value)


def _is_list_of_objects(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(row, Mapping) for row in value)


def _common(a: Table, b: Table) -> Table:
    """Return the keys that both objects have, at all levels; the values are those of ``a``."""
    common = dict[str, Any]()
    for key in a.keys() & b.keys():
        both_nested = isinstance(a[key], Mapping) and isinstance(b[key], Mapping)
        common[key] = _common(a[key], b[key]) if both_nested else a[key]
    return common
