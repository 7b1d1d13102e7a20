"""HTTP/1.1 over h11 and trio, where one connection's fault touches no other.

============= ============================================================
`client`      one exchange at a time over one connection to a server
`server`      a listener, its callers' connections, and their planned stop
`failures`    the ways an exchange ends below HTTP
============= ============================================================
"""

from .client import ClientConnection, ReplyHead
from .failures import ExchangeError, ExchangeFailure
from .server import Answer, AnswerCut, HttpServer, IncomingRequest, ServerLimits

__all__ = [
    "Answer",
    "AnswerCut",
    "ClientConnection",
    "ExchangeError",
    "ExchangeFailure",
    "HttpServer",
    "IncomingRequest",
    "ReplyHead",
    "ServerLimits",
]
