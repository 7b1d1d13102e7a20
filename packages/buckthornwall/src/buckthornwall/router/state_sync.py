"""When an instance reads the store, and when it fetches a peer's view instead."""

import math
import random
from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError
from buckthornwall.discovery import DiscoveryAgent
from buckthornwall.peers import (
    Beacon,
    Digest,
    PeerTable,
    PeerView,
    StateKey,
    ViewClient,
    freshness,
)
from buckthornwall.settings import (
    MAX_SUBSTITUTES,
    SUBSTITUTE_STAGGER_S,
    ReadBudget,
)
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock

from .first_read import FirstRead, is_left_to_peers
from .peer_views import make_view, to_update
from .state_difference import StateDifference

__all__ = ["StateSync"]

MS_PER_S = 1000.0
# Interval between checks whether a peer has newer state.
POLL_INTERVAL_S = 0.1
# The same before the first state, when requests wait for it.
JOINING_POLL_INTERVAL_S = 0.02
# An instance that reads the store itself fetches a peer's view only if its own watch
# should have returned the changes long before.
MAX_READER_LAG_S = 0.8
# If the store has answered no instance for this long, all instances read it. Each one
# waits for an additional random time of up to the jitter.
MAX_READ_AGE_MS = 3000
READ_AGE_JITTER_MS = 1000
# How long a member goes on reading in place of a speaker whose reads are overdue: its
# own reads hide whether the others still are.
SUBSTITUTION_S = 2.0
# An instance that has had no digest from its speaker for this long reads the store,
# whichever instance is the speaker: a change must be in force everywhere 2 s after it
# was acknowledged.
MAX_DIGEST_AGE_S = 1.5
# The pause after fetching a view, as a multiple of the time that it took: large views,
# fetched at each change, would saturate slow links and delay callers' responses.
VIEW_PAUSE_RATIO = 4.0
MAX_VIEW_PAUSE_S = 0.8
# A view does not bring this instance up to date while it defers removals itself: the
# same state is not fetched again so soon.
REFETCH_INTERVAL_S = 0.5
NEVER_READ_MS = 1_000_000_000
# A poll that takes longer shows that this instance did not run meanwhile.
MAX_POLL_S = 0.6
# How long an answer of the store, or a report of a peer, may have been on its way.
MAX_MESSAGE_DELAY_S = 0.5


