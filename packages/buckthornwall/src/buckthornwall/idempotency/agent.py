"""Run calls under idempotency keys, locally or at the instance that owns the key.

Only the owner that a key names, or the instance that its ledger was handed to,
makes the upstream call.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from buckthornwall.codes import Executed, Refusal, ResultCode, UpstreamError
from buckthornwall.links import (
    CallForward,
    CallOutcome,
    HandoverAccepted,
    LedgerHandover,
    LedgerMoved,
    Message,
)
from buckthornwall.membership import MemberTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    Clock,
    Incarnation,
    NodeId,
    RequestId,
    new_id,
)

from .calls import CallRequest
from .keys import IdempotencyKey, KeyCodec
from .ledger import BeginResult, KeyLedger, StoredOutcome
from .settings import IdempotencySettings
from .transfer import LedgerTransfer, OwnerId

__all__ = ["IdempotencyAgent"]

CODE_BY_NUMBER = {code.number: code for code in ResultCode}
Send = Callable[[NodeId, Message], bool]


Dispatch = Callable[[CallRequest], Awaitable[StoredOutcome]]


@dataclass
class _PendingForward:
    """A call that was forwarded to its key's owner and awaits the outcome."""

    outcome: CallOutcome | None = None
    updated: trio.Event = field(default_factory=trio.Event)

    def notify(self) -> None:
        self.updated.set()
        self.updated = trio.Event()


