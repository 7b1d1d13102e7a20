"""State of the idempotency keys that one instance issued, without any I/O.

A key that was issued and is not in the ledger has never been used. The state
of a used key only moves forward::

    (unused) -> DISPATCHED -> DONE | UNKNOWN | VOID
    (unused) -> VOID

DISPATCHED is entered before the first byte of the call is sent, and no transition
leads from it back to a state in which the call could be sent.
"""

from dataclasses import dataclass
from enum import Enum

from buckthornwall.links import KeyEntry
from buckthornwall.utils import Incarnation, NodeId

__all__ = ["BeginResult", "KeyLedger", "KeyState", "StoredOutcome"]


class KeyState(Enum):
    """State of a used key."""

    DISPATCHED = 1
    DONE = 2
    UNKNOWN = 3
    VOID = 4


class BeginResult(Enum):
    """What the holder of a ledger may do with a call, by `KeyLedger.begin`."""

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
    """A service's response, stored to answer repeats of the call."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass
class _Entry:
    state: KeyState
    fingerprint: str
    outcome: StoredOutcome | None = None


class KeyLedger:
    """Ledger of the keys that one incarnation of an instance issued.

    Parameters
    ----------
    owner, incarnation
        The instance that issued the keys.
    max_used_keys
        Number of used keys to remember; older ones count as expired, since their
        outcome is no longer known.
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
        """Claim a key for a call; with DISPATCH the key is marked as dispatched.

        Parameters
        ----------
        serial
            Serial number of the key.
        fingerprint
            Digest of the whole call, to detect a key that is used for two calls.
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
        """Store the service's response to a dispatched call."""
        entry = self._entries[serial]
        if entry.state is KeyState.DISPATCHED:
            entry.state = KeyState.DONE
            entry.outcome = outcome

    def mark_unknown(self, serial: int) -> None:
        """Record that the outcome of a dispatched call will never be known here."""
        entry = self._entries[serial]
        if entry.state is KeyState.DISPATCHED:
            entry.state = KeyState.UNKNOWN

    def mark_void(self, serial: int) -> None:
        """Record that no byte of the call was sent and none will be."""
        entry = self._entries[serial]
        if entry.state is KeyState.DISPATCHED:
            entry.state = KeyState.VOID

    def state(self, serial: int) -> KeyState | None:
        """Return the state of a used key, or None if it is unused."""
        entry = self._entries.get(serial)
        return entry.state if entry else None

    def outcome(self, serial: int) -> StoredOutcome | None:
        """Return the stored response of a key that is DONE, otherwise None."""
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
        """Accept no further calls; those in flight may still finish."""
        self.sealed = True

    def in_flight(self) -> int:
        """Return the number of calls that were dispatched and have not finished."""
        return sum(
            entry.state is KeyState.DISPATCHED for entry in self._entries.values()
        )

    def export_entries(self) -> list[KeyEntry]:
        """Return all used keys, for a hand-over."""
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
        """Build the successor's ledger from a hand-over.

        A call that was still in flight at the previous holder becomes UNKNOWN,
        since its response does not arrive here.
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
