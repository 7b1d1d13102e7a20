"""Requests that crash the upstreams that run them.

============= ============================================================
`fingerprint` what makes two requests the same, whatever their ids
============= ============================================================
"""

from .fingerprint import Fingerprint, fingerprint_of

__all__ = ["Fingerprint", "fingerprint_of"]
