"""Result codes: a number for each outcome other than success.

The thousands digit is the category: 1 the client's request, 2 load and scheduling,
3 upstreams, 4 idempotent calls, 5 records, 6 settings, 7 peers.
"""

from enum import Enum

__all__ = [
    "BuckthornwallError",
    "BuckthornwallWarning",
    "PeerError",
    "RecordError",
    "Refusal",
    "ResultCode",
    "Executed",
    "SettingsError",
    "UpstreamError",
    "render_table",
]


class Executed(Enum):
    """Whether an upstream executed a request that is refused."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(Enum):
    """Number, HTTP status, meaning, and the action that the reader should take."""

    MALFORMED_BODY = (1001, 400, "the body is not valid", "mend the named field")
    BODY_TOO_LARGE = (1002, 413, "the body is over the limit", "send less")
    BODY_TOO_SLOW = (1003, 408, "the body did not arrive in time", "send again")
    UNAUTHENTICATED = (1004, 401, "no team has this key", "check the bearer key")
    UNKNOWN_MODEL = (1005, 404, "no route or model has this name", "check the name")
    CLASS_NOT_ALLOWED = (
        1006,
        403,
        "the team may not use this service class",
        "choose a class from the team's record",
    )
    UNKNOWN_PATH = (1007, 404, "nothing is served at this path", "check the path")
    METHOD_NOT_ALLOWED = (1008, 405, "the method is not served", "check the method")
    TEAM_LIMIT = (
        1009,
        429,
        "the team has reached its limit of requests in flight",
        "send later",
    )
    HEAD_TOO_LARGE = (1010, 431, "the head is over the limit", "send less")

    OVERLOADED = (
        2001,
        429,
        "the predicted start is past the class's target",
        "send again after Retry-After",
    )
    START_DEADLINE = (
        2002,
        503,
        "no engine was free before the class's deadline to start",
        "send again after Retry-After",
    )
    NO_ENGINE = (2003, 503, "no engine serves this model now", "send again later")
    NOT_READY = (2004, 503, "the instance holds no records yet", "send again")
    CLASS_WITHDRAWN = (
        2005,
        503,
        "the service class was deleted while the request waited",
        "send again with another class",
    )
    NO_SCHEDULER = (
        2006,
        503,
        "no scheduler answered before the deadline to start",
        "send again after Retry-After",
    )

    REQUEST_QUARANTINED = (
        2007,
        503,
        "several upstreams crashed while they ran this request",
        "change the request, or send it again after Retry-After",
    )

    UPSTREAMS_LIMITED = (
        2008,
        503,
        "the upstreams have reached their limits of requests per second",
        "send again after Retry-After",
    )

    UPSTREAMS_EVACUATED = (
        2009,
        503,
        "all upstreams that could run this are in evacuated zones",
        "send again after Retry-After",
    )

    REGIONS_WITHOUT_UPSTREAM = (
        2010,
        503,
        "no upstream is up in the regions that its route and team allow",
        "send again after Retry-After",
    )

    UPSTREAMS_RESTING = (
        2011,
        503,
        "all upstreams that could run this have asked for a rest",
        "send again after Retry-After",
    )

    UPSTREAMS_BRITTLE = (
        2012,
        503,
        "the upstreams are full and must not reject many requests",
        "send again after Retry-After",
    )

    STREAM_VERSION_UNKNOWN = (
        2013,
        503,
        "it is not known which software version began the stream",
        "send again after Retry-After, or begin the stream anew",
    )

    STREAM_VERSION_GONE = (
        2014,
        503,
        "no upstream of the software version that began the stream accepts requests",
        "send again after Retry-After, or begin the stream anew",
    )

    PART_QUARANTINED = (
        2015,
        503,
        "several upstreams crashed when they began to answer prompts with one part",
        "change that part of the prompt, or send it again after Retry-After",
    )

    CLIENT_MEMORY_FULL = (
        2016,
        503,
        "the instance holds as much for its clients as its memory allows",
        "send again after Retry-After",
    )

    UPSTREAM_UNREACHABLE = (3001, 503, "no upstream could be reached", "send again")
    UPSTREAM_BROKEN = (
        3002,
        502,
        "the upstream failed and the answer could not be resumed",
        "send again",
    )
    UPSTREAM_GARBAGE = (3003, 502, "the upstream's answer is not valid", "send again")
    UPSTREAM_REJECTED = (
        3004,
        502,
        "the upstream refused the request",
        "mend the request as the message says",
    )
    UPSTREAM_TIMEOUT = (3005, 504, "the upstream did not answer in time", "send again")
    RETRY_BUDGET = (3006, 503, "the retry budget is spent", "send again later")
    ORDER_FENCED = (
        3101,
        409,
        "the engine holds a newer fencing number",
        "nothing: a newer order is in force",
    )

    KEY_REQUIRED = (
        4001,
        428,
        "the route may not be repeated and needs an idempotency key",
        "send again with the key in this answer",
    )
    KEY_FOREIGN = (
        4002,
        428,
        "the idempotency key was not issued by this fleet",
        "send again with the key in this answer",
    )
    OUTCOME_UNKNOWN = (
        4003,
        504,
        "the key's owner cannot tell whether the call ran",
        "ask the service itself before sending a new call",
    )
    KEY_VOID = (
        4004,
        409,
        "the call under this key was given up and never run",
        "send again with a new key",
    )
    KEY_REUSED = (
        4005,
        422,
        "the key was used with another request",
        "use one key for one call",
    )
    KEY_EXPIRED = (
        4006,
        410,
        "the key is too old for its outcome to be known",
        "ask the service itself before sending a new call",
    )

    RECORD_INVALID = (5001, 422, "a record is not valid", "mend the named field")
    RECORD_SCHEMA = (
        5002,
        422,
        "a record's schema version is not known here",
        "upgrade the instances, or publish the older version beside it",
    )
    RECORD_REFERENCE = (
        5003,
        422,
        "a record names another that is not there",
        "publish both together",
    )
    RECORDS_OLDER = (
        5004,
        409,
        "the offered records are older than those in force",
        "publish under a higher number",
    )
    RECORDS_MALFORMED = (5005, 422, "the set of records is not valid JSON", "mend it")

    SETTING_UNKNOWN = (6001, 422, "the settings hold an unknown key", "remove it")
    SETTING_INVALID = (6002, 422, "a setting's value is not valid", "mend the value")
    SETTING_MISSING = (6003, 422, "a required setting is missing", "add it")
    SETTINGS_UNREADABLE = (6004, 422, "the settings cannot be read", "check the file")

    PEER_UNAUTHENTICATED = (7001, 403, "a peer lacks the secret", "check peer_secret")
    PEER_MESSAGE = (
        7002,
        400,
        "a peer sent a message that is not valid",
        "compare the two instances",
    )
    PLATFORM_UNREACHABLE = (
        7003,
        503,
        "the platform's service does not answer",
        "nothing: the records in force stay",
    )

    def __init__(self, number: int, status: int, meaning: str, action: str) -> None:
        self.number = number
        self.status = status
        self.meaning = meaning
        self.action = action


class BuckthornwallError(Exception):
    """Base class of all exceptions of the package.

    Parameters
    ----------
    code
        The numbered result code.
    detail
        What exactly is wrong, in a few words; the code's meaning if empty.
    """

    def __init__(self, code: ResultCode, detail: str = "") -> None:
        super().__init__(f"{code.number} {code.name}: {detail or code.meaning}")
        self.code = code
        self.detail = detail


class Refusal(BuckthornwallError):
    """A request is refused; this is the final answer to its client.

    Parameters
    ----------
    code, detail
        See `BuckthornwallError`.
    run
        Whether an upstream executed the request.
    retry_after_s
        Seconds after which the client may retry, if known.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        run: Executed = Executed.NO,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(code, detail)
        self.run = run
        self.retry_after_s = retry_after_s


class RecordError(BuckthornwallError):
    """A published record, or a set of records, is not accepted."""


class SettingsError(BuckthornwallError):
    """The settings of an instance are not accepted."""


class PeerError(BuckthornwallError):
    """Another instance, or the platform, violated the protocol."""


class UpstreamError(BuckthornwallError):
    """An attempt at an upstream failed.

    Parameters
    ----------
    code, detail
        See `BuckthornwallError`.
    sent
        Whether any byte of the request may have reached the upstream.
    """

    def __init__(self, code: ResultCode, detail: str = "", sent: bool = True) -> None:
        super().__init__(code, detail)
        self.sent = sent


class BuckthornwallWarning(UserWarning):
    """Base class of all warnings of the package."""


def render_table() -> str:
    """Return the Markdown page that lists all codes."""
    lines = [
        "# Result codes",
        "",
        "Generated by `python -m buckthornwall.codes`; a test compares them.",
        "",
        "| number | name | HTTP | meaning | what to do |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {code.number} | {code.name} | {code.status} | {code.meaning} "
        f"| {code.action} |"
        for code in ResultCode
    ]
    return "\n".join(lines) + "\n"
