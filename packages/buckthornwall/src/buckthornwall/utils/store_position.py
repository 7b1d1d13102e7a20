"""A position in the history of the platform's store."""

from dataclasses import dataclass, replace

__all__ = ["StorePosition"]


@dataclass(frozen=True, order=True, slots=True)
class StorePosition:
    """A revision, and the era of the store that counts it.

    Revisions only grow within an era: a store that returns from an older copy gives
    them out again, and begins the next era. Positions are in the order of time if their
    eras are known. `era` is 0 if it is not known.
    """

    era: int = 0
    revision: int = 0

    def in_era(self, era: int) -> "StorePosition":
        """Return this position, in `era` if its own is not known."""
        return self if self.era else replace(self, era=era)

    def is_in_former_era(self, current: "StorePosition") -> bool:
        """Return whether this is known to be of an era before that of `current`."""
        return 0 < self.era < current.era

    def is_after(self, other: "StorePosition") -> bool:
        """Return whether this is later; an era that is not known equals any other."""
        return self.in_era(other.era) > other.in_era(self.era)
