"""Hand-over of ledgers at a planned stop.

An owner that stops hands its ledger to one successor and to no other, even if
it never hears that the successor took it: two holders could both dispatch.
"""

from collections.abc import Callable

import trio

from buckthornwall.links import (
    HandOver,
    HandOverTaken,
    KeyEntry,
    Message,
    OwnerMoved,
)
from buckthornwall.membership import MemberTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Incarnation, NodeId, rendezvous_winner

from .ledger import KeyLedger
from .settings import IdempotencySettings

__all__ = ["LedgerTransfer", "OwnerId"]

ENTRIES_A_PART = 200
OwnerId = tuple[NodeId, Incarnation]
Send = Callable[[NodeId, Message], bool]


class LedgerTransfer:
    """Gives ledgers away, takes them, and tells who holds what.

    Parameters
    ----------
    node, incarnation
        This instance.
    settings
        The ``[idempotency]`` section.
    members
        The view of the fleet.
    send, is_up
        Send a message to an instance; tell whether a link to it stands.
    ask_again
        Called when a ledger is heard to have moved.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        settings: IdempotencySettings,
        members: MemberTable,
        send: Send,
        is_up: Callable[[NodeId], bool],
        ask_again: Callable[[], None],
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.settings = settings
        self.members = members
        self.send = send
        self.is_up = is_up
        self.ask_again = ask_again
        self.ledgers: dict[OwnerId, KeyLedger] = {}
        self.moved: dict[OwnerId, NodeId] = {}
        self._parts: dict[OwnerId, dict[int, HandOver]] = {}
        self._taken: dict[OwnerId, trio.Event] = {}

    def handle(self, node: NodeId, message: Message) -> None:
        """Take one message from a peer."""
        if isinstance(message, HandOver):
            self._take_part(node, message)
        elif isinstance(message, HandOverTaken):
            event = self._taken.get((message.owner, message.incarnation))
            if event is not None:
                event.set()
        elif isinstance(message, OwnerMoved):
            self._take_news(message)

    async def hand_over(self) -> None:
        """Seal every ledger held here and give each to one successor."""
        for ledger in self.ledgers.values():
            ledger.seal()
        while any(ledger.in_flight() for ledger in self.ledgers.values()):
            await trio.sleep(self.settings.forward_repeat_s / 10)
        async with trio.open_nursery() as nursery:
            for ledger in list(self.ledgers.values()):
                nursery.start_soon(self._hand_over_one, ledger)

    async def _hand_over_one(self, ledger: KeyLedger) -> None:
        if ledger.next_serial == 1:
            return  # no key of it exists
        owner = (ledger.owner, ledger.incarnation)
        taken = self._taken[owner] = trio.Event()
        parts: list[HandOver] = []
        successor: NodeId | None = None
        with trio.move_on_after(self.settings.hand_over_s):
            while not taken.is_set():
                successor = successor or self._choose_successor(owner)
                if successor is not None:
                    parts = parts or self._split(ledger, successor)
                    for part in parts:
                        self.send(successor, part)
                with trio.move_on_after(self.settings.forward_repeat_s):
                    await taken.wait()
        log_event(
            "keys_handed_over" if taken.is_set() else "keys_lost",
            "INFO" if taken.is_set() else "WARNING",
            owner=ledger.owner,
            successor=successor,
            keys=ledger.next_serial - 1,
        )
        if taken.is_set():
            self._tell_moved(OwnerMoved(*owner, successor))

    def _choose_successor(self, owner: OwnerId) -> NodeId | None:
        """Choose once; a choice that was sent anything is never changed."""
        peers = [
            node
            for node in self.members.live()
            if node != self.node and self.is_up(node)
        ]
        return rendezvous_winner(f"keys:{owner[0]}:{owner[1]}", peers)

    def _split(self, ledger: KeyLedger, successor: NodeId) -> list[HandOver]:
        entries = ledger.export_entries()
        slices: list[list[KeyEntry]] = [
            entries[start : start + ENTRIES_A_PART]
            for start in range(0, len(entries), ENTRIES_A_PART)
        ] or [[]]
        return [
            HandOver(
                ledger.owner,
                ledger.incarnation,
                ledger.next_serial,
                ledger.oldest_serial,
                part,
                index,
                len(slices),
                self.members.members[successor].incarnation,
            )
            for index, part in enumerate(slices)
        ]

    def _take_part(self, node: NodeId, message: HandOver) -> None:
        if message.successor != self.incarnation:
            return
        owner = (message.owner, message.incarnation)
        if owner not in self.ledgers:
            parts = self._parts.setdefault(owner, {})
            parts[message.part] = message
            if len(parts) < message.parts:
                return
            self._take_ledger(owner, self._parts.pop(owner))
        self.send(node, HandOverTaken(*owner))

    def _take_ledger(self, owner: OwnerId, parts: dict[int, HandOver]) -> None:
        entries = [entry for part in parts.values() for entry in part.entries]
        self.ledgers[owner] = KeyLedger.from_hand_over(
            *owner,
            self.settings.keys_kept,
            parts[0].next_serial,
            parts[0].oldest_serial,
            entries,
        )
        self.moved.pop(owner, None)
        self._tell_moved(OwnerMoved(*owner, self.node))

    def _tell_moved(self, message: OwnerMoved) -> None:
        if message.successor != self.node:
            self.moved[message.owner, message.incarnation] = message.successor
        for node in list(self.members.members):
            self.send(node, message)

    def _take_news(self, message: OwnerMoved) -> None:
        owner = (message.owner, message.incarnation)
        ledger = self.ledgers.get(owner)
        if ledger is not None and not ledger.sealed:
            return  # it is held here now
        self.moved[owner] = message.successor
        self.ask_again()

    def news_for(self, node: NodeId) -> None:
        """Tell a peer whose link has come up what has moved where."""
        for (owner, incarnation), successor in self.moved.items():
            self.send(node, OwnerMoved(owner, incarnation, successor))
        for owner, incarnation in self.ledgers:
            if owner != self.node:
                self.send(node, OwnerMoved(owner, incarnation, self.node))
