"""The closed set of error kinds and the HTTP response of each."""

import enum

import attrs

from camphorspread.request.reasons import Reason

__all__ = ["ERROR_RESPONSES", "ErrorKind", "ErrorResponse", "Outcome", "Refusal"]


class Outcome(enum.Enum):
    """What is known about the execution of a request that ended with an error response."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


class ErrorKind(enum.Enum):
    """Every reason for which a request can end without a backend server's response."""

    UNKNOWN_SERVICE = "unknown_service"
    MALFORMED_REQUEST = "malformed_request"
    HEADER_TOO_LARGE = "header_too_large"
    HEAD_STALLED = "head_stalled"
    BODY_TOO_LARGE = "body_too_large"
    NO_BACKEND_SERVER = "no_backend_server"
    OVERLOADED = "overloaded"
    REGION_LIMIT = "region_limit"
    SHIFT_CAP = "shift_cap"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED_IN_QUEUE = "deadline_passed_in_queue"
    ONCE_KEY_REQUIRED = "once_key_required"
    ONCE_KEY_EXPIRED = "once_key_expired"
    ONCE_HOME_UNREACHABLE = "once_home_unreachable"
    ONCE_IN_PROGRESS = "once_in_progress"
    ONCE_OUTCOME_UNKNOWN = "once_outcome_unknown"
    ONCE_KEY_REUSED = "once_key_reused"
    LEDGER_FULL = "ledger_full"
    RESPONSE_NOT_KEPT = "response_not_kept"
    BODY_LIMIT_PASSED = "body_limit_passed"
    BACKEND_FAILED = "backend_failed"
    RESPONSE_INCOMPLETE = "response_incomplete"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UPLOAD_STALLED = "upload_stalled"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    ACCESS_DENIED = "access_denied"
    KEY_REFUSED = "key_refused"
    QUOTA_EXCEEDED = "quota_exceeded"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


@attrs.frozen
class ErrorResponse:
    """Status and outcome of an error kind.

    Attributes:
        status: HTTP status code.
        outcome: Whether the request ran, over all attempts with the same once key.
    """

    status: int
    outcome: Outcome


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Outcome.NOT_RUN),
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(400, Outcome.NOT_RUN),
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, Outcome.NOT_RUN),
    ErrorKind.HEAD_STALLED: ErrorResponse(408, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, Outcome.NOT_RUN),
    ErrorKind.NO_BACKEND_SERVER: ErrorResponse(503, Outcome.NOT_RUN),
    ErrorKind.OVERLOADED: ErrorResponse(503, Outcome.NOT_RUN),
    ErrorKind.REGION_LIMIT: ErrorResponse(503, Outcome.NOT_RUN),
    ErrorKind.SHIFT_CAP: ErrorResponse(503, Outcome.NOT_RUN),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorResponse(504, Outcome.NOT_RUN),
    ErrorKind.DEADLINE_PASSED_IN_QUEUE: ErrorResponse(504, Outcome.NOT_RUN),
    ErrorKind.ONCE_KEY_REQUIRED: ErrorResponse(428, Outcome.NOT_RUN),
    ErrorKind.ONCE_KEY_EXPIRED: ErrorResponse(410, Outcome.UNKNOWN),
    ErrorKind.ONCE_HOME_UNREACHABLE: ErrorResponse(503, Outcome.UNKNOWN),
    ErrorKind.ONCE_IN_PROGRESS: ErrorResponse(409, Outcome.UNKNOWN),
    ErrorKind.ONCE_OUTCOME_UNKNOWN: ErrorResponse(502, Outcome.UNKNOWN),
    # This request didn't run, but the first one with the same key may have.
    ErrorKind.ONCE_KEY_REUSED: ErrorResponse(422, Outcome.UNKNOWN),
    ErrorKind.LEDGER_FULL: ErrorResponse(503, Outcome.NOT_RUN),
    ErrorKind.RESPONSE_NOT_KEPT: ErrorResponse(409, Outcome.COMPLETED),
    ErrorKind.BODY_LIMIT_PASSED: ErrorResponse(413, Outcome.UNKNOWN),
    ErrorKind.BACKEND_FAILED: ErrorResponse(502, Outcome.UNKNOWN),
    ErrorKind.RESPONSE_INCOMPLETE: ErrorResponse(502, Outcome.UNKNOWN),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, Outcome.UNKNOWN),
    ErrorKind.UPLOAD_STALLED: ErrorResponse(408, Outcome.UNKNOWN),
    ErrorKind.LEAVING: ErrorResponse(503, Outcome.NOT_RUN),
    ErrorKind.NOT_READY: ErrorResponse(503, Outcome.NOT_RUN),
    ErrorKind.ACCESS_DENIED: ErrorResponse(403, Outcome.NOT_RUN),
    ErrorKind.KEY_REFUSED: ErrorResponse(401, Outcome.NOT_RUN),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, Outcome.NOT_RUN),
    ErrorKind.NOT_FOUND: ErrorResponse(404, Outcome.NOT_RUN),
    ErrorKind.INTERNAL: ErrorResponse(500, Outcome.UNKNOWN),
}


@attrs.frozen
class Refusal:
    """Why a request gets an error response; the failure type of all request decisions.

    Attributes:
        kind: Error kind, which determines status and outcome.
        message: One sentence for the caller.
        reason: Why the decision was made, for traces, logs and `explain`.

    Examples:
        >>> Refusal(ErrorKind.LEAVING, "this VM is leaving").response.status
        503
    """

    kind: ErrorKind
    message: str
    reason: Reason = Reason.REFUSED

    @property
    def response(self) -> ErrorResponse:
        """Status and outcome of the error kind."""
        return ERROR_RESPONSES[self.kind]
