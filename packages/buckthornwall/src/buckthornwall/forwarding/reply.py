"""Upstream requests and replies, independent of the wire format."""

import math
from dataclasses import dataclass
from typing import Protocol

from buckthornwall.codes import Refusal
from buckthornwall.http1 import ResponseHead
from buckthornwall.pools import LoadReport, Notice, UpstreamEntry
from buckthornwall.routing import RoutedRequest
from buckthornwall.utils import SoftwareVersion, TeamId

__all__ = ["AttemptContext", "Reply", "WireCodec"]

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Reply:
    """The head of an upstream's reply.

    `headers` are those that are passed to the client unchanged. `not_run` is set if the
    upstream states that it did not and will not run the request, and `misdirected` if
    the reason is that another upstream now has that address. `rate_limit` is how many
    requests a second the upstream accepts from all instances, infinite without a limit,
    and None if it does not say. `brittle` is how many rejections a second it survives,
    in the same way. `notice` is what it states about itself. `attested` is set if the
    upstream signed the reply. `refusal` is that of a peer that the request was
    forwarded to, if it refused it or could not complete its response, and `runs` how
    many of its attempts may have run. `is_given_up` is set if trailers say that the
    reply is incomplete. `version` is the software version of the upstream behind the
    peer, None if it does not say.
    """

    status: int
    headers: Headers
    request_id: str
    attested: bool
    not_run: bool
    misdirected: bool = False
    load: LoadReport | None = None
    rate_limit: float | None = None
    notice: Notice | None = None
    brittle: float | None = None
    idle_timeout_s: float | None = None
    closes_connection: bool = False
    refusal: Refusal | None = None
    runs: int = 0
    is_given_up: bool = False
    version: SoftwareVersion | None = None

    @property
    def has_rate_limit(self) -> bool:
        """Whether the upstream names a finite rate limit."""
        return self.rate_limit is not None and math.isfinite(self.rate_limit)

    @property
    def has_brittle(self) -> bool:
        """Whether the upstream states that it is brittle."""
        return self.brittle is not None and math.isfinite(self.brittle)

    @property
    def is_attested_success(self) -> bool:
        """Whether this is a 2xx reply that the upstream signed."""
        return 200 <= self.status < 300 and self.attested


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """What the router adds to a request for one attempt.

    `copy_from` is the address of an engine that has segments of the prompt in its KV
    cache, from which the upstream may copy them instead of computing them; '' for none.
    """

    upstream: UpstreamEntry
    team: TeamId
    rank: int
    remaining_s: float
    resume_after: str = ""
    copy_from: str = ""


class WireCodec(Protocol):
    """Translates requests and replies to and from the platform's headers."""

    def encode(self, request: RoutedRequest, context: AttemptContext) -> Headers:
        """Return the headers of a request to an upstream."""

    def decode(self, head: ResponseHead) -> Reply:
        """Return an upstream's reply from its head."""

    def decode_trailers(self, reply: Reply, trailers: Headers) -> Reply:
        """Return a reply with what the trailers after its body add."""

    def encode_identity_check(self, upstream: UpstreamEntry) -> Headers:
        """Return the headers of a health request that is meant for one upstream."""

    def decode_identity(
        self, head: ResponseHead, upstream: UpstreamEntry
    ) -> bool | None:
        """Return whether a health response is that of an upstream, None if unknown."""
