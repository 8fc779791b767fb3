"""Reads the two forms of an inventory: a CSV file, or a YAML file in the form of an Ansible one. No I/O.

CSV: a header line with columns out of ``FIELDS``. YAML: groups with ``hosts``, ``vars`` and ``children``;
``FIELDS`` are host variables.
"""

import csv
import io
from collections.abc import Iterator
from dataclasses import dataclass, field

import yaml
from yaml.nodes import MappingNode, Node, ScalarNode

from hazellead.limits import Limits

FIELDS = ("name", "address", "protocol", "zone", "model", "state")
ALL_GROUP = "all"  # contains every host

Row = tuple[int, dict[str, str]]  # line number and fields


class LineError(Exception):
    """An inventory cannot be used because of one of its lines."""

    def __init__(self, line: int, message: str) -> None:
        """Store the line's number beside the message."""
        super().__init__(message)
        self.line = line


def csv_rows(text: str, _: Limits) -> Iterator[Row]:
    """Yield the workers of a CSV file; raises LineError."""
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    columns: list[str] = []
    try:
        for cells in reader:
            cells = [cell.strip() for cell in cells]
            if not any(cells) or cells[0].startswith("#"):
                continue
            if not columns:
                columns = cells
                known = set(columns) <= set(FIELDS) and len(set(columns)) == len(columns)
                if "name" not in columns or not known:
                    raise LineError(
                        reader.line_num, f"the header must have name, and only {', '.join(FIELDS)}")
            elif len(cells) != len(columns):
                raise LineError(reader.line_num, f"{len(cells)} cells for {len(columns)} columns")
            else:
                yield reader.line_num, dict(zip(columns, cells, strict=True))
    except csv.Error as error:
        raise LineError(reader.line_num, str(error)) from None
    if not columns:
        raise LineError(1, "no header")


def yaml_rows(text: str, limits: Limits) -> Iterator[Row]:
    """Yield the workers of a YAML file; raises LineError."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise LineError(mark.line + 1 if mark else 1, error.problem or "not YAML") from None
    except (yaml.YAMLError, RecursionError) as error:
        raise LineError(1, str(error).partition("\n")[0]) from None
    groups = _Groups(limits.group_depth)
    for (name, _), group in _items(root):
        groups.add(name, group)
    yield from groups.rows()


@dataclass(slots=True)
class _Group:
    line: int
    variables: dict[str, str] = field(default_factory=dict)
    parents: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _GroupedHost:
    line: int
    variables: dict[str, str] = field(default_factory=dict)
    groups: set[str] = field(default_factory=set)


class _Groups:
    """The groups of a YAML inventory and their hosts. A group may be described in several places.

    The variables of a host and of its groups, their parents and ``all`` are merged as Ansible does: a deeper
    group's values win, of groups at one depth those of the last in alphabetical order, and the host's over
    all groups'.
    """

    def __init__(self, most_levels: int) -> None:
        self._most_levels = most_levels
        self._groups: dict[str, _Group] = {}
        self._hosts: dict[str, _GroupedHost] = {}
        self._inherited: dict[frozenset[str], dict[str, str]] = {}  # merged variables by a host's groups

    def add(self, name: str, node: Node, parents: tuple[str, ...] = ()) -> None:
        """Add what one place says of a group, with the groups in it."""
        if len(parents) > self._most_levels:
            raise LineError(_line_of(node), "groups are nested too deeply")
        sections = {key: section for (key, _), section in _items(node)}
        if unknown := set(sections) - {"hosts", "vars", "children"}:
            raise LineError(
                _line_of(node), f"a group may have hosts, vars and children, not {sorted(unknown)[0]}")
        group = self._groups.setdefault(name, _Group(_line_of(node)))
        group.parents.update(parents[-1:])
        group.variables |= _fields(sections.get("vars"))
        for (host_name, line), host_node in _items(sections.get("hosts")):
            host = self._hosts.setdefault(host_name, _GroupedHost(line))
            host.line = line
            host.variables |= _fields(host_node)
            host.groups.add(name)
        for (child, _), child_node in _items(sections.get("children")):
            self.add(child, child_node, (*parents, name))

    def rows(self) -> Iterator[Row]:
        """Yield the hosts with their merged variables."""
        for name, host in self._hosts.items():
            groups = frozenset(host.groups)
            if groups not in self._inherited:
                self._inherited[groups] = self._merged(groups)
            yield host.line, self._inherited[groups] | host.variables | {"name": name}

    def _merged(self, groups: frozenset[str]) -> dict[str, str]:
        depths = {ALL_GROUP: 0} if ALL_GROUP in self._groups else {}
        for name in groups:
            self._add_depths(name, depths, ())
        variables: dict[str, str] = {}
        for _, name in sorted((depth, name) for name, depth in depths.items()):
            variables |= self._groups[name].variables
        return variables

    def _add_depths(self, name: str, depths: dict[str, int], path: tuple[str, ...]) -> int:
        """Add the depths of a group and of all groups that contain it; return its own."""
        if name not in depths:
            if name in path or len(path) > self._most_levels:
                raise LineError(self._groups[name].line, "groups are nested too deeply")
            parents = self._groups[name].parents
            depths[name] = 1 + max((self._add_depths(p, depths, (*path, name)) for p in parents), default=0)
        return depths[name]


def _fields(node: Node | None) -> dict[str, str]:  # variables other than FIELDS are ignored
    values = {key: value for (key, _), value in _items(node) if key in FIELDS[1:]}
    for key, value in values.items():
        if not isinstance(value, ScalarNode):
            raise LineError(_line_of(value), f"{key} must be a plain value")
    return {key: "" if value.tag.endswith(":null") else str(value.value) for key, value in values.items()}


def _items(node: Node | None) -> Iterator[tuple[tuple[str, int], Node]]:
    if node is None or isinstance(node, ScalarNode) and node.tag.endswith(":null"):
        return
    if not isinstance(node, MappingNode):
        raise LineError(_line_of(node), "a mapping is expected here")
    for key, value in node.value:
        yield (str(key.value), _line_of(key)), value


def _line_of(node: Node) -> int:
    return int(node.start_mark.line) + 1
