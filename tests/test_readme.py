"""The README's embedding example runs and prints the expected output."""

import re
from pathlib import Path

import pytest

README = Path(__file__).parents[1] / "README.md"


def test_the_embedding_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    (block,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(compile(block, "README.md", "exec"), {})
    assert capsys.readouterr().out == "request 1 is at its second worker: True\n"
