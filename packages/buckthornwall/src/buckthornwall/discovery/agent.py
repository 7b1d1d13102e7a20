"""The task that watches the source and applies its updates."""

import math
from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError, RecordError, ResultCode
from buckthornwall.pools import PoolTable
from buckthornwall.routing import PublishedConfig, RoutingTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    Backoff,
    Clock,
    StorePosition,
)

from .settings import DiscoverySettings
from .state import StateInForce
from .updates import HistoryLost, StoreUpdate, UpdateSource

__all__ = ["DiscoveryAgent"]

RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 0.5
POLL_S = 0.1
# The same before the first state, when requests wait for it.
FIRST_POLL_S = 0.02
MS_PER_S = 1000.0
# The uptime is unknown if the last answer is older than the longest watch by more than
# this: an instance that was paused or cut off may not have noticed an outage yet.
UPTIME_MARGIN_S = 1.0
# Watches are short while removals are deferred, so that no watch outlasts the deferral.
MAX_DEFERRED_WATCH_S = 0.3


class DiscoveryAgent:
    """Applies the newest updates to routes and upstreams.

    While `may_read` returns False other instances read the store, and their updates
    are adopted.

    While the store is unavailable nothing changes. Registrations expire during an
    outage although their upstreams are alive, so those that are missing afterwards are
    only removed once the upstreams have had time to register again.

    The store may return from an older copy, and then begins the next era: what it has
    lost stays in force until its owners have had time to write it again.

    Parameters
    ----------
    settings
        The ``[discovery]`` section.
    source
        Source of updates.
    decode
        Decodes the operator's configuration.
    table, pools
        The routes and the upstreams to keep up to date.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: DiscoverySettings,
        source: UpdateSource,
        decode: Callable[[bytes], PublishedConfig],
        table: RoutingTable,
        pools: PoolTable,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.source = source
        self.decode = decode
        self.table = table
        self.pools = pools
        self.clock = clock
        self.state = StateInForce(settings.settle_ms / MS_PER_S, pools, clock)
        self.raw_config = b""
        self.has_adopted = False
        self.answered_at = clock.now()
        self.read_at = -math.inf
        self.is_store_unavailable = False
        self._store_up_since = clock.now()
        self.on_change: Callable[[], None] = lambda: None
        self.may_read: Callable[[], bool] = lambda: True
        self.on_call: Callable[[float, str], None] = lambda seconds, outcome: None
        self.watch_s: Callable[[], float] = lambda: self.settings.watch_ms / MS_PER_S
        self._read_scope = trio.CancelScope()
        self._fleet_up_since = -math.inf
        self.is_complete_read_due = True
        self.is_reread_due = False

    @property
    def position(self) -> StorePosition:
        """The position from which the next watch continues."""
        return self.state.positions.read

    @property
    def change_position(self) -> StorePosition:
        """The position of the newest change, in force or deferred."""
        return self.state.positions.change

    async def run(self) -> None:
        """Read and watch the source until cancelled."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S)
        while True:
            await self._wait_until_reader()
            started, asked_at = self.clock.now(), self.position
            is_complete = self.is_complete_read_due
            update = None
            try:
                with trio.CancelScope() as self._read_scope:
                    update = await self._read_next()
            except HistoryLost:
                self.on_call(self.clock.now() - started, "history_lost")
                log_event("history_lost", "WARNING", **self._describe_position())
                self.is_complete_read_due = True
                continue
            except PeerError as error:
                self.on_call(self.clock.now() - started, "failed")
                self.record_failure(error)
                await trio.sleep(backoff.next_delay())
                continue
            if update is None or self.position != asked_at:
                # A view that was adopted meanwhile may be newer than the answer.
                self.on_call(self.clock.now() - started, "superseded")
                continue
            self.on_call(self.clock.now() - started, "answered")
            self.record_answer()
            backoff.reset()
            if is_complete:
                self.is_complete_read_due = self.is_reread_due = False
            self.adopt(update)
            self.state.remove_deferred()
            await trio.sleep(self.settings.gap_ms / MS_PER_S)

    async def _wait_until_reader(self) -> None:
        """Wait while other instances read for this one."""
        if self.may_read():
            return
        self.is_store_unavailable = False
        while not self.may_read():
            # Removals deferred while this instance read still apply; otherwise it would
            # try ended upstreams for seconds longer than readers do.
            self.state.remove_deferred()
            await trio.sleep(POLL_S if self.has_adopted else FIRST_POLL_S)
        self._take_over_reads()

    def _take_over_reads(self) -> None:
        """Begin to read in place of others, which may have noticed an outage."""
        now = self.clock.now()
        self.answered_at = self._store_up_since = now
        left_s = self._fleet_up_since + self.state.settle_s - now
        if left_s > 0:
            self.state.begin_deferral(left_s)

    async def _read_next(self) -> StoreUpdate:
        # No watch returns what the store lacks since its return from an older copy.
        if self.is_complete_read_due or not self.position.revision:
            return await self.source.read_all()
        return await self.source.watch(self.position, self.max_watch_s())

    def max_watch_s(self) -> float:
        """Return the longest duration of the next watch, in seconds."""
        limit_s = self.watch_s()
        left_s = self.state.deferral.left_s(self.clock.now())
        if left_s is not None:
            limit_s = min(limit_s, left_s, MAX_DEFERRED_WATCH_S)
        return limit_s

    def record_failure(self, error: PeerError) -> None:
        """Record that the source did not answer, which may begin an outage."""
        silent_s = self.clock.now() - self.answered_at
        if (
            not self.is_store_unavailable
            and silent_s * MS_PER_S > self.settings.outage_ms
        ):
            self.is_store_unavailable = True
            log_event(
                "store_lost", "WARNING", detail=error, silent_ms=round(silent_s * 1000)
            )

    def record_answer(self) -> None:
        """Record that the source answered, which ends an outage."""
        now = self.clock.now()
        if self.read_at == -math.inf:
            self._store_up_since = now
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            self._store_up_since = now
            self.state.begin_deferral(self.state.settle_s)
            outage_ms = round((now - self.answered_at) * MS_PER_S)
            log_event("store_regained", away_ms=outage_ms, **self._describe_position())
        self.answered_at = self.read_at = now

    def request_reread(self) -> None:
        """Read everything again, also while other instances read for this one.

        That ends with the read, or when `is_reread_due` is reset.
        """
        self.is_complete_read_due = self.is_reread_due = True

    def adopt(self, update: StoreUpdate) -> None:
        """Apply an update to routes, upstreams and zones.

        What the update causes elsewhere must not end the task: all instances read the
        same store, so that all would end together, and again at their next read.
        """
        try:
            self._adopt(update)
        except Exception as error:
            log_event(
                "update_failed",
                "ERROR",
                code=ResultCode.RECORDS_MALFORMED.number,
                revision=update.revision,
                era=update.era,
                detail=repr(error),
            )

    def _adopt(self, update: StoreUpdate) -> None:
        before = self.position
        if update.published is not None:
            self._adopt_published(update.published)
        if self.state.merge(update):
            self._store_up_since = self.clock.now()
        if update.is_relayed and (not self.has_adopted or self.position != before):
            # The answer of a call that is under way may be older than the view. That of
            # a first read would only delay callers on a slow link.
            self._read_scope.cancel()
        self.has_adopted = True
        self.pools.set_contracts(self.table.pools.values(), self.table.routes)
        self.on_change()

    def _adopt_published(self, raw: bytes) -> None:
        try:
            published = self.decode(raw)
        except RecordError as error:
            log_event("config_refused", "ERROR", code=error.code.number, detail=error)
            return
        before = self.table.number
        if self.table.adopt(published):
            self.raw_config = raw
            log_event(
                "config_adopted",
                number=published.number,
                before=before,
                routes=len(published.routes),
                teams=len(published.teams),
            )

    def store_uptime_s(self) -> float:
        """Return the time since the last outage as seen by this instance, in seconds.

        0 if the source has not answered lately, or other instances read for this one.
        """
        now = self.clock.now()
        max_age_s = self.watch_s() + UPTIME_MARGIN_S
        if self.is_store_unavailable or now - self.read_at > max_age_s:
            return 0.0
        return now - self._store_up_since

    def receive_store_uptime(self, seconds: float) -> None:
        """Stop deferring removals if only this instance could not reach the source.

        Otherwise it would treat that as an outage of the source, and go on using
        upstreams that have left.

        Parameters
        ----------
        seconds
            Longest time for which the source has answered any instance without an
            outage, 0 if it has answered none lately. If it exceeds `settle_ms`, the
            registrations are complete.
        """
        if seconds > 0:
            self._fleet_up_since = self.clock.now() - seconds
        if seconds * MS_PER_S > self.settings.settle_ms:
            self.state.deferral.end(self.clock.now())

    def _describe_position(self) -> dict[str, int]:
        return {"era": self.position.era, "revision": self.position.revision}
