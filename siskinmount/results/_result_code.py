"""Numbered result codes, as shown to callers and operators and in logs."""

import enum


class ResultCode(enum.IntEnum):
    """Identifies the outcome of an operation.

    Codes are grouped by thousands: 1xxx are errors in a caller's request, 2xxx
    are rejections for lack of capacity, 3xxx concern upstreams, 4xxx concern
    the platform's services, 5xxx concern configuration and settings, 6xxx
    concern batch jobs, and 9xxx are faults of the program itself. A code's
    number is never reused. docs/RESULT-CODES.md describes each.
    """

    OK = 0

    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    HEADERS_TOO_LARGE = 1003
    REQUEST_TIMEOUT = 1004
    UNAUTHENTICATED = 1005
    FORBIDDEN = 1006
    NO_SUCH_ROUTE = 1007
    NO_SUCH_SERVICE = 1008
    INVALID_FIELD = 1009
    IDEMPOTENCY_KEY_REUSED = 1010
    METHOD_NOT_ALLOWED = 1011
    TOO_MANY_CONNECTIONS = 1012

    CALLER_OVER_LIMIT = 2001
    OVERLOADED = 2002
    LEAVING = 2003
    RETRY_BUDGET_EXHAUSTED = 2004
    BATCH_YIELDED = 2005

    NO_UPSTREAM = 3001
    UPSTREAM_UNREACHABLE = 3002
    UPSTREAM_LOST = 3003
    UPSTREAM_ERROR = 3004
    UPSTREAM_SILENT = 3005
    DEADLINE_EXCEEDED = 3006
    REQUEST_CONVICTED = 3007
    OUTCOME_UNKNOWN = 3008
    NO_SUCH_REQUEST = 3009
    STALE_ORDER = 3010
    STALE_INCARNATION = 3011
    REQUEST_CANCELLED = 3012
    REQUEST_IN_PROGRESS = 3013
    REQUEST_SUSPECT = 3014
    PROMPT_PART_QUARANTINED = 3015
    UPSTREAM_RATE_LIMITED = 3016

    LOG_UNAVAILABLE = 4001
    LOG_APPEND_UNKNOWN = 4002
    LOG_RECORD_EXPIRED = 4003
    LOG_RECORD_INVALID = 4004
    WEIGHT_STORE_UNAVAILABLE = 4005
    VM_LIST_UNAVAILABLE = 4006
    NOT_OWNER = 4007
    OWNER_UNKNOWN = 4008
    OWNERSHIP_LOST = 4009

    DOCUMENT_INVALID = 5001
    SETTINGS_INVALID = 5002
    PUBLISH_LOST_RACE = 5003
    NO_CONFIGURATION = 5004
    USAGE = 5005

    NO_SUCH_JOB = 6001
    JOB_CANCELLED = 6002
    ITEM_FAILED = 6003
    ITEM_NOT_READY = 6004
    JOB_TOO_LARGE = 6005
    ITEM_INVALID = 6006
    BACKLOG_FULL = 6007

    INVARIANT_BROKEN = 9001
    INTERNAL = 9002
    CHILD_RESTARTED = 9003
