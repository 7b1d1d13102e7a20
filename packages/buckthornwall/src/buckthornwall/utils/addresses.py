"""Addresses of IPv4 sockets as text."""

import re
from functools import lru_cache

__all__ = ["split_address"]

ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)
MAX_OCTET = 255
MAX_PORT = 65535
# Several times the instances and upstreams of the largest planned fleet.
CACHE_SIZE = 4096


@lru_cache(CACHE_SIZE)
def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:port``.

    Raises
    ------
    ValueError
        If `address` is no IPv4 address with a port.
    """
    found = ADDRESS.fullmatch(address)
    if found is None:
        raise ValueError(f"expected IP:port, got {address[:40]!r}")
    *octets, port = map(int, found.groups())
    if max(octets) > MAX_OCTET or port > MAX_PORT:
        raise ValueError(f"octet or port out of range in {address!r}")
    return address.rpartition(":")[0], port
