"""Calls that may run at most once: keys that name their owner."""

from .agent import CallRequest, CallResult, IdempotencyAgent, IdempotencySettings
from .keys import IdempotencyKey, KeyMint
from .ledger import BeginResult, KeyLedger, KeyState, StoredOutcome

__all__ = [
    "BeginResult",
    "CallRequest",
    "CallResult",
    "IdempotencyAgent",
    "IdempotencyKey",
    "IdempotencySettings",
    "KeyLedger",
    "KeyMint",
    "KeyState",
    "StoredOutcome",
]
