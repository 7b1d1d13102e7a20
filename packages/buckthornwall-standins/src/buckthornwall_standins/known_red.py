"""The list of tests that fail because of a known fault that is not fixed yet.

A line is ``TEST | COMMAND AND SEED | CAUSE | ISSUE``, with the test's id as pytest
prints it. An id without parameters in brackets covers all cases of the test.
"""

from pathlib import Path

__all__ = ["find_entry", "read_known_red"]

SEPARATOR = "|"


def read_known_red(path: Path) -> dict[str, str]:
    """Return the lines of the list by test id, or nothing if there is no list."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return {line.partition(SEPARATOR)[0].strip(): line for line in lines}


def find_entry(known: dict[str, str], test: str) -> str | None:
    """Return the line that covers a test, or None."""
    return known.get(test) or known.get(test.partition("[")[0])
