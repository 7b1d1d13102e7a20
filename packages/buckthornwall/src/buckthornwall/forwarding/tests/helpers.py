"""Scripted upstream replies, a minimal codec and a recorded response."""

import json

from buckthornwall.forwarding import (
    Reply,
)
from buckthornwall.http1 import ResponseAborted
from buckthornwall.pools import Notice
from buckthornwall.routing import (
    PoolId,
    PromptSegment,
    PromptShape,
)
from buckthornwall.utils import ModelId

POOL = PoolId("p")
MISDIRECTED = b"HTTP/1.1 421 Any\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
RESTING = NOT_RUN.replace(b"Content", b"X-Rest: 3\r\nContent")


def prompt(tokens=500, shared=()):
    """Return a prompt with one segment of its own after the shared ones."""
    segments = [PromptSegment(name, 0) for name in shared]
    segments.append(PromptSegment("own", tokens))
    return PromptShape(ModelId("m"), tokens, 100, tuple(segments))


def reply(status=200, body=b"ok", request="r", extra=b""):
    head = b"HTTP/1.1 %d Any\r\nX-Id: %s\r\nX-Signed: 1\r\n" % (
        status,
        request.encode(),
    )
    return head + extra + b"Content-Length: %d\r\n\r\n" % len(body) + body


def event(number):
    return b"id: %d\ndata: w%d\n\n" % (number, number)


def stream(*numbers, end=True):
    head = b"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signed: 1\r\n"
    data = head + b"Transfer-Encoding: chunked\r\n\r\n"
    for number in numbers:
        chunk = event(number)
        data += b"%x\r\n%s\r\n" % (len(chunk), chunk)
    return data + (b"0\r\n\r\n" if end else b"")


class PlainCodec:
    """A codec with a few short header names."""

    def encode(self, request, context):
        headers = [
            (b"host", b"h"),
            (b"x-left", b"%d" % (context.remaining_s * 1000)),
            (b"content-length", b"%d" % len(request.body)),
        ]
        if context.resume_after:
            headers.append((b"last-event-id", context.resume_after.encode()))
        return headers

    def decode(self, head):
        found = dict(head.headers)
        return Reply(
            status=head.status,
            headers=[],
            request_id=found.get(b"x-id", b"").decode(),
            attested=b"x-signed" in found,
            not_run=b"x-not-run" in found,
            misdirected=head.status == 421,
            rate_limit=float(found.get(b"x-limit", b"inf")),
            notice=Notice(b"x-leaving" in found, _rest_s(found)),
        )

    def decode_trailers(self, reply, trailers):
        return reply

    def encode_identity_check(self, upstream):
        return [(b"host", b"h")]

    def decode_identity(self, head, upstream):
        instance = dict(head.headers).get(b"x-instance")
        return None if instance is None else instance.decode() == upstream.id


def _rest_s(found):
    return float(found[b"x-rest"]) if b"x-rest" in found else None


class Recorder:
    """A response that records what is sent to the client."""

    def __init__(self):
        self.started = self.ended = False
        self.status = 0
        self.body = b""
        self.headers = {}
        self.refusal_headers = lambda refusal, runs: []

    async def send_complete(self, status, headers, body):
        self.started = self.ended = True
        self.status, self.headers, self.body = status, dict(headers), body

    async def begin(self, status, headers, data=b""):
        self.started = True
        self.status, self.body = status, data

    async def send(self, data):
        self.body += data

    async def end(self, data=b""):
        self.body += data
        self.ended = True

    async def abort(self, refusal, runs):
        raise ResponseAborted(refusal.detail)

    @property
    def run(self):
        return json.loads(self.body)["run"]
