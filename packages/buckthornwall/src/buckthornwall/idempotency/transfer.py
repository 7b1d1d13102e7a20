"""Hand-over of ledgers at a planned stop.

An instance that stops offers each ledger to a single successor and to no other,
even if the successor never acknowledges it: two holders could both dispatch a call.
"""

from collections.abc import Callable

import trio

from buckthornwall.links import (
    HandoverAccepted,
    KeyEntry,
    LedgerHandover,
    LedgerMoved,
    Message,
)
from buckthornwall.membership import MemberTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Incarnation, NodeId, rendezvous_winner

from .ledger import KeyLedger
from .settings import IdempotencySettings

__all__ = ["LedgerTransfer", "OwnerId"]

ENTRIES_PER_CHUNK = 200
OwnerId = tuple[NodeId, Incarnation]
Send = Callable[[NodeId, Message], bool]


class LedgerTransfer:
    """Hands ledgers over, adopts them, and tracks which instance holds each.

    Parameters
    ----------
    node, incarnation
        Id and incarnation of this instance.
    settings
        The ``[idempotency]`` section.
    members
        Table of the known instances.
    send, is_up
        Send a message to an instance; return whether the link to it is up.
    retry_forwards
        Called when a peer reports that a ledger has moved.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        settings: IdempotencySettings,
        members: MemberTable,
        send: Send,
        is_up: Callable[[NodeId], bool],
        retry_forwards: Callable[[], None],
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.settings = settings
        self.members = members
        self.send = send
        self.is_up = is_up
        self.retry_forwards = retry_forwards
        self.ledgers: dict[OwnerId, KeyLedger] = {}
        self.successors: dict[OwnerId, NodeId] = {}
        self._chunks: dict[OwnerId, dict[int, LedgerHandover]] = {}
        self._accepted: dict[OwnerId, trio.Event] = {}

    def handle(self, node: NodeId, message: Message) -> None:
        """Process one message from a peer."""
        if isinstance(message, LedgerHandover):
            self._receive_chunk(node, message)
        elif isinstance(message, HandoverAccepted):
            event = self._accepted.get((message.owner, message.incarnation))
            if event is not None:
                event.set()
        elif isinstance(message, LedgerMoved):
            self._receive_move(message)

    async def hand_over(self) -> None:
        """Seal all ledgers held here and hand each to one successor."""
        for ledger in self.ledgers.values():
            ledger.seal()
        while any(ledger.in_flight() for ledger in self.ledgers.values()):
            await trio.sleep(self.settings.forward_repeat_s / 10)
        async with trio.open_nursery() as nursery:
            for ledger in list(self.ledgers.values()):
                nursery.start_soon(self._hand_over_ledger, ledger)

    async def _hand_over_ledger(self, ledger: KeyLedger) -> None:
        if ledger.next_serial == 1:
            return  # no key was issued
        owner = (ledger.owner, ledger.incarnation)
        accepted = self._accepted[owner] = trio.Event()
        chunks: list[LedgerHandover] = []
        successor: NodeId | None = None
        with trio.move_on_after(self.settings.hand_over_s):
            while not accepted.is_set():
                successor = successor or self._choose_successor(owner)
                if successor is not None:
                    chunks = chunks or self._split(ledger, successor)
                    for chunk in chunks:
                        self.send(successor, chunk)
                with trio.move_on_after(self.settings.forward_repeat_s):
                    await accepted.wait()
        log_event(
            "keys_handed_over" if accepted.is_set() else "keys_lost",
            "INFO" if accepted.is_set() else "WARNING",
            owner=ledger.owner,
            successor=successor,
            keys=ledger.next_serial - 1,
        )
        if accepted.is_set():
            self._announce_move(LedgerMoved(*owner, successor))

    def _choose_successor(self, owner: OwnerId) -> NodeId | None:
        """Return the successor of a ledger, or None if no link to a peer is up.

        Once anything was sent to a successor, no other is chosen.
        """
        peers = [
            node
            for node in self.members.live()
            if node != self.node and self.is_up(node)
        ]
        return rendezvous_winner(f"keys:{owner[0]}:{owner[1]}", peers)

    def _split(self, ledger: KeyLedger, successor: NodeId) -> list[LedgerHandover]:
        entries = ledger.export_entries()
        slices: list[list[KeyEntry]] = [
            entries[start : start + ENTRIES_PER_CHUNK]
            for start in range(0, len(entries), ENTRIES_PER_CHUNK)
        ] or [[]]
        return [
            LedgerHandover(
                ledger.owner,
                ledger.incarnation,
                ledger.next_serial,
                ledger.oldest_serial,
                chunk,
                index,
                len(slices),
                self.members.members[successor].incarnation,
            )
            for index, chunk in enumerate(slices)
        ]

    def _receive_chunk(self, node: NodeId, message: LedgerHandover) -> None:
        if message.successor_incarnation != self.incarnation:
            return
        owner = (message.owner, message.incarnation)
        if owner not in self.ledgers:
            chunks = self._chunks.setdefault(owner, {})
            chunks[message.chunk_index] = message
            if len(chunks) < message.chunk_count:
                return
            self._adopt_ledger(owner, self._chunks.pop(owner))
        self.send(node, HandoverAccepted(*owner))

    def _adopt_ledger(self, owner: OwnerId, chunks: dict[int, LedgerHandover]) -> None:
        entries = [entry for chunk in chunks.values() for entry in chunk.entries]
        self.ledgers[owner] = KeyLedger.from_handover(
            *owner,
            self.settings.keys_kept,
            chunks[0].next_serial,
            chunks[0].oldest_serial,
            entries,
        )
        self.successors.pop(owner, None)
        self._announce_move(LedgerMoved(*owner, self.node))

    def _announce_move(self, message: LedgerMoved) -> None:
        if message.successor != self.node:
            self.successors[message.owner, message.incarnation] = message.successor
        for node in list(self.members.members):
            self.send(node, message)

    def _receive_move(self, message: LedgerMoved) -> None:
        owner = (message.owner, message.incarnation)
        ledger = self.ledgers.get(owner)
        if ledger is not None and not ledger.sealed:
            return  # this instance holds the ledger now
        self.successors[owner] = message.successor
        self.retry_forwards()

    def send_moves(self, node: NodeId) -> None:
        """Send a peer whose link came up the instances that hold moved ledgers."""
        for (owner, incarnation), successor in self.successors.items():
            self.send(node, LedgerMoved(owner, incarnation, successor))
        for owner, incarnation in self.ledgers:
            if owner != self.node:
                self.send(node, LedgerMoved(owner, incarnation, self.node))
