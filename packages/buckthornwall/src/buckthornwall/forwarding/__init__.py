"""Forwarding of a routed request: attempts at upstreams, one after another.

=================== ======================================================
`reply`             an upstream's reply, independent of the wire format
`connections`       reuse of connections to upstreams
`events`            event streams, forwarded by complete events, joined by event id
`first_token`       what the first token teaches about the speed of an upstream
`delivery`          the response that the client has received so far
`attempt`           one attempt at one upstream, and its outcome
`attempt_limits`    whether another attempt may follow, and how long one may be silent
`budgets`           this instance's share of the fleet's retry budget
`verdicts`          what the end of an attempt says about the health of its upstream
`isolation_monitor` probes that find whether this instance reaches no upstream
`liveness`          whether an upstream has ended, or only a connection to it
`identity`          which upstream listens at an address
`completeness`      whether a reply that has ended is complete
`continuation`      streams continue at the software version that began them
`crash_guard`       detection and refusal of requests that crash upstreams
`limit_gate`        admission to pools whose upstreams have rate limits
`admissions`        admission by the expected time of the response
`patience`          waits for an upstream, with reviews of whether to wait longer
`relaying`          forwarding through a peer while no upstream can be reached
`relay_order`       the order in which peers are asked
`relay_messages`    the message in which a request is forwarded to a peer
`settings`          settings of attempts
`job`               the state of a request over all of its attempts
`request_telemetry` log lines and metrics of requests
`forwarder`         the attempts of a request until it is answered or refused
=================== ======================================================
"""

from .budgets import RetryBudgets
from .connections import ConnectionCache
from .forwarder import Forwarder
from .relay_messages import (
    RELAY_PATH,
    RELAY_STREAM_PATH,
    RelayedRequest,
    decode_relayed,
)
from .reply import AttemptContext, Reply, WireCodec
from .settings import ForwardingSettings

__all__ = [
    "RELAY_PATH",
    "RELAY_STREAM_PATH",
    "AttemptContext",
    "ConnectionCache",
    "Forwarder",
    "ForwardingSettings",
    "RelayedRequest",
    "Reply",
    "RetryBudgets",
    "WireCodec",
    "decode_relayed",
]
