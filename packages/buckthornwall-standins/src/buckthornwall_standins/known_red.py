"""The list of tests that are red for a fault that is not mended yet.

A line is ``TEST | COMMAND AND SEED | CAUSE | ISSUE``, with the test's id as pytest
prints it; without the part in brackets it stands for all cases of that test.
"""

from pathlib import Path

__all__ = ["find_entry", "read_known_red"]

SEPARATOR = "|"


def read_known_red(path: Path) -> dict[str, str]:
    """Return the lines of the list by test id; empty without a list."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return {line.partition(SEPARATOR)[0].strip(): line for line in lines}


def find_entry(known: dict[str, str], test: str) -> str | None:
    """Return the line on a test, or on all of its cases."""
    return known.get(test) or known.get(test.partition("[")[0])
