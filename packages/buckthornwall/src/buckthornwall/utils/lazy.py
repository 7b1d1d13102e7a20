"""Exports that are imported when they are first used (PEP 562)."""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

__all__ = ["lazy_exports"]


def lazy_exports(package: str, exports: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a module's ``__getattr__`` that imports exported names on demand.

    A process then loads only what it runs. Importing the parts that use hypercorn
    and httpcore would raise a router's peak resident memory after the imports by
    11 MB.

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
