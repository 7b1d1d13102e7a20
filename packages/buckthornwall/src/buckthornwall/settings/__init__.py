"""The INI file of one instance, checked as a whole."""

from .core import NodeSettings, Settings

__all__ = ["NodeSettings", "Settings"]
