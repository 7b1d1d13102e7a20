"""A client's request, as routing and placement see it."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from buckthornwall.utils import ModelId, SoftwareVersion, UpstreamId

from .config import PoolId

__all__ = [
    "MAX_TOKENS",
    "OUTPUT_TOKEN_COST",
    "PromptSegment",
    "PromptShape",
    "RelayOrigin",
    "RoutedRequest",
    "StreamOrigin",
]

# A generated token takes about as long as ten prompt tokens.
OUTPUT_TOKEN_COST = 10
# More than the memory of any engine. Sums over all requests of a fleet stay within what
# messages may state.
MAX_TOKENS = 100_000_000

TokenCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A segment of a prompt, which other prompts may share."""

    id: str
    tokens: TokenCount


@dataclass(frozen=True, slots=True)
class PromptShape:
    """What is known of a generation request before it runs."""

    model: ModelId
    prompt_tokens: TokenCount
    max_output_tokens: TokenCount
    segments: tuple[PromptSegment, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Return the expected KV cache use, with half of the maximum output.

        On average, outputs are shorter than half of their maximum.
        """
        return self.prompt_tokens + self.max_output_tokens // 2

    @property
    def is_decode_heavy(self) -> bool:
        """Whether the maximum output takes longer than the prompt."""
        return self.max_output_tokens * OUTPUT_TOKEN_COST > self.prompt_tokens

    @property
    def shareable_parts(self) -> tuple[str, ...]:
        """Ids of the segments that other prompts may share: all but the last."""
        return tuple(segment.id for segment in self.segments[:-1])

    @property
    def affinity_key(self) -> str:
        """Id of the last segment that other prompts may share, or ''."""
        if len(self.segments) >= 2:
            return self.segments[-2].id
        return self.segments[0].id if self.segments else ""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The pool, and the software version of its upstream, that began a stream."""

    pool: PoolId
    version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class RelayOrigin:
    """What a peer did for a request before it forwarded it to this instance.

    `runs` counts its attempts that may have run, and `reached` are the upstreams that
    they may have reached. `stream` is what began the stream, if any event was sent.
    """

    runs: int
    reached: frozenset[UpstreamId]
    stream: StreamOrigin | None = None


@dataclass(slots=True)
class RoutedRequest:
    """A complete request from a client.

    `headers` are those that are forwarded unchanged. `client_timeout_s` is how long
    the client waits after `received_at`, or None if it does not say. `resumes` is the
    request that brought the first event of the stream that the client continues, and
    `resume_after` the id of its last event; both are empty if it continues none, and
    the former if it does not say. `relay_origin` is None unless a peer forwarded the
    request.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
    key: str = ""
    client_timeout_s: float | None = None
    prompt: PromptShape | None = None
    resume_after: str = ""
    resumes: str = ""
    relay_origin: RelayOrigin | None = None
