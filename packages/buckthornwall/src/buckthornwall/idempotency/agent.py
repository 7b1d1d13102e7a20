"""The tasks around the ledgers: run, forward, and hand over calls.

Only the owner that a key names opens the upstream call. An owner that stops
as planned hands its ledger to one successor and to no other, even if it never
hears that the successor took it: two holders could both dispatch.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from hashlib import blake2b

import trio

from buckthornwall.codes import Refusal, ResultCode, Run, UpstreamError
from buckthornwall.links import (
    CallForward,
    CallOutcome,
    HandOver,
    HandOverTaken,
    KeyEntry,
    Message,
    OwnerMoved,
)
from buckthornwall.membership import MemberTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    Clock,
    ConfigItem,
    ConfigNamespace,
    Incarnation,
    NodeId,
    RequestId,
    TeamId,
    new_id,
    rendezvous_winner,
)

from .keys import IdempotencyKey, KeyMint
from .ledger import BeginResult, KeyLedger, StoredOutcome

__all__ = ["CallRequest", "CallResult", "IdempotencyAgent", "IdempotencySettings"]

CODES = {code.number: code for code in ResultCode}
ENTRIES_A_PART = 200
OwnerId = tuple[NodeId, Incarnation]
Send = Callable[[NodeId, Message], bool]


class IdempotencySettings(ConfigNamespace):
    """Settings of idempotent calls."""

    section = "idempotency"

    keys_kept = ConfigItem(
        5000, "Used keys that an instance remembers.", minimum=1, maximum=100_000
    )
    forward_repeat_s = ConfigItem(
        0.5, "Seconds after which a call is handed to its owner again.", minimum=0.05
    )
    owner_patience_s = ConfigItem(
        2.0, "Seconds to wait for a link to a key's owner.", minimum=0.1
    )
    hand_over_s = ConfigItem(
        5.0, "Seconds that a stopping owner tries to hand over.", minimum=0.1
    )


@dataclass
class CallRequest:
    """One call to a plain service that may not be repeated."""

    route: str
    team: TeamId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    timeout_s: float

    def fingerprint(self) -> str:
        """Return a digest of everything that makes it this call."""
        digest = blake2b(digest_size=12)
        for part in (self.route, self.team, self.method, self.path):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()


CallResult = StoredOutcome
Dispatch = Callable[[CallRequest], Awaitable[StoredOutcome]]


@dataclass
class _Forwarded:
    """A call that waits here for its owner's answer."""

    outcome: CallOutcome | None = None
    news: trio.Event = field(default_factory=trio.Event)

    def tell(self) -> None:
        self.news.set()
        self.news = trio.Event()


