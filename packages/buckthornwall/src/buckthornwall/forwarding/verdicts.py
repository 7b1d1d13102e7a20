"""What the end of an attempt says about the health of its upstream."""

from buckthornwall.pools import Choice, Verdict

from .attempt import AttemptEnd, AttemptResult

__all__ = ["health_verdict"]


def health_verdict(choice: Choice, result: AttemptResult) -> Verdict | None:
    """Return how an upstream handled a request, None if that says nothing.

    An upstream that asked for a rest says itself when it accepts requests, and one that
    refuses because it is full is healthy.
    """
    if result.end is AttemptEnd.WITHHELD or result.asked_for_rest:
        return None
    if result.end is AttemptEnd.DONE:
        return Verdict.GOOD
    if result.end is AttemptEnd.NOT_SENT or result.is_misdirected:
        # If misdirected, another upstream has its address: this one is gone, and
        # other instances are to be notified.
        return Verdict.UNREACHABLE
    if result.end is AttemptEnd.NOT_RUN and choice.slot_utilization >= 1:
        return None
    return Verdict.FAILED
