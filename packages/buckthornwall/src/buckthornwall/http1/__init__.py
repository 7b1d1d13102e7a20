"""HTTP/1.1 over h11 and trio; a fault on one connection does not affect the others.

================ =========================================================
`client`         a client connection that carries one exchange at a time
`server`         a listener, its client connections, and graceful shutdown
`connection`     the connection of one client
`request_head`   heads of requests
`request_body`   bodies of requests, decoded as their bytes arrive
`response`       the response to one request, written complete or in pieces
`pieces`         messages as pieces that are sent in turn
`socket_buffers` what the system may hold unread
`messages`       what a server reads, and its limits
`shared`         what the listeners of one process share
`refusals`       requests that are refused before they are complete
`failures`       failures of an exchange below the level of HTTP
================ =========================================================
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
from .messages import IncomingRequest, ServerLimits
from .response import ResponseAborted, ResponseWriter
from .server import HttpServer
from .shared import SharedResources

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
    "SharedResources",
    "find_readable",
    "is_valid_request",
    "refuses_connections",
]
