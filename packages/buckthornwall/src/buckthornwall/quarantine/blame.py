"""Decides which parts of prompts crash upstreams, by the terminations of upstreams.

A termination implicates the parts of all requests that the upstream had not begun to
answer. A part that crashes upstreams is implicated by each termination that it causes,
and no answer begins on it. Sound parts come with it, or are at the upstream by chance:
an answer on them soon clears them, and what remains is explained by a part with more
terminations. A part of most prompts is implicated by any termination, whatever its
cause, so that rarer parts are suspected first and more evidence is needed against it.

Pure functions: evidence in, verdict out.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from .fingerprint import Fingerprint
from .record import IncarnationTag

__all__ = ["BlameRules", "PartGroup", "TerminationTimes", "find_blamed_groups"]

# Uncleared terminations that implicate a part, with their times in seconds.
TerminationTimes = Mapping[IncarnationTag, float]
# Parts with the same terminations, which of them caused these is not known. Requests
# with all of them are refused, so that the next termination or answer tells them apart.
PartGroup = frozenset[Fingerprint]


@dataclass(frozen=True, slots=True)
class BlameRules:
    """How much evidence is needed.

    `min_terminations` is the number of terminations that implicate a part, without an
    answer on it. They happen at `min_moments` or more times that are `moment_s` seconds
    apart, since a common cause may end many upstreams at once. Of them,
    `min_unexplained` implicate no other part that is blamed already. Parts in more than
    `common_share` of the prompts need `min_terminations_if_common` and
    `min_moments_if_common`. From `max_terminations_as_group` on, parts with the same
    terminations are blamed one by one, the rarer ones.
    """

    min_terminations: int = 4
    min_moments: int = 3
    moment_s: float = 0.25
    min_unexplained: int = 3
    min_terminations_if_common: int = 8
    min_moments_if_common: int = 6
    common_share: float = 0.8
    max_terminations_as_group: int = 6


def find_blamed_groups(
    evidence: Mapping[Fingerprint, TerminationTimes],
    shares: Mapping[Fingerprint, float],
    rules: BlameRules,
) -> frozenset[PartGroup]:
    """Return the groups of parts that crash upstreams.

    Parameters
    ----------
    evidence
        The uncleared terminations that implicate each part.
    shares
        The share of the prompts that have a part, 0 where it is missing.
    rules
        How much evidence is needed.
    """
    enough = {
        part: times
        for part, times in evidence.items()
        if _is_enough(times, shares.get(part, 0.0), rules)
    }
    groups = _group_by_terminations(enough)

    def order(terminations: frozenset[IncarnationTag]) -> tuple[float, list[int]]:
        share = min(shares.get(part, 0.0) for part in groups[terminations])
        return -len(terminations) * (1 - share**4), sorted(terminations)

    blamed: list[frozenset[IncarnationTag]] = []
    for terminations in sorted(groups, key=order):
        explained = frozenset().union(*blamed)
        if len(terminations - explained) >= rules.min_unexplained:
            blamed.append(terminations)
    verdict: set[PartGroup] = set()
    for terminations in _without_redundant(blamed):
        group = groups[terminations]
        if len(terminations) < rules.max_terminations_as_group:
            verdict.add(group)
        else:
            verdict.update(frozenset({part}) for part in _rarer(group, shares, rules))
    return frozenset(verdict)


def _rarer(
    group: PartGroup, shares: Mapping[Fingerprint, float], rules: BlameRules
) -> PartGroup:
    """Return the parts of a group that are not common, or all if there are none."""
    rare = {part for part in group if shares.get(part, 0.0) <= rules.common_share}
    return frozenset(rare) or group


def count_moments(times: TerminationTimes, moment_s: float) -> int:
    """Return the number of times that are apart by at least `moment_s` seconds."""
    moments, last = 0, float("-inf")
    for at in sorted(times.values()):
        if at - last >= moment_s:
            moments += 1
            last = at
    return moments


def _is_enough(times: TerminationTimes, share: float, rules: BlameRules) -> bool:
    needed, moments = rules.min_terminations, rules.min_moments
    if share > rules.common_share:
        needed = rules.min_terminations_if_common
        moments = rules.min_moments_if_common
    return len(times) >= needed and count_moments(times, rules.moment_s) >= moments


def _group_by_terminations(
    candidates: Mapping[Fingerprint, TerminationTimes],
) -> dict[frozenset[IncarnationTag], PartGroup]:
    groups: dict[frozenset[IncarnationTag], set[Fingerprint]] = {}
    for part, times in candidates.items():
        groups.setdefault(frozenset(times), set()).add(part)
    return {terminations: frozenset(parts) for terminations, parts in groups.items()}


def _without_redundant(
    blamed: list[frozenset[IncarnationTag]],
) -> list[frozenset[IncarnationTag]]:
    """Drop what several others explain together: a sound part that came with each."""
    needed = list(blamed)
    for terminations in blamed:
        others = [each for each in needed if each is not terminations]
        if terminations <= frozenset().union(*others):
            needed = others
    return needed
