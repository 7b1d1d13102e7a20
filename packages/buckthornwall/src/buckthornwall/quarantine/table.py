"""Requests that crash upstreams, as known to all instances together.

A pure state machine: terminations, successes and reports of peers in, decisions out. A
terminating engine cuts off all requests that it runs, so one termination is weak
evidence against any one of them. Several terminations under the same request without a
successful run of it are enough.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Annotated

import msgspec

from buckthornwall.routing import PoolId
from buckthornwall.telemetry import log_event

from .fingerprint import Fingerprint, format_fingerprint
from .record import TAG_BYTES, CrashRecord, IncarnationTag, pool_of, pool_tag
from .settings import QuarantineSettings
from .successes import RecentSuccesses

__all__ = ["CrashReport", "QuarantineTable"]

# A successful run also exonerates a request of terminations in the next seconds: where
# all upstreams of a pool are lost at once, a popular request was running on each.
SUCCESS_TTL_S = 10.0
# While a refused request keeps arriving, peers are reminded of it at this interval, a
# share of the time after which they would forget it.
REMINDER_SHARE = 0.25

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Tag = Annotated[int, msgspec.Meta(ge=0, lt=1 << 8 * TAG_BYTES)]


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Report of an instance on one request.

    `terminations` and `cleared` are those of its record. It was last seen `age_s` ago,
    rounded up, so that instances do not keep it alive by reporting it to each other.
    """

    fingerprint: NonNegativeInt
    terminations: list[Tag]
    cleared: list[Tag]
    age_s: NonNegativeInt


