"""The on-call page lists the log events of the code, and packages import only from inner layers."""

import re

from loopback import ROOT


def test_the_on_call_page_lists_exactly_the_log_events_of_the_code() -> None:
    code = "\n".join(path.read_text() for path in (ROOT / "hazellead").rglob("*.py"))
    written = set(re.findall(r'log\.(?:info|warning|error|exception)\(\s*"(\w+)"', code)) | {"library"}
    page = (ROOT / "docs/ON-CALL.md").read_text()
    assert written == set(re.findall(r"^\| `(\w+)` \|", page, re.M)) and len(written) > 10


def test_dependencies_point_inward() -> None:
    outer_packages = "platform|gearman|peers|snapshots|lab"
    forbidden_imports = {
        "decide": f"core|net|learning|{outer_packages}",
        "core": f"net|learning|{outer_packages}", "net": outer_packages,
        "learning": f"net|{outer_packages}", "platform": "gearman|peers|snapshots|lab|learning",
        "gearman": "peers|snapshots|lab|learning", "peers": "gearman|lab", "snapshots": "peers|lab|net"}
    for package, forbidden in forbidden_imports.items():
        for path in (ROOT / "hazellead" / package).glob("*.py"):
            assert not re.search(rf"(?:from|import) hazellead\.(?:{forbidden})\b", path.read_text()), path
