"""Which requests crash upstreams, as all instances together know it.

Pure: terminations, successes and reports of other instances in, decisions out. An
engine that ends cuts all that it runs, so one end says little of any one request; the
same request beneath several terminations, and never a run of it that went well, says
enough.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Annotated

import msgspec

from buckthornwall.routing import PoolId
from buckthornwall.telemetry import log_event

from .fingerprint import Fingerprint, format_fingerprint
from .record import TAG_BYTES, CrashRecord, GenerationTag, pool_of, pool_tag
from .settings import QuarantineSettings
from .successes import RecentSuccesses

__all__ = ["CrashReport", "QuarantineTable"]

# A run that went well speaks for terminations of the next seconds, too: where all
# upstreams of a pool are lost at once, what many callers send is beneath each of them.
SUCCESS_TTL_S = 10.0
# While a refused request keeps coming, others are reminded of it this often, as a share
# of the time after which they would forget it.
REMINDER_SHARE = 0.25

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Tag = Annotated[int, msgspec.Meta(ge=0, lt=1 << 8 * TAG_BYTES)]


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """What an instance tells of one request.

    `terminations` and `cleared` are those of its record; it was last seen `age_s` ago,
    rounded up, so that no number of instances keeps it alive by telling each other.
    """

    fingerprint: NonNegativeInt
    terminations: list[Tag]
    cleared: list[Tag]
    age_s: NonNegativeInt


class QuarantineTable:
    """Records of requests by fingerprint.

    Parameters
    ----------
    settings
        The ``[quarantine]`` section.

    Attributes
    ----------
    checksum : int
        Equal to that of another instance that knows the same.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self.settings = settings
        self.records: dict[Fingerprint, CrashRecord] = {}
        self.checksum = 0
        self._successes = RecentSuccesses(settings.most_requests, SUCCESS_TTL_S)
        self._changed: dict[Fingerprint, None] = {}

    # What this instance sees

    def record_termination(
        self, fingerprint: Fingerprint, tag: GenerationTag, now: float
    ) -> None:
        """Record that an upstream ended beneath a request."""
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
        """Record a run that went well: the request crashes nothing in this pool."""
        tag = pool_tag(pool)
        self._successes.record(fingerprint, tag, now)
        record = self.records.get(fingerprint)
        if record is not None:
            with self._tracking_changes(fingerprint, record):
                record.clear(tag)

    def record_refused(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a request came again: it is not forgotten while it comes."""
        record = self.records[fingerprint]
        record.last_seen_at = now
        if now - record.reported_at > self._reminder_s:
            self._changed[fingerprint] = None

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request is no longer sent to upstreams."""
        record = self.records.get(fingerprint)
        if record is None or self._is_expired(record, now):
            return False
        return self._is_quarantined(record)

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many upstreams a request is held to have crashed."""
        record = self.records.get(fingerprint)
        return record.crashes if record is not None else 0

    @property
    def _reminder_s(self) -> float:
        return REMINDER_SHARE * self.settings.forget_s

    def _is_quarantined(self, record: CrashRecord) -> bool:
        return record.crashes >= self.settings.crashes

    def _is_expired(self, record: CrashRecord, now: float) -> bool:
        return now - record.last_seen_at > self.settings.forget_s

    # What instances tell each other

    def receive(self, report: CrashReport, now: float) -> None:
        """Take what another instance knows of a request."""
        if not report.terminations or report.age_s > self.settings.forget_s:
            return
        fingerprint = Fingerprint(report.fingerprint)
        terminations = {GenerationTag(tag) for tag in report.terminations}
        cleared = {GenerationTag(tag) for tag in report.cleared}
        self._merge(fingerprint, terminations, cleared, now - report.age_s, now)

    def take_changed(self, max_reports: int, now: float) -> list[CrashReport]:
        """Return reports on what changed since they were last taken, some at a time."""
        taken = list(self._changed)[:max_reports]
        for fingerprint in taken:
            del self._changed[fingerprint]
        return [self._report(each, now) for each in taken]

    def reports(self, now: float) -> list[CrashReport]:
        """Return reports on all that is known."""
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
        terminations: set[GenerationTag],
        cleared: set[GenerationTag],
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
        """Note what the body of the ``with`` statement changes in a record."""
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
        """Forget requests that have long neither come nor crashed an upstream."""
        for fingerprint, record in list(self.records.items()):
            if not self._is_expired(record, now):
                continue
            if self._is_quarantined(record):
                self._log("quarantine_lifted", fingerprint, record)
            self._drop(fingerprint)

    def refused(self) -> dict[Fingerprint, CrashRecord]:
        """Return the records of requests that are no longer sent."""
        return {
            fingerprint: record
            for fingerprint, record in self.records.items()
            if self._is_quarantined(record)
        }
