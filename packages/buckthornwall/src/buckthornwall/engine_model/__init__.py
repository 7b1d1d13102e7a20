"""How quickly engines read and generate, learned from what their streams show.

============= ============================================================
`quantile`    a running quantile of figures
`model`       the steps and the reading of one pool's engines
============= ============================================================

Pure state: figures in, predictions out. Placement (`buckthornwall.pools`) asks it
for waits, pauses and ends; `buckthornwall.forwarding` tells it what was seen.
"""

from .model import EngineModel
from .quantile import QuantileEstimate

__all__ = ["EngineModel", "QuantileEstimate"]
