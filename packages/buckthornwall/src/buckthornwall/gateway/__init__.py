"""ASGI applications for clients and for operators."""

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