class IdempotencyAgent:
    """Runs calls under the ledgers of this instance, both its own and adopted ones.

    Parameters
    ----------
    node, incarnation
        Id and incarnation of this instance, named in the keys that it issues.
    clock, settings
        The clock and the ``[idempotency]`` section.
    key_codec
        Encodes and decodes keys.
    members
        Table of the known instances.
    send
        Sends a message to an instance.
    is_up
        Returns whether the link to an instance is up.
    dispatch
        Runs a call once; raises `UpstreamError`, whose `sent` says whether it was sent.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        clock: Clock,
        settings: IdempotencySettings,
        key_codec: KeyCodec,
        members: MemberTable,
        send: Send,
        is_up: Callable[[NodeId], bool],
        dispatch: Dispatch,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.clock = clock
        self.settings = settings
        self.key_codec = key_codec
        self.members = members
        self.send = send
        self.is_up = is_up
        self.dispatch = dispatch
        self.local_ledger = KeyLedger(node, incarnation, settings.keys_kept)
        self.route_timeout_s: Callable[[str], float] = lambda route: 30.0
        self._completions: dict[tuple[OwnerId, int], trio.Event] = {}
        self._pending_forwards: dict[RequestId, _PendingForward] = {}
        self._active_forwards: set[RequestId] = set()
        self.transfer = LedgerTransfer(
            node, incarnation, settings, members, send, is_up, self._retry_forwards
        )
        self.ledgers = self.transfer.ledgers
        self.ledgers[node, incarnation] = self.local_ledger
        self.successors = self.transfer.successors
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Hold the nursery in which calls run independently of their callers."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def issue(self) -> str:
        """Issue a new key of this instance and return its text form."""
        key = IdempotencyKey(self.node, self.incarnation, self.local_ledger.issue())
        return self.key_codec.encode(key)

    async def call(self, text: str, request: CallRequest) -> StoredOutcome:
        """Run the call under its key, locally or at the key's owner.

        Raises
        ------
        Refusal
            If the call did not run, or if that is unknown; `run` says which.
        """
        key = self.key_codec.decode(text)
        if key is None:
            raise Refusal(ResultCode.KEY_FOREIGN)
        if (key.owner, key.incarnation) in self.ledgers:
            return await self._call_locally(key, request)
        return await self._call_remotely(key, text, request)

    # Calls under ledgers held here

    async def _call_locally(
        self, key: IdempotencyKey, request: CallRequest
    ) -> StoredOutcome:
        owner = (key.owner, key.incarnation)
        ledger = self.ledgers[owner]
        result = ledger.begin(key.serial, request.fingerprint())
        if result is BeginResult.DISPATCH:
            completed = self._completions[owner, key.serial] = trio.Event()
            self._nursery.start_soon(
                self._execute, ledger, key.serial, request, completed
            )
            await completed.wait()
        elif result is BeginResult.JOIN:
            await self._completions[owner, key.serial].wait()
        elif result is BeginResult.SEALED:
            return await self._call_successor(key, request)
        else:
            _raise_if_refused(result)
        return self._outcome(ledger, key.serial, request)

    def _outcome(
        self, ledger: KeyLedger, serial: int, request: CallRequest
    ) -> StoredOutcome:
        outcome = ledger.outcome(serial)
        if outcome is not None:
            return outcome
        _raise_if_refused(BeginResult(ledger.state(serial).name.lower()))
        raise Refusal(ResultCode.OUTCOME_UNKNOWN, run=Executed.UNKNOWN)

    async def _execute(
        self,
        ledger: KeyLedger,
        serial: int,
        request: CallRequest,
        completed: trio.Event,
    ) -> None:
        """Make the only upstream call of a key that was marked DISPATCHED."""
        try:
            with trio.fail_after(request.timeout_s):
                outcome = await self.dispatch(request)
            ledger.record_outcome(serial, outcome)
        except UpstreamError as error:
            if error.sent:
                ledger.mark_unknown(serial)
            else:
                ledger.mark_void(serial)
            log_event("call_failed", "WARNING", code=error.code.number, sent=error.sent)
        except trio.TooSlowError:
            ledger.mark_unknown(serial)
            log_event("call_timed_out", "WARNING", route=request.route)
        finally:
            if ledger.outcome(serial) is None:
                ledger.mark_unknown(serial)  # no effect on a key that is VOID
            completed.set()
            del self._completions[(ledger.owner, ledger.incarnation), serial]

    async def _call_successor(
        self, key: IdempotencyKey, request: CallRequest
    ) -> StoredOutcome:
        """Wait until a sealed ledger is handed over, then forward to its new holder."""
        return await self._call_remotely(key, self.key_codec.encode(key), request)

    # Calls under ledgers held elsewhere

    def _holder(self, key: IdempotencyKey) -> NodeId:
        return self.successors.get((key.owner, key.incarnation), key.owner)

    def _has_owner_ended(self, key: IdempotencyKey) -> bool:
        """Return whether the owner's incarnation is known to have ended."""
        owner = (key.owner, key.incarnation)
        if owner in self.successors or owner in self.ledgers:
            return False
        if key.owner == self.node:
            return key.incarnation != self.incarnation
        member = self.members.members.get(key.owner)
        return (
            member is not None
            and member.incarnation not in (0, key.incarnation)
            and member.last_heartbeat_at is not None
        )

    async def _call_remotely(
        self, key: IdempotencyKey, text: str, request: CallRequest
    ) -> StoredOutcome:
        """Forward the call to the key's owner, repeatedly until it answers.

        Repeating is safe: the owner's ledger joins a repeat to the call in flight.
        """
        call = RequestId(new_id())
        forwarded = self._pending_forwards[call] = _PendingForward()
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
            del self._pending_forwards[call]
        return _to_stored_outcome(forwarded.outcome)

    async def _forward_once(
        self,
        key: IdempotencyKey,
        message: CallForward,
        forwarded: _PendingForward,
        deadline: float,
    ) -> None:
        unknown = Refusal(ResultCode.OUTCOME_UNKNOWN, run=Executed.UNKNOWN)
        if self._has_owner_ended(key) or self.clock.now() >= deadline:
            raise unknown
        holder = self._holder(key)
        if holder != self.node and not await self._wait_for_link(holder):
            if self._holder(key) == holder:
                raise unknown
            return
        updated = forwarded.updated
        if holder != self.node:
            self.send(holder, message)
        with trio.move_on_after(self.settings.forward_repeat_s):
            await updated.wait()

    async def _wait_for_link(self, holder: NodeId) -> bool:
        """Wait up to `owner_patience_s`; return whether a link came up."""
        with trio.move_on_after(self.settings.owner_patience_s):
            while not self.is_up(holder):
                await trio.sleep(self.settings.forward_repeat_s / 4)
            return True
        return False

    # Messages from peers

    def handle(self, node: NodeId, message: Message) -> None:
        """Process one message from a peer."""
        if isinstance(message, CallForward):
            if message.call not in self._active_forwards:
                self._active_forwards.add(message.call)
                self._nursery.start_soon(self._serve_forward, node, message)
        elif isinstance(message, CallOutcome):
            forwarded = self._pending_forwards.get(message.call)
            if forwarded is not None:
                forwarded.outcome = message
                forwarded.notify()
        elif isinstance(message, LedgerHandover | HandoverAccepted | LedgerMoved):
            self.transfer.handle(node, message)

    async def _serve_forward(self, node: NodeId, message: CallForward) -> None:
        request = CallRequest(
            message.route,
            message.team,
            message.method,
            message.path,
            [(name, value) for name, value in message.headers],
            message.body,
            self.route_timeout_s(message.route),
        )
        try:
            outcome = await self._answer_forward(node, message, request)
        finally:
            self._active_forwards.discard(message.call)
        if outcome is not None:
            self.send(node, outcome)

    async def _answer_forward(
        self, node: NodeId, message: CallForward, request: CallRequest
    ) -> CallOutcome | None:
        """Run a forwarded call if its ledger is held here.

        Returns None if the sender is to repeat the call at another instance.
        """
        key = self.key_codec.decode(message.key)
        if key is None:
            code = ResultCode.KEY_FOREIGN
            return CallOutcome(message.call, code.number, run=Executed.NO.value)
        owner = (key.owner, key.incarnation)
        ledger = self.ledgers.get(owner)
        if ledger is None:
            return self._answer_without_ledger(node, message.call, owner)
        if ledger.sealed:
            return None  # the sender repeats the call once it knows the successor
        try:
            outcome = await self.call(message.key, request)
        except Refusal as error:
            return CallOutcome(
                message.call, error.code.number, error.detail, error.run.value
            )
        return CallOutcome(
            message.call, 0, "", "", outcome.status, outcome.headers, outcome.body
        )

    def _retry_forwards(self) -> None:
        for forwarded in self._pending_forwards.values():
            forwarded.notify()

    def _answer_without_ledger(
        self, node: NodeId, call: RequestId, owner: OwnerId
    ) -> CallOutcome | None:
        """Report the ledger's new holder, or answer that the outcome is unknown."""
        if owner in self.successors:
            self.send(node, LedgerMoved(*owner, self.successors[owner]))
            return None
        code = ResultCode.OUTCOME_UNKNOWN
        return CallOutcome(call, code.number, run=Executed.UNKNOWN.value)


def _raise_if_refused(result: BeginResult) -> None:
    refusals = {
        BeginResult.UNKNOWN: (ResultCode.OUTCOME_UNKNOWN, Executed.UNKNOWN),
        BeginResult.VOID: (ResultCode.KEY_VOID, Executed.NO),
        BeginResult.REUSED: (ResultCode.KEY_REUSED, Executed.NO),
        BeginResult.EXPIRED: (ResultCode.KEY_EXPIRED, Executed.UNKNOWN),
        BeginResult.NOT_ISSUED: (ResultCode.KEY_FOREIGN, Executed.NO),
    }
    if result in refusals:
        code, run = refusals[result]
        raise Refusal(code, run=run)


def _to_stored_outcome(outcome: CallOutcome) -> StoredOutcome:
    if outcome.code:
        code = CODE_BY_NUMBER.get(outcome.code, ResultCode.OUTCOME_UNKNOWN)
        run = Executed(outcome.run) if outcome.run else Executed.UNKNOWN
        raise Refusal(code, outcome.detail, run)
    headers = [(name, value) for name, value in outcome.headers]
    return StoredOutcome(outcome.status, headers, outcome.body)
