"""The decisions of a pool's scheduler."""

from dataclasses import dataclass

from buckthornwall.codes import ResultCode
from buckthornwall.utils import GrantId, NodeId, UpstreamId

from .queue import Ticket

__all__ = ["Decision", "GrantDecision", "PreemptDecision", "RefusalDecision"]


@dataclass(slots=True)
class GrantDecision:
    """Grant the ticket a slot on the engine."""

    ticket: Ticket
    engine: UpstreamId
    grant: GrantId


@dataclass(slots=True)
class RefusalDecision:
    """Refuse the ticket, with a result code and a time to retry after."""

    ticket: Ticket
    code: ResultCode
    retry_after_s: float


@dataclass(slots=True)
class PreemptDecision:
    """Ask an instance to free a slot and to resume its response later."""

    node: NodeId
    grant: GrantId


Decision = GrantDecision | RefusalDecision | PreemptDecision
