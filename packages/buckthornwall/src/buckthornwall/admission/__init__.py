"""Who the caller is, where the request goes, and which class applies."""

from .core import Admission, AdmittedRequest, TeamConcurrencyLimiter

__all__ = ["Admission", "AdmittedRequest", "TeamConcurrencyLimiter"]
