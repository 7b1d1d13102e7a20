"""Quarantine of requests that crash the upstreams that run them.

============= ============================================================
`fingerprint` hash that is equal for repeats of a request, whatever their ids
`record`      upstreams that terminated while running a request; mergeable
`table`       all such records, and the requests that are refused
`successes`   recent successful runs, which exonerate a request
`settings`    the ``[quarantine]`` section
============= ============================================================
"""

from .fingerprint import Fingerprint, fingerprint_of, format_fingerprint
from .record import CrashRecord, IncarnationTag, incarnation_tag
from .settings import QuarantineSettings
from .table import CrashReport, QuarantineTable

__all__ = [
    "CrashRecord",
    "CrashReport",
    "Fingerprint",
    "IncarnationTag",
    "QuarantineSettings",
    "QuarantineTable",
    "fingerprint_of",
    "format_fingerprint",
    "incarnation_tag",
]
