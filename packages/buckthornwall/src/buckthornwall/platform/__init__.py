"""The users' platform: the only place that knows its names.

============= ============================================================
`names`       its headers
`codec`       requests and replies between its headers and the product's types
`published`   its form of the operator's configuration
`calls`       the calls of its store, whatever carries them
`store`       what it publishes for instances behind its balancer
`client`      what it publishes for instances with the completions interface
============= ============================================================
"""

from buckthornwall.utils import lazy_exports

__all__ = [
    "InstanceKind",  # noqa: F822 - imported at its first use
    "InstanceList",  # noqa: F822 - imported at its first use
    "ListedInstance",  # noqa: F822 - imported at its first use
    "PlatformClient",  # noqa: F822 - imported at its first use
    "PlatformCodec",  # noqa: F822 - imported at its first use
    "PlatformSettings",  # noqa: F822 - imported at its first use
    "StoreClient",  # noqa: F822 - imported at its first use
    "StoreSettings",  # noqa: F822 - imported at its first use
    "decode_published",  # noqa: F822 - imported at its first use
    "decode_request",  # noqa: F822 - imported at its first use
]

__getattr__ = lazy_exports(
    __name__,
    {
        "InstanceKind": "client",
        "InstanceList": "client",
        "ListedInstance": "client",
        "PlatformClient": "client",
        "PlatformCodec": "codec",
        "PlatformSettings": "client",
        "StoreClient": "store",
        "StoreSettings": "store",
        "decode_published": "published",
        "decode_request": "codec",
    },
)
