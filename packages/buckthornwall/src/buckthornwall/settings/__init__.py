"""The settings of one instance: an INI file that is validated completely at once."""

from buckthornwall.utils import lazy_exports

__all__ = [
    "MAX_SUBSTITUTES",  # noqa: F822 - imported at its first use
    "SUBSTITUTE_STAGGER_S",  # noqa: F822 - imported at its first use
    "NodeSettings",  # noqa: F822 - imported at its first use
    "ReadBudget",  # noqa: F822 - imported at its first use
    "RouterSettings",  # noqa: F822 - imported at its first use
    "Settings",  # noqa: F822 - imported at its first use
]

__getattr__ = lazy_exports(
    __name__,
    {
        "MAX_SUBSTITUTES": "read_budget",
        "SUBSTITUTE_STAGGER_S": "read_budget",
        "NodeSettings": "node",
        "ReadBudget": "read_budget",
        "RouterSettings": "router",
        "Settings": "core",
    },
)
