"""Every message that one instance sends another.

Messages are encoded as arrays headed by a small integer tag, since a pool's
scheduler handles several for each request.
"""

from enum import Enum

from msgspec import Struct

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
    """What an instance says of itself."""

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
    """The accepting side's nonce, to be answered by `Hello`."""

    nonce: bytes


class Hello(Struct, array_like=True, tag=2):
    """The dialling side's name and its proof of the shared secret."""

    node: NodeId
    incarnation: Incarnation
    address: str
    mac: bytes


class PeerAddress(Struct, array_like=True):
    """Where an instance can be dialled."""

    node: NodeId
    address: str
    zone: ZoneId


class Heartbeat(Struct, array_like=True, tag=3):
    """Sign of life with the sender's state and the records it has in force."""

    incarnation: Incarnation
    state: NodeState
    zone: ZoneId
    records_number: int
    records_digest: str
    leaving_upstreams: list[UpstreamId]
    peers: list[PeerAddress]


class RecordsRequest(Struct, array_like=True, tag=4):
    """Ask a peer for the records it has in force."""


class RecordsReply(Struct, array_like=True, tag=5):
    """The published bytes of the records in force; empty if there are none."""

    raw: bytes


class Enqueue(Struct, array_like=True, tag=6):
    """Ask a pool's scheduler for a slot; repeating it changes nothing.

    `start_within_s` counts from sending, which was at `sent_at` on the entry's
    clock. With `local` the receiver, always
    the sender itself, decides within its own share of the pool.
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
    """The scheduler holds the request in its queue."""

    request: RequestId


class EnqueueRefused(Struct, array_like=True, tag=8):
    """The scheduler gives the request up; `code` is a result code's number."""

    request: RequestId
    code: int
    retry_after_s: float


class Grant(Struct, array_like=True, tag=9):
    """A slot on an engine, valid for a short time.

    `age_s` is the time from the scheduler's receipt of the request to the
    grant, and `request_sent_at` the entry's own time of sending it, so that the entry
    can tell a late grant without comparing clocks.
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
    """Give a slot back for urgent work, and resume the answer later."""

    grant: GrantId


class Release(Struct, array_like=True, tag=10):
    """A slot given back, with what the entry saw of the engine."""

    grant: GrantId
    kind: ReleaseKind
    tokens: int = 0
    first_token_s: float = 0.0
    inter_token_s: float = 0.0


class Withdraw(Struct, array_like=True, tag=11):
    """The caller is gone; forget the request."""

    request: RequestId
    local: bool = False


class ReportedSlot(Struct, array_like=True):
    """One slot in use, as its entry sees it."""

    grant: GrantId
    engine: UpstreamId
    service_class: ClassId
    team: TeamId
    tokens: int


class SlotReport(Struct, array_like=True, tag=12):
    """Every slot of a pool that the sender uses now.

    With `renews_lease` it renews a lease: for so long the receiver may give out
    the sender's share of the pool. Without, it ends the lease at once.
    `lease_number` numbers the sender's leases of the pool, so that the answer to the
    end of one is not taken for the end of the next; it is 0 in a report that
    is about no lease. `sent_at` is on the sender's clock; see `DelayEstimator`.
    """

    pool: ModelId
    renews_lease: bool
    lease_number: int
    sent_at: float
    running: list[ReportedSlot]


class ShareLeaseEnded(Struct, array_like=True, tag=13):
    """A scheduler no longer uses the lease of the receiver's share."""

    pool: ModelId
    lease_number: int


class CallForward(Struct, array_like=True, tag=14):
    """A call handed to the owner of its idempotency key."""

    call: RequestId
    key: str
    route: str
    team: TeamId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class CallOutcome(Struct, array_like=True, tag=15):
    """The owner's answer to `CallForward`.

    `code` is 0 when `status`, `headers` and `body` are the service's own.
    """

    call: RequestId
    code: int
    detail: str = ""
    run: str = ""
    status: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b""


class KeyEntry(Struct, array_like=True):
    """What an owner knows of one key, in the form that a hand-over carries."""

    serial: int
    state: int
    fingerprint: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class LedgerHandover(Struct, array_like=True, tag=16):
    """A part of the keys of an owner that stops, for its successor.

    It is for one incarnation of the successor only: a later one might get it
    again after an earlier one took it, dispatched, and crashed.
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
    """The successor holds the keys now."""

    owner: NodeId
    incarnation: Incarnation


class LedgerMoved(Struct, array_like=True, tag=18):
    """News that an owner's keys are held by a successor."""

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
