"""Model of the prefill and decode speed of engines, learned from their streams.

============== ============================================================
`quantile`     streaming estimate of a quantile
`model`        step times and prefill speed of one pool's engines
`steady_steps` steps that hold the same work at all engines
`scaled`       the same for an engine that is faster or slower than usual
============== ============================================================

Pure state: samples in, predictions out. `buckthornwall.forwarding` records the samples;
placement (`buckthornwall.pools`) uses the predicted waits, pauses and durations.
"""

from .model import EngineModel
from .quantile import QuantileEstimate
from .scaled import ScaledEngineModel, scale_model
from .steady_steps import SteadySteps

__all__ = [
    "EngineModel",
    "QuantileEstimate",
    "ScaledEngineModel",
    "SteadySteps",
    "scale_model",
]
