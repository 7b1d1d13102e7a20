"""What an owner knows of its keys: a pure state machine.

A key that was issued and is not in the ledger has never been used. The states
of a used key only ever move forward::

    (unused) -> DISPATCHED -> DONE | UNKNOWN | VOID
    (unused) -> VOID

DISPATCHED is entered before the first byte of the call leaves, and nothing
leads back from it to a state in which the call could be sent.
"""

from dataclasses import dataclass
from enum import Enum

from buckthornwall.links import KeyEntry
from buckthornwall.utils import Incarnation, NodeId

__all__ = ["BeginResult", "KeyLedger", "KeyState", "StoredOutcome"]


class KeyState(Enum):
    """State of a key that has been used."""

    DISPATCHED = 1
    DONE = 2
    UNKNOWN = 3
    VOID = 4


class BeginResult(Enum):
    """What the holder of a key may do now."""

    DISPATCH = "dispatch"
    JOIN = "join"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"
    REUSED = "reused"
    EXPIRED = "expired"
    NOT_ISSUED = "not issued"
    SEALED = "sealed"


@dataclass
class StoredOutcome:
    """A service's answer, kept for repeats of the call."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass
class _Entry:
    state: KeyState
    fingerprint: str
    outcome: StoredOutcome | None = None


class KeyLedger:
    """Keys of one owner's incarnation.

    Parameters
    ----------
    owner, incarnation
        Whose keys these are.
    max_used_keys
        Used keys to remember; older ones are answered as expired, since what
        became of them is no longer known.
    """

    def __init__(
        self, owner: NodeId, incarnation: Incarnation, max_used_keys: int
    ) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self.max_used_keys = max_used_keys
        self.next_serial = 1
        self.oldest_serial = 1
        self.sealed = False
        self._entries: dict[int, _Entry] = {}

    def issue(self) -> int:
        """Return a serial number that has never been issued before."""
        serial = self.next_serial
        self.next_serial += 1
        return serial

    def begin(self, serial: int, fingerprint: str) -> BeginResult:
        """Ask to run the call under a key; DISPATCH marks it as sent.

        Parameters
        ----------
        serial
            The key's serial number.
        fingerprint
            Digest of the whole call, to catch a key used for two calls.
        """
        if self.sealed:
            return BeginResult.SEALED
        if not 1 <= serial < self.next_serial:
            return BeginResult.NOT_ISSUED
        entry = self._entries.get(serial)
        if entry is None:
            if serial < self.oldest_serial:
                return BeginResult.EXPIRED
            self._entries[serial] = _Entry(KeyState.DISPATCHED, fingerprint)
            self._evict_oldest()
            return BeginResult.DISPATCH
        if entry.fingerprint != fingerprint:
            return BeginResult.REUSED
        return {
            KeyState.DISPATCHED: BeginResult.JOIN,
            KeyState.DONE: BeginResult.DONE,
            KeyState.UNKNOWN: BeginResult.UNKNOWN,
            KeyState.VOID: BeginResult.VOID,
        }[entry.state]

    def record_outcome(self, serial: int, outcome: StoredOutcome) -> None:
        """Note the service's answer to a dispatched call."""
        entry = self._entries[serial]
        if entry.state is KeyState.DISPATCHED:
            entry.state = KeyState.DONE
            entry.outcome = outcome

    def mark_unknown(self, serial: int) -> None:
        """Note that a dispatched call's outcome will never be known here."""
        entry = self._entries[serial]
        if entry.state is KeyState.DISPATCHED:
            entry.state = KeyState.UNKNOWN

    def mark_void(self, serial: int) -> None:
        """Note that no byte of the call was sent and none ever will be."""
        entry = self._entries[serial]
        if entry.state is KeyState.DISPATCHED:
            entry.state = KeyState.VOID

    def state(self, serial: int) -> KeyState | None:
        """Return the state of a used key, or None if it is unused."""
        entry = self._entries.get(serial)
        return entry.state if entry else None

    def outcome(self, serial: int) -> StoredOutcome | None:
        """Return the kept answer of a key that is DONE."""
        entry = self._entries.get(serial)
        return entry.outcome if entry else None

    def _evict_oldest(self) -> None:
        excess = len(self._entries) - self.max_used_keys
        if excess <= 0:
            return
        for serial in sorted(self._entries)[:excess]:
            if self._entries[serial].state is KeyState.DISPATCHED:
                break
            del self._entries[serial]
            self.oldest_serial = max(self.oldest_serial, serial + 1)

    def seal(self) -> None:
        """Begin nothing more; what was begun may still end."""
        self.sealed = True

    def in_flight(self) -> int:
        """Count the calls that were begun and have not ended."""
        return sum(
            entry.state is KeyState.DISPATCHED for entry in self._entries.values()
        )

    def export_entries(self) -> list[KeyEntry]:
        """Return every used key, for a hand-over."""
        return [
            KeyEntry(
                serial,
                entry.state.value,
                entry.fingerprint,
                entry.outcome.status if entry.outcome else 0,
                entry.outcome.headers if entry.outcome else [],
                entry.outcome.body if entry.outcome else b"",
            )
            for serial, entry in self._entries.items()
        ]

    @classmethod
    def from_handover(
        cls,
        owner: NodeId,
        incarnation: Incarnation,
        max_used_keys: int,
        next_serial: int,
        oldest_serial: int,
        entries: list[KeyEntry],
    ) -> "KeyLedger":
        """Build the successor's ledger.

        A call that was still in flight at the old owner is UNKNOWN here: its
        answer went elsewhere.
        """
        ledger = cls(owner, incarnation, max_used_keys)
        ledger.next_serial = next_serial
        ledger.oldest_serial = oldest_serial
        for item in entries:
            state = KeyState(item.state)
            outcome = None
            if state is KeyState.DONE:
                headers = [(name, value) for name, value in item.headers]
                outcome = StoredOutcome(item.status, headers, item.body)
            if state is KeyState.DISPATCHED:
                state = KeyState.UNKNOWN
            ledger._entries[item.serial] = _Entry(state, item.fingerprint, outcome)
        return ledger
