"""Assembly of the components that run as ``buckthornwalld``."""

from buckthornwall.utils import lazy_exports

__all__ = ["Node"]  # noqa: F822 - imported lazily

__getattr__ = lazy_exports(__name__, {"Node": "core"})
