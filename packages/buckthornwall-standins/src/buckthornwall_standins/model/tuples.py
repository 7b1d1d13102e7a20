"""Tuples as the states of specifications."""

from typing import Any

__all__ = ["put"]


def put(values: tuple, index: int, value: Any) -> tuple:
    """Return the tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])
