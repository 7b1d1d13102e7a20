"""Completion responses, assembled from the chunks of one or more attempts."""

from typing import Any

import msgspec

from .http import EVENT_STREAM, Exchange

__all__ = [
    "CompletionResponse",
    "BufferedResponse",
    "StreamedResponse",
    "has_finish_reason",
]

DONE_EVENT = b"data: [DONE]\n\n"


def text_of(chunk: dict[str, Any]) -> str:
    """Return the text that a chunk adds to the first choice."""
    text_parts = []
    for choice in chunk.get("choices") or []:
        content = (choice.get("delta") or {}).get("content") or choice.get("text")
        if content:
            text_parts.append(content)
    return "".join(text_parts)


def has_finish_reason(chunks: list[dict[str, Any]]) -> bool:
    """Return whether any of the chunks carries a finish reason."""
    return any(
        choice.get("finish_reason")
        for chunk in chunks
        for choice in chunk.get("choices") or []
    )


class CompletionResponse:
    """Record what has been received from engines; subclasses write it to the client.

    Parameters
    ----------
    exchange
        The client's request.
    chat
        Whether this is a chat completion rather than a text completion.
    """

    def __init__(self, exchange: Exchange, chat: bool) -> None:
        self.exchange = exchange
        self.chat = chat
        self.text_parts: list[str] = []
        self.tokens = 0
        self.finished = False
        self.response_id: str | None = None

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.text_parts)

    def record_chunks(self, chunks: list[dict[str, Any]]) -> int:
        """Record the text of chunks; return the number of chunks with text.

        A chunk with text counts as one token.
        """
        new_tokens = 0
        for chunk in chunks:
            text = text_of(chunk)
            if text:
                self.text_parts.append(text)
                new_tokens += 1
        self.tokens += new_tokens
        return new_tokens

    def with_response_id(self, chunk: dict[str, Any]) -> dict[str, Any]:
        """Set the chunk's id to that of the response's first chunk.

        Chunks of different attempts thus carry the same id.
        """
        if self.response_id is None:
            self.response_id = chunk.get("id")
        chunk["id"] = self.response_id
        return chunk

    async def write_chunks(self, chunks: list[dict[str, Any]]) -> None:
        """Write chunks that were received together."""
        raise NotImplementedError

    async def finish(self) -> None:
        """End the response, which is complete."""
        raise NotImplementedError


class StreamedResponse(CompletionResponse):
    """Write server-sent events; those received together go out in one write."""

    async def write_chunks(self, chunks: list[dict[str, Any]]) -> None:
        """Write the chunks as events, after the headers if these are not sent yet."""
        if not self.exchange.started:
            headers = [("content-type", EVENT_STREAM), ("cache-control", "no-store")]
            await self.exchange.start(200, headers)
        encode = msgspec.json.encode
        events = [
            b"data: " + encode(self.with_response_id(chunk)) + b"\n\n"
            for chunk in chunks
        ]
        await self.exchange.write(b"".join(events))

    async def finish(self) -> None:
        """Write the ``[DONE]`` event."""
        if not self.exchange.started:
            await self.write_chunks([])
        self.finished = True
        await self.exchange.write(DONE_EVENT, more=False)


class BufferedResponse(CompletionResponse):
    """Write one JSON object once the response is complete."""

    def __init__(self, exchange: Exchange, chat: bool) -> None:
        super().__init__(exchange, chat)
        self.first_chunk: dict[str, Any] = {}
        self.finish_reasons: dict[int, str] = {}
        self.texts: dict[int, list[str]] = {}
        self.usage: dict[str, Any] | None = None

    async def write_chunks(self, chunks: list[dict[str, Any]]) -> None:
        """Collect the text of the chunks by choice."""
        for chunk in chunks:
            self.first_chunk = self.first_chunk or self.with_response_id(chunk)
            self.usage = chunk.get("usage") or self.usage
            for choice in chunk.get("choices") or []:
                index = choice.get("index", 0)
                texts = self.texts.setdefault(index, [])
                texts.append(text_of({"choices": [choice]}))
                if choice.get("finish_reason"):
                    self.finish_reasons[index] = choice["finish_reason"]

    def _choice(self, index: int) -> dict[str, Any]:
        text = "".join(self.texts[index])
        content: dict[str, Any] = {"text": text}
        if self.chat:
            content = {"message": {"role": "assistant", "content": text}}
        reason = self.finish_reasons.get(index, "stop")
        return {"index": index, **content, "finish_reason": reason}

    async def finish(self) -> None:
        """Write the object."""
        body = {
            "id": self.response_id,
            "object": "chat.completion" if self.chat else "text_completion",
            "created": self.first_chunk.get("created", 0),
            "model": self.first_chunk.get("model", ""),
            "choices": [self._choice(index) for index in sorted(self.texts)],
        }
        if self.usage:
            body["usage"] = self.usage
        self.finished = True
        await self.exchange.respond_json(body)
