"""Error kinds of responses to callers, and the package's exceptions.

Each error response to a caller has one `ErrorKind`; the table `ANSWERS` maps
it to an HTTP status and to whether the request was run. Errors in settings,
configuration, command input and messages are subclasses of
`SycamorefallError`.
"""

__all__ = [
    "ANSWERS",
    "MEANINGS",
    "AddressInUse",
    "ConfigurationRefused",
    "ErrorAnswer",
    "ErrorBody",
    "ErrorDetail",
    "ErrorKind",
    "MessageRefused",
    "Ran",
    "SettingsRefused",
    "SycamorefallError",
    "create_error_body",
]

import enum

import msgspec


class SycamorefallError(Exception):
    """Base class of all exceptions raised by the package."""


class SettingsRefused(SycamorefallError):
    """A settings file, or another input or address of a command, can't be used.

    The message names the file, key or address and the reason.
    """


class AddressInUse(SycamorefallError):
    """A listening address from the settings can't be bound.

    Usually another process is listening there.
    """


class ConfigurationRefused(SycamorefallError):
    """An operators' configuration text is not valid.

    Attributes:
        line: Number of the invalid line, from 1; 0 if the error isn't in a
            single line.
        reason: Why the text is not valid.
    """

    def __init__(self, line: int, reason: str):
        super().__init__(f"line {line}: {reason}")
        self.line = line
        self.reason = reason


class MessageRefused(SycamorefallError):
    """Data from another process is not a valid message."""


