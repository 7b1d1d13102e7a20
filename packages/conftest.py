"""Lets the tests listed in KNOWN-RED.txt fail, and prints them after the run."""

from pathlib import Path

import pytest
from buckthornwall_standins.known_red import find_entry, read_known_red

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
PROCESS_WORKERS = 2
OUTCOMES = {"xfailed": "red", "xpassed": "passed: remove it from the list"}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, and no others, as expected to fail; assign workers."""
    _assign_workers(items)
    known = read_known_red(LIST)
    for item in items:
        line = find_entry(known, item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def _assign_workers(items: list[pytest.Item]) -> None:
    """Assign tests that start processes to a few workers, whole modules to one each.

    Such tests depend on the time that their processes get, so that no more than these
    workers run any of them at the same time.
    """
    modules = sorted({item.path for item in items if item.get_closest_marker("live")})
    for item in items:
        if item.path in modules:
            worker = modules.index(item.path) % PROCESS_WORKERS
            item.add_marker(pytest.mark.xdist_group(f"processes{worker}"))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the list and the result of each test on it."""
    for outcome, words in OUTCOMES.items():
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"KNOWN RED ({words}): {report.nodeid}")
    for line in read_known_red(LIST).values():
        terminalreporter.write_line(f"KNOWN-RED.txt: {line}")