class StateSync:
    """Decides whether to read the store, and fetches peers' views otherwise.

    Parameters
    ----------
    discovery
        The state in force here, and when it was read.
    peers
        The speaker, and the newest state of any instance.
    make_beacon
        Returns this instance's beacon.
    views
        Fetches the state in force at a peer.
    clock
        Source of time.
    budget
        How old the newest read of the fleet may be.
    """

    def __init__(
        self,
        discovery: DiscoveryAgent,
        peers: PeerTable,
        make_beacon: Callable[[], Beacon],
        views: ViewClient,
        clock: Clock,
        budget: ReadBudget,
    ) -> None:
        self.budget = budget
        self.discovery = discovery
        self.difference = StateDifference(discovery.settings.apply_ms / MS_PER_S)
        self.peers = peers
        self.make_beacon = make_beacon
        self.views = views
        self.clock = clock
        self.max_read_age_ms = MAX_READ_AGE_MS + random.uniform(0, READ_AGE_JITTER_MS)
        self.has_seeds: Callable[[], bool] = lambda: False
        self._started_at = clock.now()
        self._stale_since: float | None = None
        self._view_failed = False
        self._reads = False
        self._substitutes_until = -math.inf
        self._fetched: StateKey | None = None
        self._fetched_at = -math.inf

    def may_read(self) -> bool:
        """Return whether this instance reads the store itself.

        The speaker of each zone (its elected leader) does, and reports to its zone:
        watches by every instance would be most of the calls to the store. The digests
        of a speaker that is cut off from the store go on, so others take over by the
        age of the newest read.
        """
        now = self.clock.now()
        if self._view_failed or self.discovery.is_reread_due:
            return True
        if is_left_to_peers(self._first_read(now)):
            return False
        if self.peers.is_speaker(now):
            return True
        if self.peers.staleness_s(now) > MAX_DIGEST_AGE_S:
            return True
        return self._is_substitute(now)

    def _is_substitute(self, now: float) -> bool:
        """Return whether this member reads in place of speakers that cannot."""
        age_s = self.peers.read_age_s(now)
        if age_s * MS_PER_S > self.max_read_age_ms:
            return True
        overdue_s = age_s - self.budget.overdue_s
        if overdue_s > 0 and self._is_first_in_line(overdue_s):
            self._substitutes_until = now + SUBSTITUTION_S
        return now < self._substitutes_until

    def _is_first_in_line(self, overdue_s: float) -> bool:
        """Return whether this member is the next that reads are due from."""
        place = self.peers.succession_place()
        return place < MAX_SUBSTITUTES and overdue_s > place * SUBSTITUTE_STAGGER_S

    def _first_read(self, now: float) -> FirstRead:
        return FirstRead(
            age_s=now - self._started_at,
            has_state=self.discovery.has_adopted,
            has_seeds=self.has_seeds(),
            knows_peers=self.peers.zone_size() > 1,
            is_speaker=self.peers.is_speaker(now),
        )

    async def run(self) -> None:
        """Fetch newer state from peers until cancelled."""
        while True:
            self._log_role()
            slept_at = self.clock.now()
            await trio.sleep(
                POLL_INTERVAL_S
                if self.discovery.has_adopted
                else JOINING_POLL_INTERVAL_S
            )
            fleet = self._fleet()
            # After a freeze, messages that were sent before it may still be queued.
            if self.clock.now() - slept_at < MAX_POLL_S:
                self._record_known(fleet)
            if not 0 < fleet.store_era < self.discovery.position.era:
                self.discovery.receive_store_uptime(fleet.store_uptime_ms / MS_PER_S)
            self._resolve_difference()
            if self.should_fetch_view(fleet):
                started = self._fetched_at = self.clock.now()
                self._fetched = freshness(fleet, fleet.store_era)
                await self.fetch_view(fleet.freshest_peer)
                await trio.sleep(view_pause_s(self.clock.now() - started))

    def _log_role(self) -> None:
        """Log when this instance begins or ceases to read the store."""
        reads = self.may_read()
        if reads is self._reads:
            return
        self._reads = reads
        now = self.clock.now()
        fleet: dict[str, int] = {}
        if not self.peers.is_speaker(now):
            fleet["place"] = self.peers.succession_place() + 1
            fleet["fleet_read_age_ms"] = round(self.peers.read_age_s(now) * MS_PER_S)
        log_event("store_reader", own=reads, **fleet, **self.describe_freshness())

    def _record_known(self, fleet: Digest) -> None:
        """Record as of when all registrations are known here."""
        known_at = self.discovery.read_at
        if not self._is_behind(fleet):
            now = self.clock.now()
            age_s = fleet.read_age_ms / MS_PER_S + self.peers.staleness_s(now)
            known_at = max(known_at, now - age_s)
        self.discovery.pools.versions.record_known(known_at - MAX_MESSAGE_DELAY_S)

    def _is_behind(self, fleet: Digest) -> bool:
        """Return whether any instance knows a newer state."""
        era = max(self.discovery.change_position.era, fleet.store_era)
        return freshness(fleet, era) > self._local_state(era)

    def _local_state(self, era: int) -> StateKey:
        """Return the key by which the state in force here is ordered."""
        known = self.discovery.change_position
        return (
            known.era or era,
            self.discovery.table.number,
            known.revision,
            self.discovery.state.positions.removal_revision,
        )

    def _resolve_difference(self) -> None:
        """Read the store again if others differ at the same position."""
        now = self.clock.now()
        local = self._local_state(self.discovery.change_position.era)
        reports = self.peers.newest_reports(now)
        if self.difference.is_due(local, self.discovery.state.checksum, reports, now):
            self.discovery.request_reread()
        elif not self.difference.is_present:
            self.discovery.is_reread_due = False

    def should_fetch_view(self, fleet: Digest) -> bool:
        """Return whether to fetch the newer view of a peer."""
        if not self._is_behind(fleet):
            self._stale_since = None
            self._view_failed = False
            return False
        now = self.clock.now()
        if self._stale_since is None:
            self._stale_since = now
        if not self.discovery.has_adopted:
            return True  # whichever of the read and the view comes first is used
        if self._is_fetched(fleet, now):
            return False
        reads = self.may_read() and not self.discovery.is_store_unavailable
        return not reads or now - self._stale_since > MAX_READER_LAG_S

    def _is_fetched(self, fleet: Digest, now: float) -> bool:
        """Return whether the newest state was fetched a short time ago."""
        is_same = self._fetched == freshness(fleet, fleet.store_era)
        return is_same and now - self._fetched_at < REFETCH_INTERVAL_S

    def _fleet(self) -> Digest:
        return self.peers.fleet_digest(self.make_beacon(), self.clock.now())

    async def fetch_view(self, peer: str) -> None:
        """Fetch and apply a peer's view; read the store if that fails."""
        if peer == self.peers.address:
            return
        try:
            view = await self.views.ask(peer, self.discovery.table.number)
        except PeerError as error:
            self._view_failed = True
            log_event("view_not_had", "WARNING", peer=peer, detail=error)
            return
        before = len(self.discovery.pools.views)
        self.discovery.adopt(to_update(view, peer))
        log_event(
            "view_taken",
            peer=peer,
            mark=view.change_revision,
            removal=view.removal_revision,
            era=view.store_era,
            upstreams=len(self.discovery.pools.views),
            before=before,
        )

    def view(self) -> PeerView:
        """Return the state in force here, for a peer that requests it."""
        return make_view(self.discovery, self.clock.now())

    def read_age_ms(self) -> int:
        """Return the time since the store last answered here, or NEVER_READ_MS."""
        age_ms = (self.clock.now() - self.discovery.read_at) * MS_PER_S
        return int(min(age_ms, NEVER_READ_MS))

    def describe_freshness(self) -> dict[str, object]:
        """Return the version in force, and the ages of its digest and last read."""
        staleness_s = self.peers.staleness_s(self.clock.now())
        return {
            "number": self.discovery.table.number,
            "word_age_ms": round(staleness_s * MS_PER_S),
            "read_age_ms": self.read_age_ms(),
        }


def view_pause_s(took_s: float) -> float:
    """Return the pause after fetching a view that took `took_s`."""
    return min(VIEW_PAUSE_RATIO * took_s, MAX_VIEW_PAUSE_S)
