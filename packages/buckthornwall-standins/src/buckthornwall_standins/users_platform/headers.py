"""Headers that the stand-ins of callers and upstreams have in common."""

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
    """Return the headers of a call.

    Parameters
    ----------
    request, host, key
        Its id, where it goes, and whose it is.
    client_timeout_s
        How long its caller waits, in seconds.
    prompt
        Token counts and segments of a prompt, as they are sent; None without one.
    body
        What is sent after the headers.
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
    """Return what every reply of an upstream bears: the call's id, and its load."""
    return [
        (PREFIX + b"Attempt-Id", request),
        (PREFIX + b"Engine-Load", b"%d,%d,%d" % (running, waiting, slots)),
    ]
