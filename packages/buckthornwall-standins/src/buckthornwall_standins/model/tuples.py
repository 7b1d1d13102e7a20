"""Tuples as the states of specifications."""

from typing import Any

__all__ = ["replace_item"]


def replace_item(values: tuple, index: int, value: Any) -> tuple:
    """Return the tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])
