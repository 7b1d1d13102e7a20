"""The assembly that runs as ``buckthornwalld``."""

from buckthornwall.utils import lazy_exports

__all__ = ["Node"]  # noqa: F822 - imported at its first use

__getattr__ = lazy_exports(__name__, {"Node": "core"})
