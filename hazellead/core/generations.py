"""Settings as numbered generations: what each class and tenant of them is to the decisions. Pure.

The decisions know classes and tenants by number. A number keeps its meaning while a job of it is open, so
that each job keeps the rules it came under to its end.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from hazellead.decide import interface as api

MOST = 256  # classes and tenants that may be numbered, those that went included
GONE = 1e-9  # the portion of a tenant that is in the settings no more: 0 would mean an equal one


class TooManyError(ValueError):
    """More classes or tenants have come and gone than are kept apart."""


@dataclass(slots=True, frozen=True)
class Generation:
    """Settings in force. ``settings`` hold what open jobs of earlier ones need, too."""

    number: int
    settings: api.Settings
    rows: tuple[tuple[str, api.JobClass], ...]  # name and rules by the class's number
    tenant_rows: tuple[tuple[str, api.Tenant], ...]
    classes: tuple[int, ...]  # the numbers of the classes as the settings list them
    tenants: tuple[int, ...]
    fresh: frozenset[int] = frozenset()  # classes whose number meant another before, or nothing


def first(settings: api.Settings, classes: Sequence[str] = (), tenants: Sequence[str] = ()) -> Generation:
    """Number what a start's settings list, in their order."""
    rows = _rows(settings, classes)
    tenant_rows = _tenant_rows(settings, tenants)
    return Generation(1, _merged(settings, rows, tenant_rows), tuple(rows), tuple(tenant_rows),
                      tuple(range(len(rows))), tuple(range(len(tenant_rows))))


def follow(
    held: Generation, settings: api.Settings, classes: Sequence[str], tenants: Sequence[str],
    open_classes: Collection[int], open_tenants: Collection[int],
) -> Generation:
    """Bring new settings in force while jobs of these classes and tenants are open; raises TooManyError."""
    rows, numbers = list(held.rows), dict[int, int]()
    wanted = _rows(settings, classes)
    for i, row in enumerate(wanted):
        if row in rows:
            numbers[i] = rows.index(row)
    free = [n for n in range(len(rows)) if n not in open_classes and n not in numbers.values()]
    fresh = set()
    for i, row in enumerate(wanted):
        if i not in numbers:
            numbers[i] = free.pop(0) if free else len(rows)
            rows[numbers[i]:numbers[i] + 1] = [row]
            fresh.add(numbers[i])
    # A tenant that went keeps its part while its jobs are open; its number is never another's.
    tenant_rows = [row if n in open_tenants else (row[0], api.Tenant(GONE))
                   for n, row in enumerate(held.tenant_rows)]
    names, tenant_numbers = [name for name, _ in tenant_rows], []
    for name, tenant in _tenant_rows(settings, tenants):
        n = names.index(name) if name in names else len(tenant_rows)
        tenant_rows[n:n + 1] = [(name, tenant)]
        tenant_numbers.append(n)
    if len(rows) > MOST or len(tenant_rows) > MOST:
        raise TooManyError("too many classes or tenants have come and gone: start anew")
    return Generation(
        held.number + 1, _merged(settings, rows, tenant_rows), tuple(rows), tuple(tenant_rows),
        tuple(numbers[i] for i in range(len(wanted))), tuple(tenant_numbers), frozenset(fresh))


def keep(held: Generation, row: tuple[str, api.JobClass], tenant: str) -> tuple[Generation, int, int]:
    """Number a class and a tenant of a job that came under other settings; raises TooManyError.

    Returns the generation held, where it numbers both already, or one that does. What these settings list
    does not change: no job from now on comes under them.
    """
    rows, tenant_rows, fresh = list(held.rows), list(held.tenant_rows), frozenset[int]()
    if row not in rows:
        rows.append(row)
        fresh = frozenset({len(rows) - 1})
    names = [name for name, _ in tenant_rows]
    if tenant not in names:
        names.append(tenant)
        tenant_rows.append((tenant, api.Tenant(GONE)))
    numbers = rows.index(row), names.index(tenant)
    if (len(rows), len(tenant_rows)) == (len(held.rows), len(held.tenant_rows)):
        return held, *numbers
    if len(rows) > MOST or len(tenant_rows) > MOST:
        raise TooManyError("too many classes or tenants have come and gone: start anew")
    return replace(
        held, settings=_merged(held.settings, rows, tenant_rows), rows=tuple(rows),
        tenant_rows=tuple(tenant_rows), fresh=fresh), *numbers


def _rows(settings: api.Settings, names: Sequence[str]) -> list[tuple[str, api.JobClass]]:
    """Name the classes and write into each what the settings say for all of them."""
    rules = [replace(c, max_attempts=settings.max_attempts, alone=not settings.may_duplicate)
             for c in settings.classes]
    return [(names[i] if i < len(names) else f"#{i}", rule) for i, rule in enumerate(rules)]


def _tenant_rows(settings: api.Settings, names: Sequence[str]) -> list[tuple[str, api.Tenant]]:
    return [(names[i] if i < len(names) else f"#{i}", tenant) for i, tenant in enumerate(settings.tenants)]


def _merged(
    settings: api.Settings, rows: Sequence[tuple[str, api.JobClass]],
    tenant_rows: Sequence[tuple[str, api.Tenant]],
) -> api.Settings:
    return replace(
        settings, classes=tuple(rule for _, rule in rows), tenants=tuple(t for _, t in tenant_rows),
        # A class that forbids it says so itself.
        may_duplicate=settings.may_duplicate or any(not rule.alone for _, rule in rows))
