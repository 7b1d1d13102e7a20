"""The assembly that runs as ``buckthornwalld``."""

from .core import Node

__all__ = ["Node"]
