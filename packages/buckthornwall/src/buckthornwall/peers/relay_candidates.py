"""Instances that a request may be forwarded through."""

from dataclasses import dataclass

from buckthornwall.utils import ZoneId

__all__ = ["RelayCandidate"]


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """An instance that reaches upstreams, with the address for its peers."""

    address: str
    zone: ZoneId
