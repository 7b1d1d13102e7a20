"""Adoption of records: only a higher number, whole and validated."""

from enum import Enum

from buckthornwall.codes import RecordError

from .core import RecordView, digest_of, parse_records

__all__ = ["Adoption", "RecordStore"]


class Adoption(Enum):
    """What became of an offered set."""

    ADOPTED = "adopted"
    OLDER = "older"
    SAME = "same"
    REFUSED = "refused"


class RecordStore:
    """The set in force on this instance.

    The platform numbers what it publishes, and a number never goes down here,
    so neither a stale service nor a stale peer can bring an older set back.
    Should two sets ever carry one number, the higher digest wins everywhere.
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
        """Tell whether a set of this number and digest would replace ours."""
        newer = (number, digest) > (self.number, self.digest)
        return newer and digest not in self.refused_digests

    def offer(self, raw: bytes) -> Adoption:
        """Adopt `raw` if it is valid and newer than what is in force."""
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
