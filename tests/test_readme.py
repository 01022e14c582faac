"""The README's example runs as printed."""

import re
from pathlib import Path


def test_readme_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (block,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(block, "README.md", "exec"), {})
