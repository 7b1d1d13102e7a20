"""How often a speaker tells what, within the bytes that its listeners are sent."""

from enum import Enum

__all__ = ["WordForm", "WordPacing"]

# Where whole digests cannot come with every turn, they take this part of the bytes and
# counts the rest: members' addresses change by the minute, counts with every request.
DIGEST_SHARE = 0.25
# Digests are never further apart, in seconds: counts name upstreams by the list that a
# digest gave, so who missed one goes by old counts for that long.
MOST_DIGEST_S = 2.0
# A new speaker is known by its digests alone, and datagrams are lost: it tells them as
# often as the bytes allow for so many seconds.
FIRST_S = 3.0


class WordForm(Enum):
    """What a speaker tells at one turn."""

    DIGEST = "digest"  # everything
    COUNTS = "counts"  # work, parts of prompts and what is newest
    HEARTBEAT = "heartbeat"  # what is newest


class WordPacing:
    """What is due to one group of listeners; times are in seconds.

    Parameters
    ----------
    turn_s
        Seconds between two turns of the speaker.
    heartbeat_s
        The longest time without a word.
    bytes_per_s
        Most bytes that one listener is sent in a second.
    """

    def __init__(self, turn_s: float, heartbeat_s: float, bytes_per_s: float) -> None:
        self.turn_s = turn_s
        self.heartbeat_s = heartbeat_s
        self.bytes_per_s = bytes_per_s
        self.begin(0.0)

    def begin(self, now: float) -> None:
        """Start afresh: who speaks from now on tells everything first."""
        never = float("-inf")
        self.began_at = now
        self._sizes = {WordForm.DIGEST: 0, WordForm.COUNTS: 0}
        self._at = dict.fromkeys(WordForm, never)

    def due(self, now: float) -> WordForm | None:
        """Return what is to be told at this turn, or None for nothing."""
        soon = now + self.turn_s / 2  # timers are late by a little
        if soon - self._at[WordForm.DIGEST] >= self.digest_s(now):
            return WordForm.DIGEST
        if soon - self._told_at(WordForm.COUNTS) >= self.counts_s:
            return WordForm.COUNTS
        if soon - self._told_at(WordForm.HEARTBEAT) >= self.heartbeat_s:
            return WordForm.HEARTBEAT
        return None

    def note(self, form: WordForm, size: int, now: float) -> None:
        """Record that a word of `size` bytes was told to each listener."""
        self._at[form] = now
        if form in self._sizes:
            self._sizes[form] = size

    def _told_at(self, form: WordForm) -> float:
        """Return when a form was told, by itself or in a fuller one."""
        forms = list(WordForm)
        return max(self._at[each] for each in forms[: forms.index(form) + 1])

    def digest_s(self, now: float) -> float:
        """Return the time between two digests."""
        whole_s = self._sizes[WordForm.DIGEST] / self.bytes_per_s
        if whole_s <= self.turn_s:
            return self.turn_s
        if now - self.began_at > FIRST_S:
            whole_s /= DIGEST_SHARE
        return min(whole_s, MOST_DIGEST_S)

    @property
    def counts_s(self) -> float:
        """The time between two words that hold counts."""
        rate = self.bytes_per_s * (1 - DIGEST_SHARE)
        return max(self.turn_s, self._sizes[WordForm.COUNTS] / rate)

    def word_s(self, now: float) -> float:
        """Return the time between two words that hold counts, of either form."""
        return min(self.digest_s(now), self.counts_s)
