"""Streams from engines, calls to services, loading of adapters into engines."""

from buckthornwall.utils import lazy_exports

from .budget import RetryBudget

__all__ = [
    "EngineClient",  # noqa: F822 - imported at its first use
    "AdapterReconciler",  # noqa: F822 - imported at its first use
    "RetryBudget",
    "ServiceClient",  # noqa: F822 - imported at its first use
    "UpstreamSettings",  # noqa: F822 - imported at its first use
]

__getattr__ = lazy_exports(
    __name__,
    {
        "EngineClient": "engine",
        "AdapterReconciler": "adapter_reconciler",
        "ServiceClient": "service",
        "UpstreamSettings": "engine",
    },
)
