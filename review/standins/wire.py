"""HTTP/1.1 for the stand-ins, on asyncio and the standard library only."""

import asyncio


class Ended(Exception):
    """The connection ended or was reset before a message was complete."""


class Head:
    """Start line and headers; header names are in lower case."""

    def __init__(self, start: str, headers: dict[str, str]) -> None:
        self.start = start
        self.headers = headers


async def read_head(reader: asyncio.StreamReader) -> Head:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Ended(type(error).__name__) from error
    start, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Head(start, headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a chunked body, empty for its proper end."""
    try:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        line = await reader.readline()
        while size == 0 and line not in (b"\r\n", b""):
            line = await reader.readline()
        if line != b"\r\n":
            raise Ended("inside a chunk")
        return data
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise Ended(type(error).__name__) from error


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return a body that has a length or comes in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        body = b""
        while data := await read_chunk(reader):
            body += data
        return body
    try:
        return await reader.readexactly(int(head.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Ended(type(error).__name__) from error


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
