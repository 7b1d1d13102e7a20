"""Quarantine of requests, and of parts of prompts, that crash upstreams.

============= ============================================================
`fingerprint` hashes of requests, whatever their ids, and of parts of prompts
`record`      upstreams that terminated while serving one of them; mergeable
`table`       all such records, and the requests that are refused
`blame`       which parts crash upstreams, given the terminations that implicate them
`parts`       the parts that are refused, and what exonerates them
`successes`   recent successful runs and answers, which exonerate
`settings`    the ``[quarantine]`` section
============= ============================================================
"""

from .fingerprint import (
    Fingerprint,
    fingerprint_of,
    format_fingerprint,
    part_fingerprints,
)
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
    "part_fingerprints",
]