class QuarantineTable:
    """Crash records of requests, by fingerprint.

    Parameters
    ----------
    settings
        The ``[quarantine]`` section.

    Attributes
    ----------
    checksum : int
        Equal to that of any instance with the same records.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self.settings = settings
        self.records: dict[Fingerprint, CrashRecord] = {}
        self.checksum = 0
        self._successes = RecentSuccesses(settings.most_requests, SUCCESS_TTL_S)
        self._changed: dict[Fingerprint, None] = {}

    # Observations of this instance

    def record_termination(
        self, fingerprint: Fingerprint, tag: IncarnationTag, now: float
    ) -> None:
        """Record that an upstream terminated while running a request."""
        self._merge(fingerprint, {tag}, set(), now, now)
        record = self.records[fingerprint]
        log_event(
            "request_suspected",
            "WARNING",
            fingerprint=format_fingerprint(fingerprint),
            crashes=record.crashes,
            ends=len(record.terminations),
        )

    def record_success(
        self, fingerprint: Fingerprint, pool: PoolId, now: float
    ) -> None:
        """Record a successful run: the request crashes no upstreams of this pool."""
        tag = pool_tag(pool)
        self._successes.record(fingerprint, tag, now)
        record = self.records.get(fingerprint)
        if record is not None:
            with self._tracking_changes(fingerprint, record):
                record.clear(tag)

    def record_refused(self, fingerprint: Fingerprint, now: float) -> None:
        """Record a repeat of a refused request, which keeps its record alive."""
        record = self.records[fingerprint]
        record.last_seen_at = now
        if now - record.reported_at > self._reminder_s:
            self._changed[fingerprint] = None

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request is refused, that is, not sent to upstreams."""
        record = self.records.get(fingerprint)
        if record is None or self._is_expired(record, now):
            return False
        return self._is_quarantined(record)

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many upstreams a request is assumed to have crashed."""
        record = self.records.get(fingerprint)
        return record.crashes if record is not None else 0

    @property
    def _reminder_s(self) -> float:
        return REMINDER_SHARE * self.settings.forget_s

    def _is_quarantined(self, record: CrashRecord) -> bool:
        return record.crashes >= self.settings.crashes

    def _is_expired(self, record: CrashRecord, now: float) -> bool:
        return now - record.last_seen_at > self.settings.forget_s

    # Reports among instances

    def receive(self, report: CrashReport, now: float) -> None:
        """Merge the report of a peer on a request."""
        if not report.terminations or report.age_s > self.settings.forget_s:
            return
        fingerprint = Fingerprint(report.fingerprint)
        terminations = {IncarnationTag(tag) for tag in report.terminations}
        cleared = {IncarnationTag(tag) for tag in report.cleared}
        self._merge(fingerprint, terminations, cleared, now - report.age_s, now)

    def take_changed(self, max_reports: int, now: float) -> list[CrashReport]:
        """Return up to `max_reports` reports on changes that were not yet taken."""
        taken = list(self._changed)[:max_reports]
        for fingerprint in taken:
            del self._changed[fingerprint]
        return [self._report(each, now) for each in taken]

    def reports(self, now: float) -> list[CrashReport]:
        """Return reports on all records."""
        return [self._report(fingerprint, now) for fingerprint in self.records]

    def _report(self, fingerprint: Fingerprint, now: float) -> CrashReport:
        record = self.records[fingerprint]
        record.reported_at = now
        age_s = math.ceil(now - record.last_seen_at)
        return CrashReport(
            fingerprint, sorted(record.terminations), sorted(record.cleared), age_s
        )

    # Records

    def _merge(
        self,
        fingerprint: Fingerprint,
        terminations: set[IncarnationTag],
        cleared: set[IncarnationTag],
        last_seen_at: float,
        now: float,
    ) -> None:
        record = self.records.get(fingerprint) or self._add(fingerprint)
        is_reminder = last_seen_at - record.last_seen_at > self._reminder_s / 2
        record.last_seen_at = max(record.last_seen_at, last_seen_at)
        with self._tracking_changes(fingerprint, record):
            record.merge(terminations, cleared)
            for pool in {pool_of(tag) for tag in record.terminations}:
                if self._successes.includes(fingerprint, pool, now):
                    record.clear(pool)
        if is_reminder:
            self._changed[fingerprint] = None

    def _add(self, fingerprint: Fingerprint) -> CrashRecord:
        if len(self.records) >= self.settings.most_requests:
            self._drop(min(self.records, key=self._retention_key))
        record = self.records[fingerprint] = CrashRecord()
        self.checksum ^= record.checksum(fingerprint)
        return record

    def _retention_key(self, fingerprint: Fingerprint) -> tuple[int, float]:
        record = self.records[fingerprint]
        return record.crashes, record.last_seen_at

    def _drop(self, fingerprint: Fingerprint) -> None:
        record = self.records.pop(fingerprint)
        self.checksum ^= record.checksum(fingerprint)
        self._changed.pop(fingerprint, None)

    @contextmanager
    def _tracking_changes(
        self, fingerprint: Fingerprint, record: CrashRecord
    ) -> Iterator[None]:
        """Track changes that the body of the ``with`` statement makes to a record."""
        before, was_quarantined = (
            record.checksum(fingerprint),
            self._is_quarantined(record),
        )
        yield
        after, is_quarantined = (
            record.checksum(fingerprint),
            self._is_quarantined(record),
        )
        if after != before:
            self.checksum ^= before ^ after
            self._changed[fingerprint] = None
        if is_quarantined != was_quarantined:
            event = "request_quarantined" if is_quarantined else "quarantine_lifted"
            self._log(event, fingerprint, record)

    def _log(self, event: str, fingerprint: Fingerprint, record: CrashRecord) -> None:
        log_event(
            event,
            "WARNING",
            fingerprint=format_fingerprint(fingerprint),
            crashes=record.crashes,
            ends=len(record.terminations),
        )

    def expire(self, now: float) -> None:
        """Drop records of requests not seen and without a crash for `forget_s`."""
        for fingerprint, record in list(self.records.items()):
            if not self._is_expired(record, now):
                continue
            if self._is_quarantined(record):
                self._log("quarantine_lifted", fingerprint, record)
            self._drop(fingerprint)

    def refused(self) -> dict[Fingerprint, CrashRecord]:
        """Return the records of requests that are refused."""
        return {
            fingerprint: record
            for fingerprint, record in self.records.items()
            if self._is_quarantined(record)
        }
