"""At-most-once calls, by idempotency keys that name the owning instance."""

from .agent import IdempotencyAgent
from .calls import CallRequest, CallResult
from .keys import IdempotencyKey, KeyCodec
from .ledger import BeginResult, KeyLedger, KeyState, StoredOutcome
from .settings import IdempotencySettings
from .transfer import LedgerTransfer

__all__ = [
    "BeginResult",
    "CallRequest",
    "CallResult",
    "IdempotencyAgent",
    "IdempotencyKey",
    "IdempotencySettings",
    "KeyLedger",
    "KeyCodec",
    "KeyState",
    "LedgerTransfer",
    "StoredOutcome",
]
