"""Helper for tuples in the states of specifications."""

from typing import Any

__all__ = ["replace_item"]


def replace_item(values: tuple, index: int, value: Any) -> tuple:
    """Return a copy of a tuple with the item at an index replaced."""
    return (*values[:index], value, *values[index + 1 :])
