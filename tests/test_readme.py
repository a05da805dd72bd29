"""The example in the README runs unchanged."""

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    exec(compile(example, str(README), "exec"), {})
