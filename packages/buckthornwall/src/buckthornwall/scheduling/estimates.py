"""How long answers of each class take, as they show."""

from buckthornwall.links import Release
from buckthornwall.utils import ClassId

from .engines import Slot

__all__ = ["ServiceEstimates"]

SERVICE_WEIGHT = 0.1  # weight of a new sample in the moving averages
FIRST_SERVICE_S = 2.0
FIRST_ANSWER_TOKENS = 100.0


class ServiceEstimates:
    """Moving averages by class.

    Attributes
    ----------
    first_token_s : float
        Seconds from a grant to the first token, over all classes.
    """

    def __init__(self) -> None:
        self.first_token_s = 0.0
        self._service_s: dict[ClassId, float] = {}
        self._answer_tokens: dict[ClassId, float] = {}

    def service_s(self, service_class: ClassId) -> float:
        """Return for how many seconds an answer of a class holds its slot."""
        return self._service_s.get(service_class, FIRST_SERVICE_S)

    def answer_tokens(self, service_class: ClassId) -> float:
        """Return how many tokens an answer of a class has."""
        return self._answer_tokens.get(service_class, FIRST_ANSWER_TOKENS)

    def learn(self, slot: Slot, message: Release, now: float) -> None:
        """Take an answer that is whole."""
        key = slot.service_class
        took_s = now - slot.granted_at
        _move(self._service_s, key, took_s)
        _move(self._answer_tokens, key, float(message.tokens))
        if message.first_token_s:
            self.first_token_s += SERVICE_WEIGHT * (
                message.first_token_s - self.first_token_s
            )


def _move(averages: dict[ClassId, float], key: ClassId, sample: float) -> None:
    old = averages.get(key, sample)
    averages[key] = old + SERVICE_WEIGHT * (sample - old)
