"""Estimates of service time and response length, by class."""

from buckthornwall.links import Release
from buckthornwall.utils import ClassId

from .engines import Slot

__all__ = ["ServiceEstimates"]

EMA_WEIGHT = 0.1  # weight of a new sample
INITIAL_SERVICE_S = 2.0
INITIAL_RESPONSE_TOKENS = 100.0


class ServiceEstimates:
    """Exponential moving averages by class.

    Attributes
    ----------
    first_token_s : float
        Seconds from a grant to the first token, averaged over all classes.
    """

    def __init__(self) -> None:
        self.first_token_s = 0.0
        self._service_s: dict[ClassId, float] = {}
        self._response_tokens: dict[ClassId, float] = {}

    def service_s(self, service_class: ClassId) -> float:
        """Return the seconds for which a response of a class occupies its slot."""
        return self._service_s.get(service_class, INITIAL_SERVICE_S)

    def response_tokens(self, service_class: ClassId) -> float:
        """Return the number of tokens of a response of a class."""
        return self._response_tokens.get(service_class, INITIAL_RESPONSE_TOKENS)

    def record(self, slot: Slot, message: Release, now: float) -> None:
        """Add the sample of a complete response."""
        key = slot.service_class
        service_s = now - slot.granted_at
        _update_average(self._service_s, key, service_s)
        _update_average(self._response_tokens, key, float(message.tokens))
        if message.first_token_s:
            self.first_token_s += EMA_WEIGHT * (
                message.first_token_s - self.first_token_s
            )


def _update_average(
    averages: dict[ClassId, float], key: ClassId, sample: float
) -> None:
    average = averages.get(key, sample)
    averages[key] = average + EMA_WEIGHT * (sample - average)
