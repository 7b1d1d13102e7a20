"""Model of the prefill and decode speed of engines, learned from their streams.

============= ============================================================
`quantile`    streaming estimate of a quantile
`model`       step times and prefill speed of one pool's engines
============= ============================================================

Pure state: samples in, predictions out. `buckthornwall.forwarding` records the samples;
placement (`buckthornwall.pools`) uses the predicted waits, pauses and durations.
"""

from .model import EngineModel
from .quantile import QuantileEstimate

__all__ = ["EngineModel", "QuantileEstimate"]
