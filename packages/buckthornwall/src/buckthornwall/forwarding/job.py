"""The state of a request over all of its attempts."""

from dataclasses import dataclass, field

from buckthornwall.codes import Executed, Refusal
from buckthornwall.pools import Admission, Choice, Overload, RequestTraits
from buckthornwall.quarantine import Fingerprint
from buckthornwall.routing import Resolution, RoutedRequest, StreamOrigin
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
    and `fingerprint` is the same when the request is sent again; `parts` are those of
    its prompt that other prompts may share. `runs` counts attempts
    that may have run, `arrivals` those that reached an upstream. `prediction` is that
    of the last attempt, and `overload` the reason of a refusal. `is_retry_denied` is
    whether the retry budget was found spent, and `admission` its entry in the ledger of
    its pool until its response begins. `reached` are the upstreams that it may have
    reached, `peers` the addresses of the peers that it was forwarded to, and
    `peer_refusal` the final refusal of one. `is_settled` is whether a peer has the
    result of all attempts. `origin` is what began the stream, once that is known.
    """

    request: RoutedRequest
    resolution: Resolution
    delivery: Delivery
    deadline: float
    traits: RequestTraits
    fingerprint: Fingerprint
    parts: tuple[Fingerprint, ...] = ()
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
    reached: set[UpstreamId] = field(default_factory=set)
    peers: list[str] = field(default_factory=list)
    peer_refusal: Refusal | None = None
    is_settled: bool = False
    origin: StreamOrigin | None = None

    def record_failed(self, result: AttemptResult | None) -> None:
        """Keep the last reply that reports a failure, and drop the one before."""
        if self.last_failed is not None and self.last_failed.held is not None:
            self.last_failed.held.close()
        self.last_failed = result

    @property
    def run(self) -> Executed:
        """Whether any attempt may have run."""
        return Executed.UNKNOWN if self.runs else Executed.NO

    @property
    def runs_here(self) -> int:
        """The runs of this instance and its peers, without those of a peer before."""
        origin = self.request.relay_origin
        return self.runs - (origin.runs if origin is not None else 0)
