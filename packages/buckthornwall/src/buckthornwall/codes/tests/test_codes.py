"""Tests of the result codes."""

from pathlib import Path

from buckthornwall.codes import ResultCode, render_table

PAGE = Path(__file__).parents[6] / "docs" / "codes.md"


def test_numbers_are_unique():
    numbers = [code.number for code in ResultCode]
    assert len(numbers) == len(set(numbers))


def test_docs_page_matches_the_codes():
    assert PAGE.read_text(encoding="utf-8") == render_table()
