"""An upstream's reply, and how a request is put to it, in the product's words."""

import math
from dataclasses import dataclass
from typing import Protocol

from buckthornwall.http1 import ReplyHead
from buckthornwall.pools import LoadReport, UpstreamEntry
from buckthornwall.routing import RoutedRequest
from buckthornwall.utils import TeamId

__all__ = ["AttemptContext", "Reply", "WireCodec"]

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Reply:
    """The head of an upstream's reply.

    `headers` are those that pass to the caller unchanged. `not_run` is set
    where the upstream states that it did not and will not run the request, and
    `misdirected` where it is since another upstream has that address now.
    `rate_limit` is how many requests a second the upstream takes from all instances,
    infinite without a limit, and None if it does not say.
    `attested` is set where the reply bears the upstream's signature.
    """

    status: int
    headers: Headers
    request_id: str
    attested: bool
    not_run: bool
    misdirected: bool = False
    load: LoadReport | None = None
    rate_limit: float | None = None
    idle_timeout_s: float | None = None
    closes_connection: bool = False

    @property
    def has_rate_limit(self) -> bool:
        """Whether the upstream takes only so many requests a second."""
        return self.rate_limit is not None and math.isfinite(self.rate_limit)

    @property
    def is_attested_success(self) -> bool:
        """Whether it is a success that the upstream signed."""
        return 200 <= self.status < 300 and self.attested


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """What the system adds to a request for one attempt.

    `copy_from` is the address of an engine that holds parts of the prompt, from
    which the upstream may copy them in place of reading them; '' for none.
    """

    upstream: UpstreamEntry
    team: TeamId
    rank: int
    remaining_s: float
    resume_after: str = ""
    copy_from: str = ""


class WireCodec(Protocol):
    """Translates between requests and the platform's headers."""

    def encode(self, request: RoutedRequest, context: AttemptContext) -> Headers:
        """Return the headers that an upstream is sent."""

    def decode(self, head: ReplyHead) -> Reply:
        """Return an upstream's reply."""
