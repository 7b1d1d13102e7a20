"""Acceptance of requests that peers forward through this instance."""

from typing import TYPE_CHECKING

from buckthornwall.codes import PeerError, Refusal, ResultCode
from buckthornwall.forwarding import RelayedRequest, decode_relayed
from buckthornwall.http1 import IncomingRequest, ResponseWriter
from buckthornwall.peers import PeerState
from buckthornwall.platform import (
    RELAYED_HEADERS,
    relay_refusal_headers,
    relay_version_headers,
)
from buckthornwall.routing import RoutedRequest
from buckthornwall.telemetry import log_event

if TYPE_CHECKING:
    from .core import Router

__all__ = ["accept_relayed", "decline_reason"]


async def accept_relayed(
    router: "Router", incoming: IncomingRequest, answer: ResponseWriter
) -> RoutedRequest | None:
    """Return a request from a peer, or None after declining it.

    The responses to it, and refusals among them, are marked for the peer.
    """
    answer.extra_headers = RELAYED_HEADERS
    answer.refusal_headers = relay_refusal_headers
    answer.version_headers = relay_version_headers
    try:
        message = decode_relayed(incoming.body)
    except PeerError as error:
        refusal = Refusal(error.code, error.detail)
        await router.forwarder.refuse_unreadable(answer, refusal)
        return None
    incoming.body = b""  # the message has a copy
    reason = decline_reason(
        message.number,
        router.table.number,
        router.state,
        router.forwarder.isolation.is_isolated,
    )
    if reason:
        refusal = Refusal(ResultCode.NOT_READY, reason)
        await router.forwarder.refuse_relayed(message.id, answer, refusal)
        return None
    _log_accepted(message)
    return message.as_routed(incoming.received_at)


def decline_reason(
    sender_number: int, number: int, state: PeerState, is_isolated: bool
) -> str:
    """Return why this instance forwards no request of a peer, or '' if it does.

    Parameters
    ----------
    sender_number, number
        Configuration in force at the peer and here.
    state
        State of this instance.
    is_isolated
        Whether this instance reaches no upstream either.
    """
    if state is PeerState.LEAVING:
        return "leaving"
    if state is not PeerState.READY:
        return "not_ready"
    if is_isolated:
        return "isolated"
    return "older_configuration" if number < sender_number else ""


def _log_accepted(message: RelayedRequest) -> None:
    log_event(
        "request_accepted_from_peer",
        request=message.id,
        runs=message.runs,
        reached=len(message.reached),
        resumes_after=message.resume_after,
        version=message.version if message.version is not None else "",
        sender_number=message.number,
        elapsed_ms=message.elapsed_ms,
        remaining_ms=message.remaining_ms,
    )
