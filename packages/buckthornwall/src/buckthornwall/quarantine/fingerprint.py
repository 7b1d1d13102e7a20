"""Fingerprints of requests, equal for repeats whatever their ids."""

from hashlib import blake2b
from typing import NewType

from buckthornwall.routing import RoutedRequest
from buckthornwall.utils import TeamId

__all__ = [
    "FINGERPRINT_BYTES",
    "Fingerprint",
    "fingerprint_of",
    "format_fingerprint",
]

Fingerprint = NewType("Fingerprint", int)

FINGERPRINT_BYTES = 8


def fingerprint_of(request: RoutedRequest, team: TeamId) -> Fingerprint:
    """Return a hash of a request's method, host, target, team and body.

    The team is included, so that no team can have another team's requests refused.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    parts = (request.method, request.host.encode(), request.target, team.encode())
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(request.body)
    return Fingerprint(int.from_bytes(digest.digest()))


def format_fingerprint(fingerprint: Fingerprint) -> str:
    """Return a fingerprint as shown in logs and the status."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
