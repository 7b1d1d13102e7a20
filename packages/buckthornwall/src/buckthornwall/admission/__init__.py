"""Authentication of clients, and the route and service class of a request."""

from .core import Admission, AdmittedRequest, TeamConcurrencyLimiter

__all__ = ["Admission", "AdmittedRequest", "TeamConcurrencyLimiter"]
