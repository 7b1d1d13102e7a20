"""Adoption of records: only validated, complete sets with a higher number."""

from enum import Enum

from buckthornwall.codes import RecordError

from .core import RecordView, digest_of, parse_records

__all__ = ["Adoption", "RecordStore"]


class Adoption(Enum):
    """Result of offering a set of records."""

    ADOPTED = "adopted"
    OLDER = "older"
    SAME = "same"
    REFUSED = "refused"


class RecordStore:
    """Holds the set of records in force on this instance.

    The platform numbers the sets that it publishes. The number in force never
    decreases, so neither a stale platform nor a stale peer can restore an older set.
    If two sets have the same number, every instance adopts the one with the higher
    digest.
    """

    def __init__(self) -> None:
        self.view: RecordView | None = None
        self.last_error: RecordError | None = None
        self.refused_digests: set[str] = set()

    @property
    def number(self) -> int:
        """Number of the set in force, 0 before the first."""
        return self.view.number if self.view else 0

    @property
    def digest(self) -> str:
        """Digest of the set in force, empty before the first."""
        return self.view.digest if self.view else ""

    def is_newer(self, number: int, digest: str) -> bool:
        """Return whether this number and digest would replace those in force."""
        newer = (number, digest) > (self.number, self.digest)
        return newer and digest not in self.refused_digests

    def offer(self, raw: bytes) -> Adoption:
        """Adopt the set `raw` if it is valid and newer than the one in force."""
        try:
            view = parse_records(raw)
        except RecordError as error:
            self.last_error = error
            self.refused_digests.add(digest_of(raw))
            return Adoption.REFUSED
        if (view.number, view.digest) == (self.number, self.digest):
            return Adoption.SAME
        if not self.is_newer(view.number, view.digest):
            return Adoption.OLDER
        self.view = view
        self.last_error = None
        return Adoption.ADOPTED
