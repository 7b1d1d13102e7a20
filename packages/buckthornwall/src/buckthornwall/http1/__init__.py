"""HTTP/1.1 over h11 and trio; a fault on one connection does not affect the others.

============= ============================================================
`client`      a client connection that carries one exchange at a time
`response`    the response to one request, written complete or in pieces
`server`      a listener, its client connections, and graceful shutdown
`failures`    failures of an exchange below the level of HTTP
============= ============================================================
"""

from .client import (
    BodyFraming,
    ClientConnection,
    ResponseHead,
    find_readable,
    is_valid_request,
    refuses_connections,
)
from .failures import ExchangeError, ExchangeFailure
from .response import ResponseAborted, ResponseWriter
from .server import HttpServer, IncomingRequest, ServerLimits

__all__ = [
    "BodyFraming",
    "ClientConnection",
    "ExchangeError",
    "ExchangeFailure",
    "HttpServer",
    "IncomingRequest",
    "ResponseAborted",
    "ResponseHead",
    "ResponseWriter",
    "ServerLimits",
    "find_readable",
    "is_valid_request",
    "refuses_connections",
]
