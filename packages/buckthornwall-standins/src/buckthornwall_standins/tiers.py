"""Find priority inversions: urgent requests unserved while less urgent ones start."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["RequestAttempt", "Inversion", "find_inversions"]

# A window of WINDOW_S counts as an inversion if in it at least MIN_UNSERVED attempts of
# a route, and more than UNSERVED_SHARE of all, got no answer, while less urgent
# requests with over TOKENS_RATIO times the tokens of the unserved ones started.
WINDOW_S = 5.0
STEP_S = 0.5
MIN_UNSERVED = 10
UNSERVED_SHARE = 1 / 12
TOKENS_RATIO = 2


@dataclass(frozen=True, slots=True)
class RequestAttempt:
    """An attempt of a caller; `first_event_at` is None if it received no event."""

    route: str
    tier: int
    tokens: int
    started_at: float
    first_event_at: float | None


@dataclass(frozen=True, slots=True)
class Inversion:
    """Unserved attempts of a route in the window that starts at `window_start`."""

    route: str
    window_start: float
    attempts: int
    unserved: int
    unserved_tokens: int
    less_urgent_tokens: int

    def __str__(self) -> str:
        """Return a description in one line."""
        return (
            f"{self.window_start:.1f} s: {self.unserved} of {self.attempts} attempts "
            f"of {self.route} unserved ({self.unserved_tokens} tokens), while less "
            f"urgent requests of {self.less_urgent_tokens} tokens started"
        )


def find_inversions(attempts: Iterable[RequestAttempt]) -> list[Inversion]:
    """Return every window in which a route was unserved for less urgent requests."""
    attempts = list(attempts)
    last = max(each.started_at for each in attempts)
    steps = int(max(0.0, last - WINDOW_S) / STEP_S) + 1
    found = []
    for tier in sorted({each.tier for each in attempts}):
        urgent = [each for each in attempts if each.tier == tier]
        less_urgent = [each for each in attempts if each.tier > tier]
        windows = (
            _measure_window(urgent, less_urgent, step * STEP_S) for step in range(steps)
        )
        found += [each for each in windows if _is_inversion(each)]
    return found


def _measure_window(
    urgent: list[RequestAttempt], less_urgent: list[RequestAttempt], window_start: float
) -> Inversion:
    in_window = [
        each for each in urgent if _is_in_window(each.started_at, window_start)
    ]
    unserved = [each for each in in_window if each.first_event_at is None]
    started_less_urgent = [
        each for each in less_urgent if _is_in_window(each.first_event_at, window_start)
    ]
    return Inversion(
        urgent[0].route,
        window_start,
        len(in_window),
        len(unserved),
        sum(each.tokens for each in unserved),
        sum(each.tokens for each in started_less_urgent),
    )


def _is_in_window(at: float | None, window_start: float) -> bool:
    return at is not None and window_start <= at < window_start + WINDOW_S


def _is_inversion(window: Inversion) -> bool:
    return (
        window.unserved >= MIN_UNSERVED
        and window.unserved > UNSERVED_SHARE * window.attempts
        and window.less_urgent_tokens > TOKENS_RATIO * window.unserved_tokens
    )
