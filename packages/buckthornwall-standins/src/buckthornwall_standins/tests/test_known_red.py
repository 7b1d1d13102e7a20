"""Tests of the list of tests that are expected to fail."""

import pytest

from buckthornwall_standins.known_red import find_entry, read_known_red

LINE = "a/test_a.py::test_one | pytest a, seed 3 | a cause | issue 7"


@pytest.fixture
def known(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"{LINE}\n\na/test_a.py::test_two[x] | pytest a | b | issue 8\n")
    return read_known_red(path)


def test_missing_list_has_no_entries(tmp_path):
    assert read_known_red(tmp_path / "KNOWN-RED.txt") == {}


@pytest.mark.parametrize(
    ("test", "listed"),
    [
        ("a/test_a.py::test_one", True),
        ("a/test_a.py::test_one[3]", True),
        ("a/test_a.py::test_one_more", False),
        ("a/test_a.py::test_two[x]", True),
        ("a/test_a.py::test_two[y]", False),
        ("a/test_a.py::test_two", False),
    ],
)
def test_entry_covers_its_test_only(known, test, listed):
    assert (find_entry(known, test) is not None) == listed
