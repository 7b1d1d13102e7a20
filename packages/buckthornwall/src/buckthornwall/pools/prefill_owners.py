"""Which instance may prefill long prompts at an engine reserved for streams.

Instances learn of each other's prompts a fraction of a second late. Where there are
many, all of them would send long prompts to a reserved engine as soon as reports show
it idle (herding), and its streams would pause. So each reserved engine has one owner:
the live instance that a rendezvous hash selects. The owner counts exactly what it has
sent there, so its prefill budget holds without any message.
"""

from dataclasses import dataclass

from buckthornwall.engine_model import EngineModel, ScaledEngineModel
from buckthornwall.utils import UpstreamId

from .limit_share import Fleet
from .recent_prefill import RecentPrefill

__all__ = ["PrefillBudget", "PrefillOwners"]

# Up to this many instances each sees enough of the prompts at an engine itself, and an
# engine is not idle while its owner has no prompt for it.
MAX_INSTANCES_WITHOUT_OWNERS = 8
# Share of the longest allowed pause that the prefill of long prompts and the decode
# steps of one event may take. The other half is for the prompts of the streams, whose
# arrival reports show too late, and for steps that are longer than usual.
BUDGET_PAUSE_SHARE = 0.5
# With a budget of fewer prefill steps than this an owner could send only prompts of
# less than a chunk: the engine would be closed to nearly all, and the others would have
# to bear what it could.
MIN_BUDGET_STEPS = 1.5


class PrefillOwners:
    """The reserved engines that this instance owns, by the live fleet.

    While views of the fleet differ, an engine has at most as many owners as there are
    views: two, for the time that instances take to learn of a change.
    """

    def __init__(self) -> None:
        self._fleet: Fleet | None = None
        self._owned: dict[UpstreamId, bool] = {}

    def set_fleet(self, fleet: Fleet) -> None:
        """Set the live instances."""
        if fleet != self._fleet:
            self._fleet = fleet
            self._owned.clear()

    def are_needed(self, engines: int) -> bool:
        """Return whether reserved engines have owners in a pool of this many engines.

        With fewer instances than engines an owner would have several engines to itself
        and too few prompts for them.
        """
        if self._fleet is None:
            return False
        return self._fleet.instances > max(MAX_INSTANCES_WITHOUT_OWNERS, engines)

    def is_owner(self, upstream: UpstreamId) -> bool:
        """Return whether this instance owns an engine."""
        if self._fleet is None:
            return False
        owned = self._owned.get(upstream)
        if owned is None:
            owned = self._owned[upstream] = self._fleet.is_selected(
                f"{upstream}/prefill"
            )
        return owned

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an engine that is gone."""
        self._owned.pop(upstream, None)


@dataclass(frozen=True, slots=True)
class PrefillBudget:
    """Prompt tokens that an engine may prefill within one event of its streams.

    Attributes
    ----------
    tokens : float
        The tokens; 0 if its streams allow none, infinite if they allow any pause.
    window_s : float
        The longest time that the event may take, in seconds.
    """

    tokens: float
    window_s: float

    @classmethod
    def of(
        cls,
        model: EngineModel | ScaledEngineModel,
        tokens_per_event: int,
        max_pause_s: float,
    ) -> "PrefillBudget":
        """Return the budget of an engine beside streams with this pause limit.

        Parameters
        ----------
        model
            Learned speed of that engine.
        tokens_per_event
            Tokens in one event of the streams.
        max_pause_s
            Longest pause between events that they allow, in seconds.
        """
        window_s = BUDGET_PAUSE_SHARE * max_pause_s
        prefill_s = window_s - tokens_per_event * model.decode_step_s
        return cls(max(0.0, prefill_s * model.tokens_per_s), window_s)

    @classmethod
    def holds_prompts(
        cls,
        model: EngineModel,
        tokens_per_event: int,
        max_pause_s: float,
    ) -> bool:
        """Return whether long prompts fit into the budget of a pool's usual engine.

        Parameters are those of `of`.
        """
        budget = cls.of(model, tokens_per_event, max_pause_s)
        return budget.tokens >= MIN_BUDGET_STEPS * (
            model.prefill_step_s * model.tokens_per_s
        )

    def allows(
        self, tokens: int, recent: RecentPrefill, pending: int, now: float
    ) -> bool:
        """Return whether a prompt of this many uncached tokens may be sent.

        Parameters
        ----------
        tokens
            Its uncached tokens.
        recent
            What this instance sent to the engine.
        pending
            Pending prefill tokens there, as far as known.
        now
            The time in seconds.
        """
        used = max(recent.tokens(self.window_s, now), pending)
        return used + tokens <= self.tokens
