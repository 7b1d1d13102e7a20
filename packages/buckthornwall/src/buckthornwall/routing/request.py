"""One caller's request, as the decisions see it."""

from dataclasses import dataclass

from buckthornwall.utils import ModelId

__all__ = ["PromptSegment", "PromptShape", "RoutedRequest"]

OUTPUT_TOKEN_COST = 10  # a generated token costs about ten prompt tokens' time


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A prompt segment that other prompts may share; `tokens` is its length."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptShape:
    """What is known of a generation before it runs."""

    model: ModelId
    prompt_tokens: int
    max_output_tokens: int
    segments: tuple[PromptSegment, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Return what it takes of an engine's memory, with half of its answer.

        Answers are shorter than their longest by more than half on average.
        """
        return self.prompt_tokens + self.max_output_tokens // 2

    @property
    def is_decode_heavy(self) -> bool:
        """Whether its longest answer takes more work than its prompt."""
        return self.max_output_tokens * OUTPUT_TOKEN_COST > self.prompt_tokens

    @property
    def affinity_key(self) -> str:
        """Id of the last segment that other requests may share, or ''."""
        if len(self.segments) >= 2:
            return self.segments[-2].id
        return self.segments[0].id if self.segments else ""


@dataclass(slots=True)
class RoutedRequest:
    """A whole request, read from its caller.

    `headers` are those that pass to an upstream unchanged. `client_timeout_s` is
    how long the caller waits from `received_at` on, or None if it is silent.
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
