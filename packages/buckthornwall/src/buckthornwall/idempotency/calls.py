"""A call to a plain service and its fingerprint."""

from dataclasses import dataclass
from hashlib import blake2b

from buckthornwall.utils import TeamId

from .ledger import StoredOutcome

__all__ = ["CallRequest", "CallResult"]

CallResult = StoredOutcome


@dataclass
class CallRequest:
    """One call to a plain service that must not run twice."""

    route: str
    team: TeamId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    timeout_s: float

    def fingerprint(self) -> str:
        """Return a digest of the route, team, method, path and body."""
        digest = blake2b(digest_size=12)
        for part in (self.route, self.team, self.method, self.path):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()
