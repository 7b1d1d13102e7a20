"""What a scheduler decides."""

from dataclasses import dataclass

from buckthornwall.codes import ResultCode
from buckthornwall.utils import GrantId, NodeId, UpstreamId

from .queue import Ticket

__all__ = ["Decision", "GrantDecision", "PreemptDecision", "RefusalDecision"]


@dataclass(slots=True)
class GrantDecision:
    """Give the ticket a slot on the engine."""

    ticket: Ticket
    engine: UpstreamId
    grant: GrantId


@dataclass(slots=True)
class RefusalDecision:
    """Give the ticket up, with a code and a time to come back."""

    ticket: Ticket
    code: ResultCode
    retry_after_s: float


@dataclass(slots=True)
class PreemptDecision:
    """Ask a node to give a slot back and to resume its answer later."""

    node: NodeId
    grant: GrantId


Decision = GrantDecision | RefusalDecision | PreemptDecision
