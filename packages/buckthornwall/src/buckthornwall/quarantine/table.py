"""Requests and parts of prompts that crash upstreams, as all instances know them.

A pure state machine: terminations, successes and reports of peers in, decisions out. A
terminating engine cuts off all requests that it runs, so one termination is weak
evidence against any one of them. Several terminations under the same request without a
successful run of it are enough; `blame` decides on parts of prompts.
"""

import heapq
import math
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Annotated

import msgspec

from buckthornwall.routing import PoolId
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Count

from .fingerprint import FINGERPRINT_BYTES, Fingerprint, format_fingerprint, is_part
from .parts import PartQuarantine, RefusedParts
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
# Share of the records that is dropped at once when the table is full.
EVICTED_SHARE = 0.05
# Seconds for which a part is kept all of whose terminations are cleared, so that late
# reports on them are recognized.
CLEARED_TTL_S = 60.0
# The first termination of a part is reported after this delay, since an answer
# soon clears most parts.
REPORT_DELAY_S = 0.3
MS_PER_S = 1000.0

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Tag = Annotated[int, msgspec.Meta(ge=0, lt=1 << 8 * TAG_BYTES)]


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """Report of an instance on one request or part.

    `terminations` and `cleared` are those of its record. It was last seen `age_s` ago,
    rounded up, so that instances do not keep it alive by reporting it to each other.
    `ages_ms` are the ages of the terminations of a part; earlier versions send none.
    """

    fingerprint: NonNegativeInt
    terminations: list[Tag]
    cleared: list[Tag]
    age_s: Count
    ages_ms: list[Count] = []

    def __post_init__(self) -> None:
        """Raise ValueError for a fingerprint that no request can have."""
        if self.fingerprint >= 1 << 8 * FINGERPRINT_BYTES:
            raise ValueError("fingerprint out of range")


