"""A completion request and its state across attempts."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from buckthornwall.admission import AdmittedRequest
from buckthornwall.codes import Executed, Refusal, ResultCode
from buckthornwall.utils import DecodingError, decode_json

from .completion_response import CompletionResponse

__all__ = ["CHAT_PATH", "CompletionJob", "check_body", "hash_prefix"]

CHAT_PATH = "/v1/chat/completions"
MAX_HASHED_BYTES = 1024
HASH_BYTES = 6


@dataclass
class CompletionJob:
    """A client's completion request and its state across attempts."""

    path: str
    body: dict[str, Any]
    admitted: AdmittedRequest
    response: CompletionResponse
    started_at: float
    traceparent: str | None
    prefix_hash: int
    prompt_tokens: int
    preempted: bool = False
    may_have_executed: bool = False

    @property
    def executed(self) -> Executed:
        """Whether any attempt has been executed, as far as is known."""
        if self.response.tokens:
            return Executed.YES
        return Executed.UNKNOWN if self.may_have_executed else Executed.NO

    @property
    def resumable(self) -> bool:
        """Whether a new attempt can continue the text of a failed one."""
        body = self.body
        return (
            body.get("n", 1) == 1
            and not body.get("tools")
            and not body.get("logprobs")
            and (self.path == CHAT_PATH or isinstance(body.get("prompt"), str))
        )


def check_body(path: str, raw: bytes) -> dict[str, Any]:
    """Decode the body and check the fields that the router reads.

    Raises
    ------
    Refusal
        Naming the malformed field.
    """

    def malformed(detail: str) -> Refusal:
        return Refusal(ResultCode.MALFORMED_BODY, detail)

    try:
        body = decode_json(raw)
    except DecodingError as error:
        raise malformed(str(error)) from error
    if not isinstance(body, dict):
        raise malformed("expected an object")
    if not isinstance(body.get("model"), str):
        raise malformed("model: expected a string")
    if type(body.get("stream", False)) is not bool:
        raise malformed("stream: expected true or false")
    limit = body.get("max_tokens")
    if limit is not None and (type(limit) is not int or limit < 1):
        raise malformed("max_tokens: expected 1 or more")
    if path == CHAT_PATH:
        messages = body.get("messages")
        if not isinstance(messages, list) or not messages:
            raise malformed("messages: expected a non-empty list")
        if not all(isinstance(each, dict) for each in messages):
            raise malformed("messages: expected objects")
    elif not isinstance(body.get("prompt"), str | list):
        raise malformed("prompt: expected a string or a list")
    return body


def hash_prefix(body: dict[str, Any]) -> int:
    """Return a hash of the prompt's beginning, for routing to cached prefixes."""
    prompt = body.get("messages", body.get("prompt"))
    encoded_head = msgspec.json.encode(prompt)[:MAX_HASHED_BYTES]
    return int.from_bytes(blake2b(encoded_head, digest_size=HASH_BYTES).digest())
