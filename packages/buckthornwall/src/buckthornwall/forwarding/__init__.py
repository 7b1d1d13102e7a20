"""From a routed request to its answer: attempts at upstreams, one after another.

============= ============================================================
`reply`       an upstream's reply in the product's own words
`connections` connections to upstreams, kept while they are sound
`events`      event streams, forwarded by whole events and joined by their ids
`delivery`    what the caller has got so far
`attempt`     one attempt at one upstream, and how it ended
`budgets`     this instance's part of the fleet's retries
`liveness`    whether an upstream has ended, or only a connection to it
`crash_guard` requests that crash upstreams: what shows it, what follows
`limit_gate`  who is sent, and who waits, where a pool has rate limits
`job`         a request on its way through the attempts
`request_telemetry` log lines and metrics of requests
`forwarder`   the attempts of a request until it is answered or refused
============= ============================================================
"""

from .budgets import RetryBudgets
from .connections import ConnectionCache
from .forwarder import Forwarder, ForwardingSettings
from .reply import AttemptContext, Reply, WireCodec

__all__ = [
    "AttemptContext",
    "ConnectionCache",
    "Forwarder",
    "ForwardingSettings",
    "Reply",
    "RetryBudgets",
    "WireCodec",
]
