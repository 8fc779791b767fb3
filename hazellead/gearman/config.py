"""Reads the part of an operator's file that turns the Gearman front on."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from hazellead.core.clock import from_us, to_us
from hazellead.gearman.clients import Function
from hazellead.platform.config import Config, ConfigError, address, assemble, name_index

_MS = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class GearmanConfig:
    """What the operator sets."""

    base: Config
    listen: tuple[str, int]
    inventory: Path
    functions: dict[str, Function]


def read(given: dict[str, Any], path: Path, environment: Mapping[str, str]) -> GearmanConfig:
    """Read what a file holds; paths in it are relative to it."""
    own = given.get("gearman")
    if not isinstance(own, dict) or set(own) != {"listen", "inventory", "functions"}:
        raise ConfigError(f"{path}: [gearman] holds listen, inventory and functions")
    base = assemble(given, str(path), environment, gearman=True)
    functions = own["functions"]
    if not isinstance(functions, dict) or not functions:
        raise ConfigError(f"{path}: [gearman.functions] is empty")
    served = {name: _function(f"{path}: function {name}", name, row, base) for name, row in functions.items()}
    classes = list(base.settings.classes)
    for name, function in served.items():
        kind = replace(classes[function.job_class], deadline_us=to_us(function.deadline))
        if kind != classes[function.job_class]:
            # To the module, less time than others of the class had marks a client's later try, which it
            # refuses as too late. A function with a deadline of its own is therefore a class of its own.
            served[name] = replace(function, job_class=len(classes))
            classes.append(kind)
    base = replace(base, settings=replace(base.settings, classes=tuple(classes)))
    inventory = path.parent / str(own["inventory"])
    return GearmanConfig(base, address(own["listen"], "gearman.listen"), inventory, served)


def _function(what: str, name: str, row: Any, base: Config) -> Function:
    if not isinstance(row, dict) or not set(row) <= {"class", "tenant", "deadline_ms"}:
        raise ConfigError(f"{what}: has class, tenant and deadline_ms")
    job_class = name_index(base.names.classes, str(row.get("class", "")))
    if job_class < 0:
        raise ConfigError(f"{what}: class is missing or unknown")
    tenant = name_index(base.names.tenants, str(row.get("tenant", ""))) if base.names.tenants else 0
    if tenant < 0:
        raise ConfigError(f"{what}: tenant is missing or unknown")
    most = from_us(base.settings.classes[job_class].deadline_us)
    given = row.get("deadline_ms", most // _MS)
    if not isinstance(given, int) or not timedelta(0) < given * _MS <= most:
        raise ConfigError(f"{what}: deadline_ms is above 0 and not above its class's {most // _MS}")
    if not name.isascii() or not name.isprintable() or " " in name:
        raise ConfigError(f"{what}: the name has blanks or odd characters")
    return Function(name, job_class, base.names.classes[job_class], tenant, given * _MS)
