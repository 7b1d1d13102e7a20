"""The settings of one instance: an INI file that is validated completely at once."""

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
