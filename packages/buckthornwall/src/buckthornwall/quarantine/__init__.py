"""Requests that crash the upstreams that run them.

============= ============================================================
`fingerprint` what makes two requests the same, whatever their ids
`record`      the upstreams that ended beneath one request; mergeable
`table`       all such records, and which requests are no longer sent
`successes`   requests that lately ran well, and so crash nothing
`settings`    the ``[quarantine]`` section
============= ============================================================
"""

from .fingerprint import Fingerprint, fingerprint_of, format_fingerprint
from .record import CrashRecord, GenerationTag, generation_tag
from .settings import QuarantineSettings
from .table import CrashReport, QuarantineTable

__all__ = [
    "CrashRecord",
    "CrashReport",
    "Fingerprint",
    "QuarantineSettings",
    "QuarantineTable",
    "GenerationTag",
    "fingerprint_of",
    "format_fingerprint",
    "generation_tag",
]