class IdempotencyAgent:
    """Owns the ledgers held by this instance, its own and inherited ones.

    Parameters
    ----------
    node, incarnation
        This instance; its own keys carry both.
    clock, settings
        The clock and the ``[idempotency]`` section.
    mint
        Writes and reads keys.
    members
        The view of the fleet.
    send
        Sends a message to an instance.
    is_up
        Tells whether a link to an instance stands.
    dispatch
        Runs a call once; raises `UpstreamError` saying whether it was sent.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        clock: Clock,
        settings: IdempotencySettings,
        mint: KeyMint,
        members: MemberTable,
        send: Send,
        is_up: Callable[[NodeId], bool],
        dispatch: Dispatch,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.clock = clock
        self.settings = settings
        self.mint = mint
        self.members = members
        self.send = send
        self.is_up = is_up
        self.dispatch = dispatch
        self.own = KeyLedger(node, incarnation, settings.keys_kept)
        self.ledgers: dict[OwnerId, KeyLedger] = {(node, incarnation): self.own}
        self.moved: dict[OwnerId, NodeId] = {}
        self.timeout_of: Callable[[str], float] = lambda route: 30.0
        self._ended: dict[tuple[OwnerId, int], trio.Event] = {}
        self._forwarded: dict[RequestId, _Forwarded] = {}
        self._serving: set[RequestId] = set()
        self._parts: dict[OwnerId, dict[int, HandOver]] = {}
        self._taken: dict[OwnerId, trio.Event] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep the nursery in which calls run, apart from their callers."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def issue(self) -> str:
        """Return the text of a fresh key of this instance."""
        key = IdempotencyKey(self.node, self.incarnation, self.own.issue())
        return self.mint.write(key)

    async def call(self, text: str, request: CallRequest) -> StoredOutcome:
        """Run the call under its key, here or at the key's owner.

        Raises
        ------
        Refusal
            Saying whether the call ran: no, or unknown.
        """
        key = self.mint.read(text)
        if key is None:
            raise Refusal(ResultCode.KEY_FOREIGN)
        if (key.owner, key.incarnation) in self.ledgers:
            return await self._call_here(key, request)
        return await self._call_owner(key, text, request)

    # At the owner

    async def _call_here(
        self, key: IdempotencyKey, request: CallRequest
    ) -> StoredOutcome:
        owner = (key.owner, key.incarnation)
        ledger = self.ledgers[owner]
        result = ledger.begin(key.serial, request.fingerprint())
        if result is BeginResult.DISPATCH:
            ended = self._ended[owner, key.serial] = trio.Event()
            self._nursery.start_soon(self._execute, ledger, key.serial, request, ended)
            await ended.wait()
        elif result is BeginResult.JOIN:
            await self._ended[owner, key.serial].wait()
        elif result is BeginResult.SEALED:
            return await self._call_successor(key, request)
        else:
            _raise_unless_known(result)
        return self._outcome(ledger, key.serial, request)

    def _outcome(
        self, ledger: KeyLedger, serial: int, request: CallRequest
    ) -> StoredOutcome:
        outcome = ledger.outcome(serial)
        if outcome is not None:
            return outcome
        _raise_unless_known(BeginResult(ledger.state(serial).name.lower()))
        raise Refusal(ResultCode.OUTCOME_UNKNOWN, run=Run.UNKNOWN)

    async def _execute(
        self, ledger: KeyLedger, serial: int, request: CallRequest, ended: trio.Event
    ) -> None:
        """Make the one upstream call of a key that was marked DISPATCHED."""
        try:
            with trio.fail_after(request.timeout_s):
                outcome = await self.dispatch(request)
            ledger.finish(serial, outcome)
        except UpstreamError as error:
            if error.sent:
                ledger.lose(serial)
            else:
                ledger.void(serial)
            log_event("call_failed", "WARNING", code=error.code.number, sent=error.sent)
        except trio.TooSlowError:
            ledger.lose(serial)
            log_event("call_timed_out", "WARNING", route=request.route)
        finally:
            if ledger.outcome(serial) is None:
                ledger.lose(serial)  # no effect on a key that is VOID
            ended.set()
            del self._ended[(ledger.owner, ledger.incarnation), serial]

    async def _call_successor(
        self, key: IdempotencyKey, request: CallRequest
    ) -> StoredOutcome:
        """Wait until a sealed ledger is handed over, then ask its new holder."""
        return await self._call_owner(key, self.mint.write(key), request)

    # At any other instance

    def _holder(self, key: IdempotencyKey) -> NodeId:
        return self.moved.get((key.owner, key.incarnation), key.owner)

    def _owner_is_gone(self, key: IdempotencyKey) -> bool:
        """Tell whether the owner's incarnation is known to have ended."""
        owner = (key.owner, key.incarnation)
        if owner in self.moved or owner in self.ledgers:
            return False
        if key.owner == self.node:
            return key.incarnation != self.incarnation
        member = self.members.members.get(key.owner)
        return (
            member is not None
            and member.incarnation not in (0, key.incarnation)
            and member.last_heard is not None
        )

    async def _call_owner(
        self, key: IdempotencyKey, text: str, request: CallRequest
    ) -> StoredOutcome:
        """Hand the call to the key's owner, again and again until it answers.

        Repeating is safe: the owner's ledger joins what it has begun.
        """
        call = RequestId(new_id())
        forwarded = self._forwarded[call] = _Forwarded()
        message = CallForward(
            call,
            text,
            request.route,
            request.team,
            request.method,
            request.path,
            request.headers,
            request.body,
        )
        deadline = self.clock.now() + request.timeout_s
        try:
            while forwarded.outcome is None:
                await self._forward_once(key, message, forwarded, deadline)
        finally:
            del self._forwarded[call]
        return _unpack(forwarded.outcome)

    async def _forward_once(
        self,
        key: IdempotencyKey,
        message: CallForward,
        forwarded: _Forwarded,
        deadline: float,
    ) -> None:
        unknown = Refusal(ResultCode.OUTCOME_UNKNOWN, run=Run.UNKNOWN)
        if self._owner_is_gone(key) or self.clock.now() >= deadline:
            raise unknown
        holder = self._holder(key)
        if holder != self.node and not await self._link_to(holder):
            if self._holder(key) == holder:
                raise unknown
            return
        news = forwarded.news
        if holder != self.node:
            self.send(holder, message)
        with trio.move_on_after(self.settings.forward_repeat_s):
            await news.wait()

    async def _link_to(self, holder: NodeId) -> bool:
        """Wait a little for a link; False if none comes up."""
        with trio.move_on_after(self.settings.owner_patience_s):
            while not self.is_up(holder):
                await trio.sleep(self.settings.forward_repeat_s / 4)
            return True
        return False

    # What arrives

    def handle(self, node: NodeId, message: Message) -> None:
        """Take one message from a peer."""
        if isinstance(message, CallForward):
            if message.call not in self._serving:
                self._serving.add(message.call)
                self._nursery.start_soon(self._serve_forward, node, message)
        elif isinstance(message, CallOutcome):
            forwarded = self._forwarded.get(message.call)
            if forwarded is not None:
                forwarded.outcome = message
                forwarded.tell()
        elif isinstance(message, HandOver):
            self._take_part(node, message)
        elif isinstance(message, HandOverTaken):
            event = self._taken.get((message.owner, message.incarnation))
            if event is not None:
                event.set()
        elif isinstance(message, OwnerMoved):
            self._take_news(message)

    async def _serve_forward(self, node: NodeId, message: CallForward) -> None:
        request = CallRequest(
            message.route,
            message.team,
            message.method,
            message.path,
            [(name, value) for name, value in message.headers],
            message.body,
            self.timeout_of(message.route),
        )
        try:
            outcome = await self._answer_forward(node, message, request)
        finally:
            self._serving.discard(message.call)
        if outcome is not None:
            self.send(node, outcome)

    async def _answer_forward(
        self, node: NodeId, message: CallForward, request: CallRequest
    ) -> CallOutcome | None:
        """Run a forwarded call if its ledger is here; else stay silent."""
        key = self.mint.read(message.key)
        if key is None:
            code = ResultCode.KEY_FOREIGN
            return CallOutcome(message.call, code.number, run=Run.NO.value)
        owner = (key.owner, key.incarnation)
        ledger = self.ledgers.get(owner)
        if ledger is None:
            return self._answer_not_held(node, message.call, owner)
        if ledger.sealed:
            return None  # the asker asks again once it hears of the successor
        try:
            outcome = await self.call(message.key, request)
        except Refusal as error:
            return CallOutcome(
                message.call, error.code.number, error.detail, error.run.value
            )
        return CallOutcome(
            message.call, 0, "", "", outcome.status, outcome.headers, outcome.body
        )

    def _answer_not_held(
        self, node: NodeId, call: RequestId, owner: OwnerId
    ) -> CallOutcome | None:
        """Say where the keys went, or that whoever held them is gone."""
        if owner in self.moved:
            self.send(node, OwnerMoved(*owner, self.moved[owner]))
            return None
        code = ResultCode.OUTCOME_UNKNOWN
        return CallOutcome(call, code.number, run=Run.UNKNOWN.value)

    # Hand-over

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
        for forwarded in self._forwarded.values():
            forwarded.tell()

    def news_for(self, node: NodeId) -> None:
        """Tell a peer whose link has come up what has moved where."""
        for (owner, incarnation), successor in self.moved.items():
            self.send(node, OwnerMoved(owner, incarnation, successor))
        for owner, incarnation in self.ledgers:
            if owner != self.node:
                self.send(node, OwnerMoved(owner, incarnation, self.node))


def _raise_unless_known(result: BeginResult) -> None:
    refusals = {
        BeginResult.UNKNOWN: (ResultCode.OUTCOME_UNKNOWN, Run.UNKNOWN),
        BeginResult.VOID: (ResultCode.KEY_VOID, Run.NO),
        BeginResult.REUSED: (ResultCode.KEY_REUSED, Run.NO),
        BeginResult.EXPIRED: (ResultCode.KEY_EXPIRED, Run.UNKNOWN),
        BeginResult.NOT_ISSUED: (ResultCode.KEY_FOREIGN, Run.NO),
    }
    if result in refusals:
        code, run = refusals[result]
        raise Refusal(code, run=run)


def _unpack(outcome: CallOutcome) -> StoredOutcome:
    if outcome.code:
        code = CODES.get(outcome.code, ResultCode.OUTCOME_UNKNOWN)
        run = Run(outcome.run) if outcome.run else Run.UNKNOWN
        raise Refusal(code, outcome.detail, run)
    headers = [(name, value) for name, value in outcome.headers]
    return StoredOutcome(outcome.status, headers, outcome.body)
