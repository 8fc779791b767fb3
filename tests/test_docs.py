"""The on-call page and the code name the same log events."""

import re

from loopback import ROOT


def test_every_log_event_is_explained_and_none_is_made_up() -> None:
    code = "\n".join(path.read_text() for path in (ROOT / "hazellead").rglob("*.py"))
    written = set(re.findall(r'log\.(?:info|warning|error|exception)\(\s*"(\w+)"', code)) | {"library"}
    page = (ROOT / "docs/ON-CALL.md").read_text()
    assert written == set(re.findall(r"^\| `(\w+)` \|", page, re.M)) and len(written) > 10


def test_dependencies_point_inward() -> None:
    fronts = "platform|gearman|peers|snapshots|lab"
    inner = {"decide": f"core|net|learning|{fronts}", "core": f"net|learning|{fronts}", "net": fronts,
             "learning": f"net|{fronts}", "platform": "gearman|peers|snapshots|lab|learning",
             "gearman": "peers|snapshots|lab|learning", "peers": "gearman|lab", "snapshots": "peers|lab|net"}
    for part, outer in inner.items():
        for path in (ROOT / "hazellead" / part).glob("*.py"):
            assert not re.search(rf"(?:from|import) hazellead\.(?:{outer})\b", path.read_text()), path
