"""The state of a request over all of its attempts."""

from dataclasses import dataclass, field

from buckthornwall.codes import Executed
from buckthornwall.pools import Admission, Choice, Overload, RequestTraits
from buckthornwall.quarantine import Fingerprint
from buckthornwall.routing import Resolution, RoutedRequest
from buckthornwall.utils import UpstreamId

from .attempt import AttemptResult
from .delivery import Delivery

__all__ = ["Job", "Prediction"]


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected timing of an attempt, in seconds."""

    placed_at: float
    first_token_s: float
    pause_s: float


@dataclass(slots=True)
class Job:
    """A request, its attempts, and the response delivered so far.

    `deadline` is when its final response is due, `traits` are the inputs of placement,
    and `fingerprint` is the same when the request is sent again. `runs` counts attempts
    that may have run, `arrivals` those that reached an upstream. `prediction` is that
    of the last attempt, and `overload` the reason of a refusal. `is_retry_denied` is
    whether the retry budget was found spent, and `admission` its entry in the ledger of
    its pool until its response begins.
    """

    request: RoutedRequest
    resolution: Resolution
    delivery: Delivery
    deadline: float
    traits: RequestTraits
    fingerprint: Fingerprint
    tried: set[UpstreamId] = field(default_factory=set)
    runs: int = 0
    arrivals: int = 0
    last_failed: AttemptResult | None = None
    last_choice: Choice | None = None
    prediction: Prediction | None = None
    overload: Overload | None = None
    detail: str = ""
    is_retry_denied: bool = False
    admission: Admission | None = None

    @property
    def run(self) -> Executed:
        """Whether any attempt may have run."""
        return Executed.UNKNOWN if self.runs else Executed.NO
