"""Fingerprints of requests, equal for repeats whatever their ids, and of prompt parts.

Both are kept and reported alike; the highest bit tells them apart.
"""

from functools import lru_cache
from hashlib import blake2b
from typing import NewType

from buckthornwall.routing import PoolId, PromptShape, RoutedRequest
from buckthornwall.utils import TeamId

__all__ = [
    "FINGERPRINT_BYTES",
    "Fingerprint",
    "fingerprint_of",
    "format_fingerprint",
    "is_part",
    "part_fingerprints",
]

Fingerprint = NewType("Fingerprint", int)

FINGERPRINT_BYTES = 8
PART_BIT = 1 << (8 * FINGERPRINT_BYTES - 1)


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
    return Fingerprint(int.from_bytes(digest.digest()) & ~PART_BIT)


def part_fingerprints(
    pool: PoolId, prompt: PromptShape | None
) -> tuple[Fingerprint, ...]:
    """Return hashes of the parts of a prompt that other prompts may share."""
    if prompt is None:
        return ()
    parts = dict.fromkeys(prompt.shareable_parts)
    return tuple(_hash_part(pool, prompt.model, part) for part in parts)


@lru_cache(maxsize=4096)
def _hash_part(pool: str, model: str, part: str) -> Fingerprint:
    text = f"{len(pool)}:{pool}{len(model)}:{model}{part}"
    digest = blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()
    return Fingerprint(int.from_bytes(digest) | PART_BIT)


def is_part(fingerprint: Fingerprint) -> bool:
    """Return whether a fingerprint is that of a part of prompts."""
    return bool(fingerprint & PART_BIT)


def format_fingerprint(fingerprint: Fingerprint) -> str:
    """Return a fingerprint as shown in logs and the status."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
