"""Headers shared by the stand-ins of callers and upstreams."""

__all__ = ["PREFIX", "make_request_headers", "make_response_headers"]

PREFIX = b"X-Buckthornwall-"

Headers = list[tuple[bytes, bytes]]


def make_request_headers(
    request: str,
    host: str,
    key: str,
    client_timeout_s: float,
    prompt: tuple[str, str] | None,
    body: bytes = b"",
) -> Headers:
    """Return the headers of a request.

    Parameters
    ----------
    request, host, key
        Request id, host name and API key.
    client_timeout_s
        Time that the caller allows for the response, in seconds.
    prompt
        Header values with the token counts and segments of a prompt, if any.
    body
        Request body, for its length.
    """
    headers = [
        (b"Host", host.encode()),
        (PREFIX + b"Attempt-Id", request.encode()),
        (PREFIX + b"Deadline-Ms", b"%d" % (client_timeout_s * 1000)),
        (PREFIX + b"Key", key.encode()),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if prompt is not None:
        counts, segments = prompt
        headers.append((PREFIX + b"Token-Count", counts.encode()))
        headers.append((PREFIX + b"Prompt-Prefix", segments.encode()))
    return headers


def make_response_headers(
    request: bytes, running: int, waiting: int, slots: int
) -> Headers:
    """Return the headers of every upstream response: request id and load."""
    return [
        (PREFIX + b"Attempt-Id", request),
        (PREFIX + b"Engine-Load", b"%d,%d,%d" % (running, waiting, slots)),
    ]
