"""Reads the [gearman] section of an operator's file, which turns the Gearman frontend on."""

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
    """The [gearman] section: address, inventory file and functions; ``base`` is the rest of the file."""

    base: Config
    listen: tuple[str, int]
    inventory: Path
    functions: dict[str, Function]


def read(file: dict[str, Any], path: Path, environment: Mapping[str, str]) -> GearmanConfig:
    """Read a parsed operator's file, whose relative paths start at its folder; raises ConfigError."""
    section = file.get("gearman")
    if not isinstance(section, dict) or set(section) != {"listen", "inventory", "functions"}:
        raise ConfigError(f"{path}: [gearman] must have exactly the keys listen, inventory and functions")
    base = assemble(file, str(path), environment, gearman=True)
    functions = section["functions"]
    if not isinstance(functions, dict) or not functions:
        raise ConfigError(f"{path}: [gearman.functions] is empty")
    served = {name: _function(f"{path}: function {name}", name, row, base) for name, row in functions.items()}
    classes = list(base.settings.classes)
    for name, function in served.items():
        changed_class = replace(classes[function.job_class], deadline_us=to_us(function.deadline))
        if changed_class != classes[function.job_class]:
            # The dispatcher takes a request with less time than others of its class had for a client's later
            # retry, and refuses it as too late. A function with its own deadline therefore gets its own job
            # class.
            served[name] = replace(function, job_class=len(classes))
            classes.append(changed_class)
    base = replace(base, settings=replace(base.settings, classes=tuple(classes)))
    inventory = path.parent / str(section["inventory"])
    return GearmanConfig(base, address(section["listen"], "gearman.listen"), inventory, served)


def _function(where: str, name: str, row: Any, base: Config) -> Function:
    if not isinstance(row, dict) or not set(row) <= {"class", "tenant", "deadline_ms"}:
        raise ConfigError(f"{where}: must be a table with no other keys than class, tenant and deadline_ms")
    job_class = name_index(base.names.classes, str(row.get("class", "")))
    if job_class < 0:
        raise ConfigError(f"{where}: class is missing or unknown")
    tenant = name_index(base.names.tenants, str(row.get("tenant", ""))) if base.names.tenants else 0
    if tenant < 0:
        raise ConfigError(f"{where}: tenant is missing or unknown")
    class_deadline = from_us(base.settings.classes[job_class].deadline_us)
    deadline_ms = row.get("deadline_ms", class_deadline // _MS)
    if not isinstance(deadline_ms, int) or not timedelta(0) < deadline_ms * _MS <= class_deadline:
        raise ConfigError(
            f"{where}: deadline_ms must be above 0 and at most its class's {class_deadline // _MS}")
    if not name.isascii() or not name.isprintable() or " " in name:
        raise ConfigError(f"{where}: the name must be printable ASCII without blanks")
    return Function(name, job_class, base.names.classes[job_class], tenant, deadline_ms * _MS)
