"""The closed list of error kinds and the answer that each one gets.

Every failure that a caller can meet is one member of `ErrorKind`; the table
`ANSWERS` maps it to an HTTP status and to what the caller may conclude about
its request. Faults found at start-up are exceptions below `SycamorefallError`.
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
    """A settings file can't be used; the text says which key and why."""


class AddressInUse(SycamorefallError):
    """A listening address of the settings is taken or can't be bound."""


class ConfigurationRefused(SycamorefallError):
    """An operators' configuration text is not valid.

    Attributes:
        line: Number of the offending line, from 1; 0 if it has no one line.
        reason: What is wrong with it.
    """

    def __init__(self, line: int, reason: str):
        super().__init__(f"line {line}: {reason}")
        self.line = line
        self.reason = reason


class MessageRefused(SycamorefallError):
    """Bytes from another process are not a message of ours."""


class Ran(enum.Enum):
    """Whether the request was run by an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Everything that can be answered to a caller in place of its answer."""

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
    STOPPING = "stopping"
    INTERNAL = "internal"


class ErrorAnswer(msgspec.Struct, frozen=True):
    """How an error kind is put to the caller.

    Attributes:
        status: HTTP status code.
        ran: Whether the request was run.
        retry: Whether sending the request again can help.
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
    ErrorKind.QUARANTINED: ErrorAnswer(503, Ran.NO),
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
    ErrorKind.QUARANTINED: "Upstreams that ran this request crashed several "
    "times in a row; it is not sent to another one.",
    ErrorKind.STOPPING: "The router is stopping and takes nothing new.",
    ErrorKind.INTERNAL: "A fault in the router; its log has the traceback.",
}
"""What each kind means, as callers and the reference read it."""


class ErrorDetail(msgspec.Struct, frozen=True):
    """The fields of an error body.

    Attributes:
        kind: Value of the `ErrorKind`.
        ran: Value of the `Ran`.
        message: One sentence for people.
    """

    kind: str
    ran: str
    message: str


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of every failure, in the shape OpenAI clients expect."""

    error: ErrorDetail


def create_error_body(
    kind: ErrorKind, message: str = "", ran: Ran | None = None
) -> ErrorBody:
    """Builds the JSON body for an error kind.

    Args:
        kind: What went wrong.
        message: One sentence for people; the kind's meaning if empty.
        ran: Overrides the table where a case is known more exactly.

    Returns:
        The body, ready to be encoded.

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
