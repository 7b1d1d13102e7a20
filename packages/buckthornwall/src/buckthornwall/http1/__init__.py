"""HTTP/1.1 over h11 and trio, where one connection's fault touches no other.

============= ============================================================
`client`      one exchange at a time over one connection to a server
`server`      a listener, its callers' connections, and their planned stop
`failures`    the ways an exchange ends below HTTP
============= ============================================================
"""

from .client import ClientConnection, ResponseHead
from .failures import ExchangeError, ExchangeFailure
from .server import (
    HttpServer,
    IncomingRequest,
    ResponseAborted,
    ResponseWriter,
    ServerLimits,
)

__all__ = [
    "ResponseWriter",
    "ResponseAborted",
    "ClientConnection",
    "ExchangeError",
    "ExchangeFailure",
    "HttpServer",
    "IncomingRequest",
    "ResponseHead",
    "ServerLimits",
]