class Ran(enum.Enum):
    """Whether an upstream ran the request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Reasons for which a caller gets an error response from this process."""

    MALFORMED_REQUEST = "malformed_request"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_SERVICE = "unknown_service"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    REQUEST_TIMEOUT = "request_timeout"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_WAITING = "too_many_waiting"
    WAIT_EXCEEDS_DEADLINE = "wait_exceeds_deadline"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    DEPENDENCY_UNAVAILABLE = "dependency_unavailable"
    UNDECLARED_DEPENDENCY = "undeclared_dependency"
    RETRIES_EXHAUSTED = "retries_exhausted"
    DUPLICATE_REQUEST = "duplicate_request"
    ANSWER_INCOMPLETE = "answer_incomplete"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    STREAM_UNKNOWN = "stream_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    STOPPING = "stopping"
    INTERNAL = "internal"


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Response to a caller for one error kind.

    Attributes:
        status: HTTP status code.
        ran: Whether an upstream ran the request.
        retry: Whether a retry can succeed; the response then has `Retry-After`.
    """

    status: int
    ran: Ran
    retry: bool = False


ANSWERS = {
    ErrorKind.MALFORMED_REQUEST: ErrorAnswer(400, Ran.NO),
    ErrorKind.UNKNOWN_TEAM: ErrorAnswer(401, Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, Ran.NO),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(405, Ran.NO),
    ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(408, Ran.NO),
    ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(431, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, Ran.NO),
    ErrorKind.TOO_MANY_WAITING: ErrorAnswer(429, Ran.NO, retry=True),
    ErrorKind.WAIT_EXCEEDS_DEADLINE: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, Ran.NO, retry=True),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.DEPENDENCY_UNAVAILABLE: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.UNDECLARED_DEPENDENCY: ErrorAnswer(403, Ran.NO),
    ErrorKind.RETRIES_EXHAUSTED: ErrorAnswer(502, Ran.UNKNOWN, retry=True),
    ErrorKind.DUPLICATE_REQUEST: ErrorAnswer(409, Ran.UNKNOWN),
    ErrorKind.ANSWER_INCOMPLETE: ErrorAnswer(502, Ran.YES),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(502, Ran.UNKNOWN),
    ErrorKind.NOT_READY: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.OVERLOADED: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.QUARANTINED: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.STREAM_NOT_RESUMABLE: ErrorAnswer(400, Ran.NO),
    ErrorKind.STREAM_UNKNOWN: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.STREAM_VERSION_GONE: ErrorAnswer(503, Ran.NO),
    ErrorKind.STOPPING: ErrorAnswer(503, Ran.NO, retry=True),
    ErrorKind.INTERNAL: ErrorAnswer(500, Ran.UNKNOWN),
}


MEANINGS = {
    ErrorKind.MALFORMED_REQUEST: "The request is not valid HTTP, or a header "
    "or the body is not what the service takes.",
    ErrorKind.UNKNOWN_TEAM: "The bearer key is missing or belongs to no team.",
    ErrorKind.UNKNOWN_SERVICE: "No service has this name, or nothing is served "
    "at this path.",
    ErrorKind.METHOD_NOT_ALLOWED: "The path does not take this HTTP method.",
    ErrorKind.REQUEST_TIMEOUT: "The request did not come in whole in time.",
    ErrorKind.HEADERS_TOO_LARGE: "The request's head is larger than allowed.",
    ErrorKind.BODY_TOO_LARGE: "The request's body is larger than allowed.",
    ErrorKind.TOO_MANY_WAITING: "Too many requests wait already.",
    ErrorKind.WAIT_EXCEEDS_DEADLINE: "The estimated wait is longer than the "
    "request's deadline.",
    ErrorKind.DEADLINE_EXCEEDED: "The deadline passed before the answer.",
    ErrorKind.NO_UPSTREAM: "No upstream of the service can be reached.",
    ErrorKind.DEPENDENCY_UNAVAILABLE: "A service that this one depends on has "
    "no upstream.",
    ErrorKind.UNDECLARED_DEPENDENCY: "The call was made on behalf of a request "
    "to a service that does not list this one in its depends_on.",
    ErrorKind.RETRIES_EXHAUSTED: "All allowed attempts failed; some may have "
    "run.",
    ErrorKind.DUPLICATE_REQUEST: "A request with this idempotency key was "
    "taken before.",
    ErrorKind.ANSWER_INCOMPLETE: "The answer broke off after it had begun.",
    ErrorKind.OUTCOME_UNKNOWN: "The request may have run, may not be repeated, "
    "and nobody can tell.",
    ErrorKind.NOT_READY: "The router has no configuration yet.",
    ErrorKind.OVERLOADED: "The router is given more than it can do; another "
    "one may have time.",
    ErrorKind.QUARANTINED: "Upstreams that ran this request, or others with a "
    "part of its prompt, crashed several times in a row; it is not sent to "
    "another one. With Retry-After the part may prove to be sound by then.",
    ErrorKind.STREAM_NOT_RESUMABLE: "The request goes on with a stream, which "
    "its route doesn't allow.",
    ErrorKind.STREAM_UNKNOWN: "The request goes on with a stream, and this "
    "router doesn't know which software version began it. Without Retry-After "
    "no router does; only a new stream can be begun.",
    ErrorKind.STREAM_VERSION_GONE: "The request goes on with a stream, and no "
    "upstream has the software version that began it; only a new stream can be "
    "begun.",
    ErrorKind.STOPPING: "The router is stopping and takes nothing new.",
    ErrorKind.INTERNAL: "A fault in the router; its log has the traceback.",
}
"""Descriptions of the kinds in responses to callers and in the reference."""


class ErrorDetail(msgspec.Struct, frozen=True):
    """The fields of an error body.

    Attributes:
        kind: Value of an `ErrorKind`.
        ran: Value of a `Ran`.
        message: Human-readable description, one sentence.
    """

    kind: str
    ran: str
    message: str


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of all error responses, in the format of the OpenAI API."""

    error: ErrorDetail


def create_error_body(
    kind: ErrorKind, message: str = "", ran: Ran | None = None
) -> ErrorBody:
    """Creates the JSON body of an error response.

    Args:
        kind: Kind of the error.
        message: Human-readable description, one sentence; if empty, the one in
            `MEANINGS`.
        ran: Whether an upstream ran the request, if that is known more
            precisely than the entry in `ANSWERS` says.

    Returns:
        The body, not yet encoded.

    Example:
        >>> create_error_body(ErrorKind.UNKNOWN_TEAM).error.ran
        'no'
    """
    return ErrorBody(
        error=ErrorDetail(
            kind=kind.value,
            ran=(ran or ANSWERS[kind].ran).value,
            message=message or MEANINGS[kind],
        )
    )
