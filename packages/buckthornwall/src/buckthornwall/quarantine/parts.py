"""Parts of prompts that are refused since they crash upstreams.

A part is identified by its pool and model as well: what crashes the upstreams of one
pool may be sound in another.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from buckthornwall.telemetry import log_event

from .blame import BlameRules, PartGroup, TerminationTimes, find_blamed_groups
from .fingerprint import Fingerprint, format_fingerprint, is_part
from .record import CrashRecord, IncarnationTag, pool_of
from .settings import QuarantineSettings
from .successes import RecentSuccesses

__all__ = ["PartQuarantine", "RefusedParts"]

# An answer that began this long before a termination still clears a part of it: where
# all upstreams of a pool are lost at once, a popular part was waiting at each.
ANSWER_TTL_S = 1.0
# Number of the last prompts in which parts are counted.
OBSERVED_PROMPTS = 64
# With fewer prompts no part is taken for a common one.
MIN_OBSERVED_PROMPTS = 8
# Seconds from the last termination until a refused part is tried by one request. With
# each termination more than needed the wait is multiplied, up to `forget_s`.
FIRST_TRIAL_S = 10.0
TRIAL_BACKOFF = 4.0
# A part of most prompts is tried this soon: its refusal stops nearly all of its pool.
COMMON_TRIAL_S = 60.0
# Another instance is selected for the trial after this time without a result.
TRIAL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class RefusedParts:
    """Parts for which a request is refused.

    They crashed `crashes` upstreams, and may be tried again in `retry_after_s` seconds.
    """

    group: PartGroup
    crashes: int
    retry_after_s: float


class PartQuarantine:
    """Verdicts on parts of prompts, and the answers that lately began on them.

    Parameters
    ----------
    settings
        The ``[quarantine]`` section.

    Attributes
    ----------
    groups : frozenset of PartGroup
        A request with all parts of a group is refused.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self.settings = settings
        self.rules = BlameRules(min_terminations=settings.part_crashes)
        self.groups: frozenset[PartGroup] = frozenset()
        # Returns whether this instance is the one that is selected for a key.
        self.is_selected: Callable[[str], bool] = lambda key: True
        self._prompts: defaultdict[int, deque[tuple[Fingerprint, ...]]] = defaultdict(
            lambda: deque(maxlen=OBSERVED_PROMPTS)
        )
        self._tried_at: dict[PartGroup, float] = {}
        self._answers = RecentSuccesses(settings.most_requests, ANSWER_TTL_S)

    def record_answer(self, part: Fingerprint, pool: int, now: float) -> None:
        """Record that an answer began on a part."""
        self._answers.record(part, pool, now)

    def is_cleared(self, part: Fingerprint, tag: IncarnationTag, at: float) -> bool:
        """Return whether an answer clears a part of a termination at a time."""
        return self._answers.includes(part, pool_of(tag), at)

    def update(self, records: Mapping[Fingerprint, CrashRecord]) -> None:
        """Find the refused groups anew, and log those that changed."""
        evidence: dict[Fingerprint, TerminationTimes] = {
            part: record.uncleared
            for part, record in records.items()
            if is_part(part) and record.crashes >= self.rules.min_terminations
        }
        shares = {part: self._share(part, records[part]) for part in evidence}
        groups = find_blamed_groups(evidence, shares, self.rules)
        for group in groups ^ self.groups:
            event = "parts_quarantined" if group in groups else "parts_released"
            log_event(
                event,
                "WARNING",
                fingerprints=",".join(map(format_fingerprint, sorted(group))),
                crashes=max(
                    (records[part].crashes for part in group if part in records),
                    default=0,
                ),
            )
        self.groups = groups
        self._tried_at = {
            group: at for group, at in self._tried_at.items() if group in groups
        }

    def _share(self, part: Fingerprint, record: CrashRecord) -> float:
        """Return the share of the last prompts to its pool that have a part."""
        prompts = self._prompts[pool_of(next(iter(record.terminations)))]
        with_part = sum(part in parts for parts in prompts)
        return with_part / max(MIN_OBSERVED_PROMPTS, len(prompts))

    def find_refused(
        self,
        parts: tuple[Fingerprint, ...],
        pool: int,
        records: Mapping[Fingerprint, CrashRecord],
        now: float,
    ) -> RefusedParts | None:
        """Return the parts for which a request is refused, or None.

        It is called once for each attempt.

        Parameters
        ----------
        parts
            The parts of the request.
        pool
            Tag of its pool.
        records
            All crash records.
        now
            The time in seconds.
        """
        if parts:
            self._prompts[pool].append(parts)
        if not self.groups:
            return None
        present = frozenset(parts)
        for group in self.groups:
            record = records[min(group)]
            if group <= present and not self._may_try(group, record, now):
                return self._describe(group, record, now)
        return None

    def _describe(
        self, group: PartGroup, record: CrashRecord, now: float
    ) -> RefusedParts:
        tried_in_s = self._trial_at(group, record) - now
        return RefusedParts(group, record.crashes, max(tried_in_s, TRIAL_TIMEOUT_S))

    def _may_try(self, group: PartGroup, record: CrashRecord, now: float) -> bool:
        """Return whether a request may go on to show whether a part still crashes.

        One instance at a time is selected, and lets one request go on.
        """
        overdue_s = now - self._trial_at(group, record)
        if overdue_s < 0:
            return False
        attempt = int(overdue_s // TRIAL_TIMEOUT_S)
        is_tried = now - self._tried_at.get(group, float("-inf")) < TRIAL_TIMEOUT_S
        if is_tried or not self.is_selected(f"{min(group)}/{attempt}"):
            return False
        self._tried_at[group] = now
        log_event(
            "parts_tried",
            "WARNING",
            fingerprints=",".join(map(format_fingerprint, sorted(group))),
            crashes=record.crashes,
            last_crash_s_ago=round(now - record.last_termination_at, 1),
        )
        return True

    def _trial_at(self, group: PartGroup, record: CrashRecord) -> float:
        """Return the time from which on refused parts may be tried."""
        excess = max(0, record.crashes - self.rules.min_terminations)
        delay_s = min(self.settings.forget_s, FIRST_TRIAL_S * TRIAL_BACKOFF**excess)
        if any(self._share(part, record) > self.rules.common_share for part in group):
            delay_s = min(delay_s, COMMON_TRIAL_S)
        return record.last_termination_at + delay_s
