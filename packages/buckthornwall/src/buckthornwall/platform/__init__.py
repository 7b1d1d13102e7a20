"""The users' platform: the only package that uses its names.

============= ============================================================
`names`       the names of its headers
`codec`       converts requests and responses from and to its headers
`relay_codec` the same for requests between instances
`published`   decodes the operator's configuration that it publishes
`calls`       reads and watches of its store, over any transport
`store`       store client of instances behind its load balancer
`client`      store client of instances with the completions interface
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
    "RELAYED_HEADERS",  # noqa: F822 - imported at its first use
    "RelayCodec",  # noqa: F822 - imported at its first use
    "StoreClient",  # noqa: F822 - imported at its first use
    "StoreSettings",  # noqa: F822 - imported at its first use
    "decode_notice",  # noqa: F822 - imported at its first use
    "decode_published",  # noqa: F822 - imported at its first use
    "decode_request",  # noqa: F822 - imported at its first use
    "relay_refusal_headers",
    "relay_version_headers",  # noqa: F822 - imported at its first use
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
        "RELAYED_HEADERS": "relay_codec",
        "RelayCodec": "relay_codec",
        "StoreClient": "store",
        "StoreSettings": "store",
        "decode_notice": "codec",
        "decode_published": "published",
        "decode_request": "codec",
        "relay_refusal_headers": "relay_codec",
        "relay_version_headers": "relay_codec",
    },
)
