"""One attempt at one upstream, and its outcome."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from buckthornwall.engine_model import EngineModel
from buckthornwall.http1 import (
    BodyFraming,
    ClientConnection,
    ExchangeError,
    ExchangeFailure,
)
from buckthornwall.pools import (
    Choice,
    Notice,
    Obstacle,
    StepObserver,
    UpstreamView,
)
from buckthornwall.routing import (
    PromptShape,
    Resolution,
    ResponseMode,
    RoutedRequest,
)
from buckthornwall.utils import Clock

from .completeness import CompletenessChecks
from .connections import ConnectionCache
from .delivery import Delivery
from .patience import Patience, Reviews
from .reply import AttemptContext, Reply, WireCodec
from .reply_memory import HeldReply, ReplyMemory

__all__ = ["Attempt", "AttemptEnd", "AttemptResult"]

# Of a reply to another request, or after a statement that the request has not run.
MAX_SKIPPED_BYTES = 64 * 2**10
# How long the rest of a reply is read that states that the request has not run.
SKIP_TIMEOUT_S = 0.25
# How an exchange fails when its upstream ends during it.
CONNECTION_LOST = frozenset({ExchangeFailure.RESET, ExchangeFailure.CLOSED})
# Heads that are read to find the reply to this request. If all name other requests, the
# exchange counts as malformed.
MAX_FOREIGN_REPLIES = 2


class AttemptEnd(Enum):
    """How an attempt ended."""

    DONE = "done"  # the client has the complete response
    NOT_SENT = "not_sent"  # no byte reached the upstream
    WITHHELD = "withheld"  # nothing was sent, since the upstream no longer wants it
    NOT_RUN = "not_run"  # the upstream states that it did not run the request
    FAILED = "failed"  # a complete reply reports a failure
    BROKEN = "broken"  # it may have run; no complete reply arrived


@dataclass(slots=True)
class AttemptResult:
    """The end of an attempt, with `reply` and `body` if a complete reply arrived.

    `failure` is how the exchange failed, if it did, and `began` whether the upstream
    sent an event of a stream. `held` is the memory of the body of a reply that failed.
    """

    end: AttemptEnd
    detail: str = ""
    reply: Reply | None = None
    body: bytes = b""
    failure: ExchangeFailure | None = None
    began: bool = False
    held: HeldReply | None = None

    @property
    def is_misdirected(self) -> bool:
        """Whether another upstream answered at the address."""
        return self.reply is not None and self.reply.misdirected

    @property
    def asked_for_rest(self) -> bool:
        """Whether the upstream wants no request for a while."""
        notice = self.reply.notice if self.reply is not None else None
        return notice is not None and notice.rest_s is not None

    @property
    def is_connection_lost(self) -> bool:
        """Whether the exchange failed as when its upstream ends."""
        return self.failure in CONNECTION_LOST


@dataclass(slots=True)
class Attempt:
    """One attempt at one upstream.

    `head_timeout_s` is how long to wait for the head of a reply, and `event_timeout_s`
    for each event after it, in seconds; None is as long as the client waits. After
    that, the attempt ends once `should_give_up` returns True. `find_obstacle` returns
    why the upstream is not to get the request any more, if so. `completeness` checks a
    reply that has ended. `reply_memory` bounds the memory of replies that have not.
    `note_prompt` records that the prompt is sent to the upstream, `record_rate_limit`
    the limit that it names, `record_brittle` the rejections that it survives,
    `record_notice` what it states about itself, and `model` learns the speed of the
    stream. `reviews` lists its waits. `on_first_event` is called when the first event
    of a stream arrives, and `has_begun` is whether it has. `open_at` is when the
    connection was last known to be open, in seconds.
    """

    request: RoutedRequest
    resolution: Resolution
    choice: Choice
    delivery: Delivery
    connections: ConnectionCache
    codec: WireCodec
    clock: Clock
    remaining_s: float
    max_idle_s: float
    head_timeout_s: float | None
    note_prompt: Callable[[UpstreamView, PromptShape], None]
    record_rate_limit: Callable[[UpstreamView, float], None]
    record_brittle: Callable[[UpstreamView, float], None]
    record_notice: Callable[[UpstreamView, Notice], None]
    model: EngineModel
    should_give_up: Callable[[], bool]
    find_obstacle: Callable[[UpstreamView], Obstacle | None]
    completeness: CompletenessChecks
    reply_memory: ReplyMemory
    event_timeout_s: float | None = None
    pause_sensitive: bool = False
    reviews: Reviews = field(default_factory=Reviews)
    on_first_event: Callable[[], None] = lambda: None
    has_begun: bool = False
    open_at: float = 0.0

    async def run(self) -> AttemptResult:
        """Make the attempt, and count its load while it lasts."""
        view = self.choice.view
        try:
            connection = await self.connections.acquire(
                view.id, view.entry.address, self.max_idle_s
            )
        except ExchangeError as error:
            return AttemptResult(AttemptEnd.NOT_SENT, error.detail)
        # Notices may have arrived while the connection was opened.
        if obstacle := self.find_obstacle(view):
            self.connections.release(view.id, connection, None)
            return AttemptResult(AttemptEnd.WITHHELD, obstacle.value)
        load = view.load
        pending_prefill = _PendingPrefill(
            view, self.resolution.rank, self.choice.uncached_tokens, self.clock.now()
        )
        prompt = self.request.prompt
        memory = prompt.memory_tokens if prompt is not None else 0
        load.requests += 1
        load.pause_sensitive += self.pause_sensitive
        load.memory += memory
        view.health.record_sent(self.clock.now())
        reply = None
        try:
            reply, result = await self._exchange(connection, pending_prefill)
            result.began = self.has_begun
        finally:
            load.requests -= 1
            load.pause_sensitive -= self.pause_sensitive
            load.memory -= memory
            pending_prefill.clear(is_served=False)
            if reply is None or reply.closes_connection or reply.misdirected:
                self.connections.drop(view.id, connection)
            else:
                self.connections.release(view.id, connection, reply.idle_timeout_s)
        return result

    async def _exchange(
        self, connection: ClientConnection, pending_prefill: "_PendingPrefill"
    ) -> tuple[Reply | None, AttemptResult]:
        """Return the reply if the connection may be reused, and the result."""
        view = self.choice.view
        if self.request.prompt is not None:
            self.note_prompt(view, self.request.prompt)
        try:
            await connection.send(
                self.request.method,
                self.request.target,
                self.codec.encode(self.request, self._context()),
                self.request.body,
            )
            self.open_at = self.clock.now()
            reply = await self._receive_reply(connection)
            self._record_reply(reply)
            return await self._handle_reply(connection, reply, pending_prefill)
        except ExchangeError as error:
            return None, AttemptResult(
                AttemptEnd.BROKEN, error.detail, failure=error.failure
            )
        except trio.TooSlowError:
            failure = ExchangeFailure.TIMED_OUT
            return None, AttemptResult(
                AttemptEnd.BROKEN, failure.value, failure=failure
            )

    def _record_reply(self, reply: Reply) -> None:
        """Record the reply, unless another upstream sent it from the address."""
        if reply.misdirected:
            return
        now = self.clock.now()
        self.choice.view.reachability.record_answered(now)
        if reply.load is not None:
            self.choice.view.load.record_report(reply.load, now)
        if reply.rate_limit is not None and (reply.has_rate_limit or reply.attested):
            self.record_rate_limit(self.choice.view, reply.rate_limit)
        if reply.brittle is not None and (reply.has_brittle or reply.attested):
            self.record_brittle(self.choice.view, reply.brittle)
        if reply.not_run:
            self.choice.view.brittleness.record_rejection(now)
        if reply.notice is not None:
            self.record_notice(self.choice.view, reply.notice)

    def _context(self) -> AttemptContext:
        return AttemptContext(
            upstream=self.choice.view.entry,
            team=self.resolution.team,
            rank=self.resolution.rank,
            remaining_s=self.remaining_s,
            resume_after=self.delivery.joiner.last_id,
            copy_from=self.choice.copy_from,
        )

    async def _receive_reply(self, connection: ClientConnection) -> Reply:
        """Return the reply to this request, skipping late replies to others."""
        patience = Patience(self.head_timeout_s, self.should_give_up, self.reviews)
        for _ in range(MAX_FOREIGN_REPLIES):
            head = await patience.wait(connection.receive_head)
            self.delivery.framing = head.framing
            reply = self.codec.decode(head)
            if reply.request_id in ("", self.request.id):
                return reply
            await patience.wait(lambda: connection.skip_response(MAX_SKIPPED_BYTES))
        raise ExchangeError(ExchangeFailure.MALFORMED, "replies to other requests")

    async def _handle_reply(
        self,
        connection: ClientConnection,
        reply: Reply,
        pending_prefill: "_PendingPrefill",
    ) -> tuple[Reply | None, AttemptResult]:
        response_mode = self.resolution.route.response_mode
        if reply.is_attested_success and response_mode is ResponseMode.EVENT_STREAM:
            reply = await self._relay_events(connection, reply, pending_prefill)
            if reply.is_given_up:
                return None, _given_up(reply)
            return reply, AttemptResult(AttemptEnd.DONE)
        if reply.not_run:
            is_reusable = await _skip_rest(connection)
            result = AttemptResult(AttemptEnd.NOT_RUN, str(reply.status), reply)
            return reply if is_reusable else None, result
        held = self.reply_memory.hold()
        try:
            reusable, result = await self._pass_on(connection, reply, held)
        except BaseException:
            held.close()
            raise
        if result.end is AttemptEnd.FAILED:
            result.held = held  # its body may become the response
        else:
            held.close()
        return reusable, result

    async def _pass_on(
        self, connection: ClientConnection, reply: Reply, held: HeldReply
    ) -> tuple[Reply | None, AttemptResult]:
        """Receive a complete reply, and send it to the client if it is good."""
        body = bytearray()
        while data := await self._receive_data(connection):
            body += data
            held.grow(len(body))
        reply = self.codec.decode_trailers(reply, connection.trailers)
        if reply.is_given_up:
            return None, _given_up(reply)
        await self.completeness.check_body(
            self.choice.view, self.delivery.framing, self._unseen_s()
        )
        if 200 <= reply.status < 300 and not reply.is_attested_success:
            return None, AttemptResult(AttemptEnd.BROKEN, "success not attested")
        content = bytes(body)
        body.clear()
        if reply.status >= 500:
            detail = f"status {reply.status}"
            return reply, AttemptResult(AttemptEnd.FAILED, detail, reply, content)
        if self.delivery.started:
            return None, AttemptResult(AttemptEnd.BROKEN, f"resumed {reply.status}")
        await self.delivery.send_complete(reply, content)
        return reply, AttemptResult(AttemptEnd.DONE)

    async def _relay_events(
        self,
        connection: ClientConnection,
        reply: Reply,
        pending_prefill: "_PendingPrefill",
    ) -> Reply:
        """Send a stream to the client; return its reply with the trailers.

        The end of the stream is not sent if a peer could not complete it.
        """
        view = self.choice.view
        observer = StepObserver(
            view, self.model, self._tokens_per_event(), self.pause_sensitive
        )
        patience = self._event_patience()
        while data := await patience.wait(lambda: self._receive_data(connection)):
            now = self.clock.now()
            view.reachability.record_answered(now)
            events = await self.delivery.send_events(reply, data)
            if self.delivery.joiner.is_malformed:
                raise ExchangeError(ExchangeFailure.MALFORMED, "no event")
            if events:
                patience = self._event_patience()
                self._record_begun()
                pending_prefill.clear(is_served=True)
                observer.record(events, now)
        reply = self.codec.decode_trailers(reply, connection.trailers)
        if reply.is_given_up:
            return reply
        await self.completeness.check_stream(
            view, self.delivery.framing, self.delivery.joiner, self._unseen_s()
        )
        await self.delivery.end(reply)
        return reply

    async def _receive_data(self, connection: ClientConnection) -> bytes:
        """Return the next part of a body, and b'' after its end."""
        if self.delivery.framing is BodyFraming.CLOSE and connection.is_quiet():
            self.open_at = self.clock.now()
        return await connection.receive_data()

    def _unseen_s(self) -> float:
        """Return for how long the connection may have been closed, in seconds.

        This instance may have been suspended, or have waited for a slow client.
        """
        return self.clock.now() - self.open_at

    def _record_begun(self) -> None:
        if not self.has_begun:
            self.has_begun = True
            self.on_first_event()

    def _tokens_per_event(self) -> int:
        engine = self.resolution.pool.engine
        return engine.tokens_per_event if engine is not None else 0

    def _event_patience(self) -> Patience:
        """Return how long to wait for the next event, whatever else arrives."""
        return Patience(self.event_timeout_s, self.should_give_up, self.reviews)


async def _skip_rest(connection: ClientConnection) -> bool:
    """Read the rest of a reply; return whether its connection may be used again."""
    with trio.move_on_after(SKIP_TIMEOUT_S):
        try:
            await connection.skip_body(MAX_SKIPPED_BYTES)
        except ExchangeError:
            return False  # the head was complete, and says all that is needed
        return True
    return False


def _given_up(reply: Reply) -> AttemptResult:
    """Return the result of a reply that a peer could not complete."""
    return AttemptResult(AttemptEnd.BROKEN, reply.refusal.detail, reply)


class _PendingPrefill:
    """A prompt that counts as pending prefill until its first token arrives."""

    def __init__(
        self, view: UpstreamView, rank: int, tokens: int, sent_at: float
    ) -> None:
        self.view = view
        self.rank = rank
        self.tokens = tokens
        view.load.add_pending_prefill(rank, tokens)
        if tokens:
            view.load.waits.begin(rank, self, sent_at)

    def clear(self, is_served: bool) -> None:
        """Stop counting the prompt."""
        self.view.load.add_pending_prefill(self.rank, -self.tokens)
        self.tokens = 0
        self.view.load.waits.end(self.rank, self, is_served)
