"""Lets the tests listed in KNOWN-RED.txt fail, and prints them after the run."""

from pathlib import Path

import pytest
from buckthornwall_standins.known_red import find_entry, read_known_red

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
OUTCOMES = {"xfailed": "red", "xpassed": "passed: remove it from the list"}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, and no others, as expected to fail."""
    known = read_known_red(LIST)
    for item in items:
        line = find_entry(known, item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the list and the result of each test on it."""
    for outcome, words in OUTCOMES.items():
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"KNOWN RED ({words}): {report.nodeid}")
    for line in read_known_red(LIST).values():
        terminalreporter.write_line(f"KNOWN-RED.txt: {line}")
