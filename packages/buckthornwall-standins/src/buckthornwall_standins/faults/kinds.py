"""Guarantees, steps and faults, and the cells that combine them."""

import itertools
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Cell", "Fault", "Guarantee", "Step", "all_cells", "cannot_occur"]


class Guarantee(Enum):
    """The eight guarantees that hold under every fault."""

    URGENT = "urgent work is never shed for a lower tier"
    NO_STARVATION = "every class is served in the end"
    OWN_ANSWER = "each caller gets the whole answer to its own request"
    TRUE_REFUSAL = "what is said not to have run has not run"
    AT_MOST_ONCE = "a call that may not be repeated runs at most once"
    LEAVING = "a leaving upstream gets no new work after a few seconds"
    GRACEFUL = "a planned stop cuts nothing off"
    RECORDS = "accepted records spread and never revert"


class Step(Enum):
    """Steps of a request, and of a published configuration."""

    RECEIVED = "received"
    QUEUED = "queued"
    GRANTED = "granted"
    OPENED = "upstream opened"
    FIRST_TOKEN = "first token"
    MID_STREAM = "mid-stream"
    LAST_TOKEN = "last token"
    RELAYED = "answer relayed"
    KEY_HANDED_OVER = "key handed over"
    PUBLISHED = "published"
    WATCHED = "watched"
    SPREAD = "spread"
    IN_FORCE = "in force"


RECORD_STEPS = (Step.PUBLISHED, Step.WATCHED, Step.SPREAD, Step.IN_FORCE)


class Fault(Enum):
    """Faults that can be injected."""

    NONE = "none"
    ENGINE_CRASH = "engine crash"
    ENGINE_SLOW = "engine slow"
    LATE_REPORTS = "late reports"
    SERVICE_DOWN = "service down"
    SERVICE_STALE = "service stale"
    LIST_LATE = "list late"
    FREEZE_ENTRY = "freeze of entry"
    FREEZE_SCHEDULER = "freeze of scheduler"
    KILL_ENTRY = "kill of entry"
    KILL_SCHEDULER = "kill of scheduler"
    CUT_NODES = "cut between nodes"
    CUT_UPSTREAM = "cut to upstream"
    CALLER_GONE = "caller gone"
    CALLER_REPEATS = "caller repeats elsewhere"
    STOP_ENTRY = "planned stop of entry"
    STOP_SCHEDULER = "planned stop of scheduler"


CALLER_FAULTS = (Fault.CALLER_GONE, Fault.CALLER_REPEATS)
ENTRY_FAULTS = (Fault.FREEZE_ENTRY, Fault.KILL_ENTRY, Fault.STOP_ENTRY)
SCHEDULER_FAULTS = (
    Fault.FREEZE_SCHEDULER,
    Fault.KILL_SCHEDULER,
    Fault.STOP_SCHEDULER,
)


def cannot_occur(step: Step, faults: tuple[Fault, ...]) -> str:
    """Return the reason why a cell cannot occur; empty if it can."""
    if step in RECORD_STEPS and set(faults) & set(CALLER_FAULTS):
        return "no caller takes part in this step"
    if step is Step.KEY_HANDED_OVER and set(faults) & set(ENTRY_FAULTS):
        return "the owner has already left as planned"
    if sum(fault in ENTRY_FAULTS for fault in faults) > 1:
        return "one process has one end"
    if sum(fault in SCHEDULER_FAULTS for fault in faults) > 1:
        return "one process has one end"
    return ""


@dataclass
class Cell:
    """One cell of the matrix, with the guarantees that failed and their details."""

    step: Step
    faults: tuple[Fault, ...]
    failed: dict[Guarantee, str] = field(default_factory=dict)
    impossible_reason: str = ""

    @property
    def name(self) -> str:
        """Step and faults as text."""
        return f"{self.step.value}: {' + '.join(each.value for each in self.faults)}"


def all_cells() -> list[tuple[Step, tuple[Fault, ...]]]:
    """Return each fault at each step, and each pair of faults mid-stream."""
    singles = [(step, (fault,)) for step in Step for fault in Fault]
    real = [fault for fault in Fault if fault is not Fault.NONE]
    pairs = [(Step.MID_STREAM, pair) for pair in itertools.combinations(real, 2)]
    return singles + pairs
