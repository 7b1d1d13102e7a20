"""Names of the platform's headers, in lower case as the HTTP parser returns them."""

PREFIX = b"x-buckthornwall-"

REQUEST_ID = PREFIX + b"attempt-id"
# Milliseconds that the caller waits, or that an upstream may take.
DEADLINE = PREFIX + b"deadline-ms"
# The API key of a team, without a scheme.
KEY = PREFIX + b"key"
TEAM = PREFIX + b"tenant"
EXPECT_INSTANCE = PREFIX + b"expect-instance"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = PREFIX + b"token-count"
# ID:TOKENS of each prompt segment in order; the last belongs to the request alone.
PROMPT_SEGMENTS = PREFIX + b"prompt-prefix"
MODEL = PREFIX + b"model"
# From 0 (first) to 9 (last).
PRIORITY = PREFIX + b"request-priority"
SIGNATURE = PREFIX + b"response-seal"
NOT_RUN = PREFIX + b"not-executed"
# Running requests, waiting requests and slots, separated by commas.
LOAD = PREFIX + b"engine-load"
INSTANCE = PREFIX + b"instance-id"
# Requests per second, a decimal number, that an upstream accepts from all instances.
RATE_LIMIT = b"server-limit"
# Rejections a second, a decimal number, that an upstream survives for a time.
BRITTLE = b"server-brittle"
# "1" from an upstream that is leaving.
LEAVING = b"server-leaving"
# Seconds, a decimal number, for which an upstream wants no request from this instance.
RETRY_AFTER = b"retry-after"
# In each answer of the store, how often it has returned from an older copy.
STORE_ERA = b"store-era"
LAST_EVENT_ID = b"last-event-id"
# Id of the request that brought the first event of the stream that is continued.
RESUMES = b"resumes"
# Between instances only: marks the response to a request from a peer, and the refusal
# by the peer itself, also in trailers, as CODE RUNS DETAIL.
RELAYED = PREFIX + b"relayed"
RELAY_REFUSAL = PREFIX + b"relay-refusal"
# Between instances only: software version that sends a stream, percent-encoded.
RELAY_VERSION = PREFIX + b"relay-version"
# IP:port of an engine from which the missing prompt segments are copied.
COPY_FROM = b"kv-fetch"

# Headers that only the router may send to an upstream; those of callers are dropped.
ROUTER_ONLY = frozenset(
    {
        TEAM,
        KEY,
        DEADLINE,
        EXPECT_INSTANCE,
        PRIORITY,
        PREFIX + b"expect-version",
        PREFIX + b"hold",
        PREFIX + b"pin-ms",
        PREFIX + b"kv-backup",
        b"kv-from",
        COPY_FROM,
        LAST_EVENT_ID,
    }
)

# Headers of responses between instances; those of upstreams are dropped.
RELAY_ONLY = frozenset({RELAYED, RELAY_REFUSAL, RELAY_VERSION})

# Hop-by-hop headers, for a single connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
