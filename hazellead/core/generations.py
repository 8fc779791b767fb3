"""Generations of settings: the numbers of classes and tenants across reloads. Does no I/O.

The dispatcher knows classes and tenants by number. A number keeps its meaning while a job of that class or
tenant is open, so that each job keeps the rules under which it was submitted.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from hazellead.decide import interface as api

MAX_NUMBERS = 256  # of classes, and of tenants, removed ones included
GONE_PORTION = 1e-9  # of a tenant that was removed from the settings; 0 would mean an equal portion
NO_TENANT = ""  # name of the tenant of all jobs where the settings define none


class TooManyError(ValueError):
    """Open jobs and removed tenants need more than MAX_NUMBERS numbers."""


@dataclass(slots=True, frozen=True)
class Generation:
    """Settings in force, with the classes and tenants that open jobs of earlier settings still need."""

    number: int
    settings: api.Settings
    class_rows: tuple[tuple[str, api.JobClass], ...]  # name and rules by class number
    tenant_rows: tuple[tuple[str, api.Tenant], ...]  # name and rules by tenant number
    class_ids: tuple[int, ...]  # class numbers, in the order of the settings
    tenant_ids: tuple[int, ...]  # never empty
    new_classes: frozenset[int] = frozenset()  # class numbers that are new or now mean another class


def initial(settings: api.Settings, classes: Sequence[str] = (), tenants: Sequence[str] = ()) -> Generation:
    """Return the first generation: classes and tenants numbered in the order of the settings."""
    rows = _rows(settings, classes)
    tenant_rows = _tenant_rows(settings, tenants)
    return Generation(1, _merged(settings, rows, tenant_rows), tuple(rows), tuple(tenant_rows),
                      tuple(range(len(rows))), tuple(range(len(tenant_rows))))


def next_after(
    current: Generation, settings: api.Settings, classes: Sequence[str], tenants: Sequence[str],
    open_classes: Collection[int], open_tenants: Collection[int],
) -> Generation:
    """Return the generation for new settings while jobs of the given class and tenant numbers are open.

    Raises TooManyError.
    """
    rows, numbers = list(current.class_rows), dict[int, int]()
    wanted = _rows(settings, classes)
    for i, row in enumerate(wanted):
        if row in rows:
            numbers[i] = rows.index(row)
    free = [n for n in range(len(rows)) if n not in open_classes and n not in numbers.values()]
    new_classes = set()
    for i, row in enumerate(wanted):
        if i not in numbers:
            numbers[i] = free.pop(0) if free else len(rows)
            rows[numbers[i]:numbers[i] + 1] = [row]
            new_classes.add(numbers[i])
    # A removed tenant keeps its portion while its jobs are open; its number is never given to another.
    tenant_rows = [row if n in open_tenants else (row[0], api.Tenant(GONE_PORTION))
                   for n, row in enumerate(current.tenant_rows)]
    names, tenant_numbers = [name for name, _ in tenant_rows], []
    for name, tenant in _tenant_rows(settings, tenants):
        n = names.index(name) if name in names else len(tenant_rows)
        tenant_rows[n:n + 1] = [(name, tenant)]
        tenant_numbers.append(n)
    if len(rows) > MAX_NUMBERS or len(tenant_rows) > MAX_NUMBERS:
        raise TooManyError("too many classes or tenants have come and gone: start anew")
    return Generation(
        current.number + 1, _merged(settings, rows, tenant_rows), tuple(rows), tuple(tenant_rows),
        tuple(numbers[i] for i in range(len(wanted))), tuple(tenant_numbers), frozenset(new_classes))


def including(current: Generation, row: tuple[str, api.JobClass], tenant: str) -> tuple[Generation, int, int]:
    """Number the class and tenant of a job that was submitted under other settings.

    Returns a generation that numbers both, with their numbers: the current one if it does already. New jobs
    are not affected, since the lists of the settings in force stay the same. Raises TooManyError.
    """
    rows, tenant_rows, new_classes = list(current.class_rows), list(current.tenant_rows), frozenset[int]()
    if row not in rows:
        rows.append(row)
        new_classes = frozenset({len(rows) - 1})
    names = [name for name, _ in tenant_rows]
    if tenant not in names:
        names.append(tenant)
        tenant_rows.append((tenant, api.Tenant(GONE_PORTION)))
    numbers = rows.index(row), names.index(tenant)
    if (len(rows), len(tenant_rows)) == (len(current.class_rows), len(current.tenant_rows)):
        return current, *numbers
    if len(rows) > MAX_NUMBERS or len(tenant_rows) > MAX_NUMBERS:
        raise TooManyError("too many classes or tenants have come and gone: start anew")
    return replace(
        current, settings=_merged(current.settings, rows, tenant_rows), class_rows=tuple(rows),
        tenant_rows=tuple(tenant_rows), new_classes=new_classes), *numbers


def _rows(settings: api.Settings, names: Sequence[str]) -> list[tuple[str, api.JobClass]]:
    """Pair each class's name with its rules, completed by the settings that apply to all classes."""
    rules = [replace(c, max_attempts=settings.max_attempts, alone=not settings.may_duplicate)
             for c in settings.classes]
    return [(names[i] if i < len(names) else f"#{i}", rule) for i, rule in enumerate(rules)]


def _tenant_rows(settings: api.Settings, names: Sequence[str]) -> list[tuple[str, api.Tenant]]:
    """Pair each tenant's name with its share; without tenants all jobs belong to one that has no name."""
    if not settings.tenants:
        return [(NO_TENANT, api.Tenant(1.0))]
    return [(names[i] if i < len(names) else f"#{i}", tenant) for i, tenant in enumerate(settings.tenants)]


def _merged(
    settings: api.Settings, rows: Sequence[tuple[str, api.JobClass]],
    tenant_rows: Sequence[tuple[str, api.Tenant]],
) -> api.Settings:
    return replace(
        settings, classes=tuple(rule for _, rule in rows), tenants=tuple(t for _, t in tenant_rows),
        # A class that forbids duplicates has ``alone`` set.
        may_duplicate=settings.may_duplicate or any(not rule.alone for _, rule in rows))
