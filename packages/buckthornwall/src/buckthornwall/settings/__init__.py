"""The INI file of one instance, checked as a whole."""

from buckthornwall.utils import lazy_exports

__all__ = [
    "NodeSettings",  # noqa: F822 - imported at its first use
    "RouterSettings",  # noqa: F822 - imported at its first use
    "Settings",  # noqa: F822 - imported at its first use
]

__getattr__ = lazy_exports(
    __name__,
    {"NodeSettings": "node", "RouterSettings": "router", "Settings": "core"},
)
