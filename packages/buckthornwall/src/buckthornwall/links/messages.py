"""Messages between instances.

They are encoded as arrays that begin with a small integer tag, since a pool's
scheduler handles several for each request.
"""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from buckthornwall.utils import (
    ClassId,
    GrantId,
    Incarnation,
    ModelId,
    NodeId,
    RequestId,
    TeamId,
    UpstreamId,
    ZoneId,
)

__all__ = [
    "CallForward",
    "CallOutcome",
    "Challenge",
    "Enqueue",
    "EnqueueAccepted",
    "EnqueueRefused",
    "Grant",
    "HandoverAccepted",
    "Heartbeat",
    "Hello",
    "KeyEntry",
    "LedgerHandover",
    "LedgerMoved",
    "Message",
    "NodeState",
    "PeerAddress",
    "Preempt",
    "RecordsReply",
    "RecordsRequest",
    "Release",
    "ReleaseKind",
    "ReportedSlot",
    "ShareLeaseEnded",
    "SlotReport",
    "Withdraw",
]


class NodeState(Enum):
    """State that an instance reports of itself."""

    JOINING = 0
    READY = 1
    LEAVING = 2


class ReleaseKind(Enum):
    """How a granted slot ended."""

    DONE = 0
    FAILED = 1
    CANCELLED = 2
    UNUSED = 3
    LEAVING = 4


class Challenge(Struct, array_like=True, tag=1):
    """Nonce of the accepting side, to be answered by `Hello`."""

    nonce: bytes


class Hello(Struct, array_like=True, tag=2):
    """Id of the dialling side and its proof that it knows the shared secret."""

    node: NodeId
    incarnation: Incarnation
    address: str
    mac: bytes


class PeerAddress(Struct, array_like=True):
    """Address at which an instance accepts links."""

    node: NodeId
    address: str
    zone: ZoneId


class Heartbeat(Struct, array_like=True, tag=3):
    """Heartbeat with the sender's state and the version of its records in force."""

    incarnation: Incarnation
    state: NodeState
    zone: ZoneId
    records_number: int
    records_digest: str
    leaving_upstreams: list[UpstreamId]
    peers: list[PeerAddress]


class RecordsRequest(Struct, array_like=True, tag=4):
    """Request for the records that the receiver has in force."""


class RecordsReply(Struct, array_like=True, tag=5):
    """The published bytes of the records in force; empty if there are none."""

    raw: bytes


class Enqueue(Struct, array_like=True, tag=6):
    """Request for a slot, to a pool's scheduler; a repeat has no further effect.

    `start_within_s` is measured from the sending, at `sent_at` on the entry's clock.
    With `local` the receiver, which is always the sender itself, decides within its
    own share of the pool.
    """

    request: RequestId
    pool: ModelId
    service_class: ClassId
    team: TeamId
    prompt_tokens: int
    prefix: int
    start_within_s: float
    sent_at: float
    waited_s: float = 0.0
    excluded: list[UpstreamId] = []
    resumed: bool = False
    local: bool = False
    preemptible: bool = False


class EnqueueAccepted(Struct, array_like=True, tag=7):
    """Confirmation that the scheduler has queued the request."""

    request: RequestId


class EnqueueRefused(Struct, array_like=True, tag=8):
    """Refusal of a request by the scheduler; `code` is the number of a result code."""

    request: RequestId
    code: int
    retry_after_s: float


class Grant(Struct, array_like=True, tag=9):
    """A slot on an engine, valid for a short time.

    `age_s` is the time from the scheduler's receipt of the request to the grant.
    `request_sent_at` is the time of sending on the entry's own clock, so that the
    entry recognises a late grant without comparing clocks.
    """

    request: RequestId
    grant: GrantId
    engine: UpstreamId
    scheduler: Incarnation
    request_sent_at: float
    age_s: float
    valid_s: float
    local: bool = False


class Preempt(Struct, array_like=True, tag=19):
    """Order to return a slot for urgent work; the answer is resumed later."""

    grant: GrantId


class Release(Struct, array_like=True, tag=10):
    """Return of a slot, with what the entry measured of the engine.

    `rest_s` is for how many seconds the engine wants no requests.
    """

    grant: GrantId
    kind: ReleaseKind
    tokens: int = 0
    first_token_s: float = 0.0
    inter_token_s: float = 0.0
    rest_s: Annotated[float, Meta(ge=0)] = 0.0


class Withdraw(Struct, array_like=True, tag=11):
    """Withdrawal of a request whose caller has disconnected."""

    request: RequestId
    local: bool = False


class ReportedSlot(Struct, array_like=True):
    """One slot in use, as reported by its entry."""

    grant: GrantId
    engine: UpstreamId
    service_class: ClassId
    team: TeamId
    tokens: int


class SlotReport(Struct, array_like=True, tag=12):
    """All slots of a pool that the sender uses at present.

    With `renews_lease` the report renews the lease under which the receiver may grant
    slots of the sender's share of the pool; without, it ends the lease at once.
    `lease_number` counts the sender's leases of the pool, so that the answer to the
    end of one is not taken for the end of the next; it is 0 in a report that
    concerns no lease. `sent_at` is on the sender's clock; see `DelayEstimator`.
    """

    pool: ModelId
    renews_lease: bool
    lease_number: int
    sent_at: float
    running: list[ReportedSlot]


class ShareLeaseEnded(Struct, array_like=True, tag=13):
    """Confirmation that a scheduler ended its lease of the receiver's share."""

    pool: ModelId
    lease_number: int


class CallForward(Struct, array_like=True, tag=14):
    """A call forwarded to the owner of its idempotency key."""

    call: RequestId
    key: str
    route: str
    team: TeamId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class CallOutcome(Struct, array_like=True, tag=15):
    """Answer of the key's owner to `CallForward`.

    `code` is 0 if `status`, `headers` and `body` are those of the service's response.
    """

    call: RequestId
    code: int
    detail: str = ""
    run: str = ""
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b""


class KeyEntry(Struct, array_like=True):
    """State of one used key, as sent in a hand-over."""

    serial: int
    state: int
    fingerprint: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class LedgerHandover(Struct, array_like=True, tag=16):
    """A chunk of the ledger that a stopping instance hands to its successor.

    It is addressed to one incarnation of the successor: a later one might receive
    it again after an earlier one adopted the ledger, dispatched a call and crashed.
    """

    owner: NodeId
    incarnation: Incarnation
    next_serial: int
    oldest_serial: int
    entries: list[KeyEntry]
    chunk_index: int
    chunk_count: int
    successor_incarnation: Incarnation


class HandoverAccepted(Struct, array_like=True, tag=17):
    """Acknowledgement that the successor holds the ledger now."""

    owner: NodeId
    incarnation: Incarnation


class LedgerMoved(Struct, array_like=True, tag=18):
    """Announcement that a successor holds an owner's ledger."""

    owner: NodeId
    incarnation: Incarnation
    successor: NodeId


Message = (
    Challenge
    | Hello
    | Heartbeat
    | RecordsRequest
    | RecordsReply
    | Enqueue
    | EnqueueAccepted
    | EnqueueRefused
    | Grant
    | Release
    | Withdraw
    | SlotReport
    | ShareLeaseEnded
    | CallForward
    | CallOutcome
    | LedgerHandover
    | HandoverAccepted
    | LedgerMoved
    | Preempt
)