class QuarantineTable:
    """Crash records of requests and parts of prompts, by fingerprint.

    Parameters
    ----------
    settings
        The ``[quarantine]`` section.

    Attributes
    ----------
    checksum : int
        Equal to that of any instance with the same records.
    parts : PartQuarantine
        Which parts of prompts are refused.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self.settings = settings
        self.records: dict[Fingerprint, CrashRecord] = {}
        self.checksum = 0
        self._successes = RecentSuccesses(settings.most_requests, SUCCESS_TTL_S)
        self._changed: dict[Fingerprint, None] = {}
        self.parts = PartQuarantine(settings)

    # Observations of this instance

    def record_termination(
        self, fingerprint: Fingerprint, tag: IncarnationTag, now: float
    ) -> None:
        """Record that an upstream terminated while running a request."""
        self._merge(fingerprint, {tag: now}, set(), now, now)
        self._log("request_suspected", fingerprint, self.records[fingerprint])

    def record_part_termination(
        self, part: Fingerprint, name: str, tag: IncarnationTag, now: float
    ) -> None:
        """Record that an upstream terminated while serving a part.

        `name` is the part as the log shows it.
        """
        self._merge(part, {tag: now}, set(), now, now)
        record = self.records[part]
        if record.crashes:
            self._log("part_suspected", part, record, part=name)

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

    def record_answer(
        self, parts: Iterable[Fingerprint], pool: PoolId, now: float
    ) -> None:
        """Record that an answer began: its parts crash no upstreams of this pool."""
        tag = pool_tag(pool)
        for part in parts:
            self.parts.record_answer(part, tag, now)
            record = self.records.get(part)
            if record is not None and record.crashes:
                with self._tracking_changes(part, record):
                    record.clear(tag)

    def find_refused_parts(
        self, parts: tuple[Fingerprint, ...], pool: PoolId, now: float
    ) -> RefusedParts | None:
        """Return the parts for which a request is refused, or None."""
        return self.parts.find_refused(parts, pool_tag(pool), self.records, now)

    def record_refused(self, fingerprint: Fingerprint, now: float) -> None:
        """Record a repeat of a refused request, which keeps its record alive."""
        record = self.records[fingerprint]
        record.last_seen_at = now
        if now - record.reported_at > self._reminder_s:
            self._changed[fingerprint] = None

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request is refused, that is, not sent to upstreams."""
        record = self.records.get(fingerprint)
        if record is None or self._is_expired(fingerprint, record, now):
            return False
        return self._is_quarantined(fingerprint, record)

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many upstreams a request is assumed to have crashed."""
        record = self.records.get(fingerprint)
        return record.crashes if record is not None else 0

    @property
    def _reminder_s(self) -> float:
        return REMINDER_SHARE * self.settings.forget_s

    def _is_quarantined(self, fingerprint: Fingerprint, record: CrashRecord) -> bool:
        if is_part(fingerprint):
            return any(fingerprint in group for group in self.parts.groups)
        return record.crashes >= self.settings.crashes

    def _ttl_s(self, fingerprint: Fingerprint) -> float:
        """Return for how long a record is kept after it was last seen, in seconds."""
        # A part that is refused stays known until it is tried, and for a while after.
        return self.settings.forget_s * (2 if is_part(fingerprint) else 1)

    def _is_expired(
        self, fingerprint: Fingerprint, record: CrashRecord, now: float
    ) -> bool:
        ttl_s = self._ttl_s(fingerprint)
        if is_part(fingerprint) and not record.crashes:
            ttl_s = CLEARED_TTL_S
        return now - record.last_seen_at > ttl_s

    # Reports among instances

    def receive(self, report: CrashReport, now: float) -> None:
        """Merge the report of a peer on a request."""
        fingerprint = Fingerprint(report.fingerprint)
        if not report.terminations or report.age_s > self._ttl_s(fingerprint):
            return
        ages_ms = report.ages_ms or [0] * len(report.terminations)
        terminations = {
            IncarnationTag(tag): now - age_ms / MS_PER_S
            for tag, age_ms in zip(report.terminations, ages_ms, strict=False)
        }
        cleared = {IncarnationTag(tag) for tag in report.cleared}
        self._merge(fingerprint, terminations, cleared, now - report.age_s, now)
        record = self.records[fingerprint]
        if is_part(fingerprint) and record.cleared & (terminations.keys() - cleared):
            self._changed[fingerprint] = None  # the peer does not know of the answer

    def take_changed(self, max_reports: int, now: float) -> list[CrashReport]:
        """Return up to `max_reports` reports on changes that were not yet taken.

        Those with the most crashes come first: they decide soonest.
        """
        ready = [each for each in self._changed if not self._is_delayed(each, now)]
        taken = heapq.nlargest(
            max_reports, ready, key=lambda each: self.records[each].crashes
        )
        for fingerprint in taken:
            del self._changed[fingerprint]
        return [self._report(each, now) for each in taken]

    def _is_delayed(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether an answer may yet clear a part that is not reported so far."""
        if not is_part(fingerprint):
            return False
        record = self.records[fingerprint]
        return record.crashes == 1 and now - record.last_termination_at < REPORT_DELAY_S

    def reports(self, now: float) -> list[CrashReport]:
        """Return reports on all records."""
        return [self._report(fingerprint, now) for fingerprint in self.records]

    def _report(self, fingerprint: Fingerprint, now: float) -> CrashReport:
        record = self.records[fingerprint]
        record.reported_at = now
        age_s = math.ceil(now - record.last_seen_at)
        tags = sorted(record.terminations)
        ages_ms = []
        if is_part(fingerprint):
            ages_ms = [int((now - record.terminations[tag]) * MS_PER_S) for tag in tags]
        return CrashReport(fingerprint, tags, sorted(record.cleared), age_s, ages_ms)

    # Records

    def _merge(
        self,
        fingerprint: Fingerprint,
        terminations: dict[IncarnationTag, float],
        cleared: set[IncarnationTag],
        last_seen_at: float,
        now: float,
    ) -> None:
        record = self.records.get(fingerprint) or self._add(fingerprint)
        is_reminder = last_seen_at - record.last_seen_at > self._reminder_s / 2
        record.last_seen_at = max(record.last_seen_at, last_seen_at)
        with self._tracking_changes(fingerprint, record):
            if is_part(fingerprint):
                record.merge_newest(terminations, cleared)
                self._clear_by_answers(fingerprint, record)
                record.trim()
            else:
                record.merge(terminations, cleared)
                self._clear_by_successes(fingerprint, record, now)
        if is_reminder and not is_part(fingerprint):
            self._changed[fingerprint] = None

    def _clear_by_successes(
        self, fingerprint: Fingerprint, record: CrashRecord, now: float
    ) -> None:
        for pool in {pool_of(tag) for tag in record.terminations}:
            if self._successes.includes(fingerprint, pool, now):
                record.clear(pool)

    def _clear_by_answers(self, part: Fingerprint, record: CrashRecord) -> None:
        for tag, at in record.uncleared.items():
            if self.parts.is_cleared(part, tag, at):
                record.cleared.add(tag)

    def _add(self, fingerprint: Fingerprint) -> CrashRecord:
        if len(self.records) >= self.settings.most_requests:
            evicted = max(1, int(EVICTED_SHARE * len(self.records)))
            for each in heapq.nsmallest(evicted, self.records, self._retention_key):
                self._drop(each)
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
        if is_part(fingerprint) and self._is_quarantined(fingerprint, record):
            self.parts.update(self.records)

    @contextmanager
    def _tracking_changes(
        self, fingerprint: Fingerprint, record: CrashRecord
    ) -> Iterator[None]:
        """Track changes that the body of the ``with`` statement makes to a record."""
        before = record.checksum(fingerprint)
        crashes_before = record.crashes
        was_quarantined = self._is_quarantined(fingerprint, record)
        yield
        after = record.checksum(fingerprint)
        if after == before:
            return
        self.checksum ^= before ^ after
        self._changed[fingerprint] = None
        if is_part(fingerprint):
            if not record.crashes and math.isinf(record.reported_at):
                del self._changed[fingerprint]  # no peer learned of it from here
            if max(crashes_before, record.crashes) >= self.settings.part_crashes:
                self.parts.update(self.records)
            return
        if (is_quarantined := self._is_quarantined(fingerprint, record)) != (
            was_quarantined
        ):
            event = "request_quarantined" if is_quarantined else "quarantine_lifted"
            self._log(event, fingerprint, record)

    def _log(
        self,
        event: str,
        fingerprint: Fingerprint,
        record: CrashRecord,
        **fields: str,
    ) -> None:
        log_event(
            event,
            "WARNING",
            fingerprint=format_fingerprint(fingerprint),
            **fields,
            crashes=record.crashes,
            ends=len(record.terminations),
        )

    def expire(self, now: float) -> None:
        """Drop records that have expired."""
        for fingerprint, record in list(self.records.items()):
            if not self._is_expired(fingerprint, record, now):
                continue
            if self._is_quarantined(fingerprint, record) and not is_part(fingerprint):
                self._log("quarantine_lifted", fingerprint, record)
            self._drop(fingerprint)

    def refused(self) -> dict[Fingerprint, CrashRecord]:
        """Return the records of requests and parts that are refused."""
        return {
            fingerprint: record
            for fingerprint, record in self.records.items()
            if self._is_quarantined(fingerprint, record)
        }
