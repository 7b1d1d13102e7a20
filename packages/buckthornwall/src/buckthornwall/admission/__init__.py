"""Who the caller is, where the request goes, and which class applies."""

from .core import Admission, Admitted, TeamGauge

__all__ = ["Admission", "Admitted", "TeamGauge"]
