"""HTTP for callers and for operators, as ASGI applications."""

from .app import GatewayApp, GatewaySettings
from .completions import CompletionHandler
from .operators import OperatorApp, OperatorSettings
from .services import ServiceHandler

__all__ = [
    "GatewayApp",
    "CompletionHandler",
    "GatewaySettings",
    "OperatorApp",
    "OperatorSettings",
    "ServiceHandler",
]
