"""Collects the records of one request from the logs of several processes."""

__all__ = [
    "Explanation",
    "LogRecord",
    "explain_request",
    "format_explanation",
]

from collections.abc import Iterable, Iterator, Sequence
import dataclasses
import itertools
import pathlib

import msgspec

from sycamorefall import errors

CONTEXT_SECONDS = 3.0
"""Seconds before a request from which process-wide records are included.

This is the longest time after which the loss of a dependency still affects a
request.
"""

_REQUEST = "request"
_HIDDEN = frozenset(
    {
        "action_status",
        "action_type",
        "level",
        "message_type",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)


class _Record(msgspec.Struct):
    """Fields common to all log records."""

    timestamp: float
    task_uuid: str
    message_type: str = ""
    action_type: str = ""
    action_status: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class LogRecord:
    """One record of a log.

    Attributes:
        log: File name of the log.
        at: Time of the record in seconds since 1970, by its process's clock.
        kind: Kind of the record.
        fields: Further fields of the record, formatted as text.
        task: UUID of the eliot task that the record belongs to.
        of_request: Whether the record is about the explained request; if not,
            it is about the whole process.
    """

    log: str
    at: float
    kind: str
    fields: dict[str, str]
    task: str
    of_request: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Explanation:
    """What the logs contain about a request.

    Attributes:
        request_id: Id or fingerprint that was searched for.
        records: Records of the request and, from the same time, process-wide
            records of the processes that handled it.
        causes: How the request ended and why; one sentence for each task with
            the id or fingerprint.
        missing: Records that the logs lack.
    """

    request_id: str
    records: tuple[LogRecord, ...]
    causes: tuple[str, ...]
    missing: tuple[str, ...]


def explain_request(request_id: str, paths: Sequence[str]) -> Explanation:
    """Collects and orders the log records about a request.

    Args:
        request_id: Request id that the caller sent or received, of any attempt
            at a stream that it took up; or fingerprint of requests that lost
            their upstream connection or are quarantined.
        paths: Paths of the logs of one or more processes.

    Returns:
        The records of the request, and the process-wide records from
        `CONTEXT_SECONDS` before the request until its end.

    Raises:
        errors.SettingsRefused: A log can't be read, or none contains the
            request.
    """
    found: list[LogRecord] = []
    missing: list[str] = []
    causes: list[str] = []
    logs = [list(_read_records(path)) for path in paths]
    ids = _list_attempt_ids(itertools.chain.from_iterable(logs), request_id)
    for records in logs:
        tasks = {
            record.task
            for record in records
            if ids
            & {
                record.fields.get("request_id"),
                record.fields.get("fingerprint"),
            }
        }
        if not tasks:
            continue
        found += _select_records(records, tasks)
        missing += _list_missing_records(records, tasks)
        causes += [_explain_task(records, task) for task in sorted(tasks)]
    if not found:
        raise errors.SettingsRefused(
            f"no log has the request {request_id!r}; it reached another "
            "process, or its records were dropped (see log.dropped)"
        )
    found.sort(key=lambda record: record.at)
    return Explanation(request_id, tuple(found), tuple(causes), tuple(missing))


def _list_attempt_ids(
    records: Iterable[LogRecord], request_id: str
) -> set[str]:
    """Lists the ids of all attempts at the stream that a request is for.

    Each attempt that goes on with a stream names the one that brought its first
    event, so that one names them all.
    """
    first_by_id = {
        record.fields["request_id"]: record.fields["resumes"]
        for record in records
        if record.fields.get("resumes") and "request_id" in record.fields
    }
    first = first_by_id.get(request_id, request_id)
    others = {one for one, other in first_by_id.items() if other == first}
    return {request_id, first, *others}


def _read_records(path: str) -> Iterator[LogRecord]:
    """Reads the records of a log.

    Text before a record, such as a log collector's prefix, and lines without a
    record are skipped.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsRefused(f"{path}: {error.strerror}") from error
    for text in data.splitlines():
        start = text.find(b"{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
            common = msgspec.convert(fields, _Record)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        action = f"{common.action_type} {common.action_status}".strip()
        kind = common.message_type or action
        details = {
            name: _format_value(value)
            for name, value in fields.items()
            if name not in _HIDDEN
        }
        yield LogRecord(
            pathlib.Path(path).name,
            common.timestamp,
            kind,
            details,
            common.task_uuid,
        )


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()


def _select_records(
    records: Sequence[LogRecord], tasks: set[str]
) -> list[LogRecord]:
    """Selects the records of tasks and the process-wide records around them."""
    task_records = [record for record in records if record.task in tasks]
    first, last = task_records[0].at - CONTEXT_SECONDS, task_records[-1].at
    around = [
        record
        for record in records
        if record.task not in tasks
        and first <= record.at <= last
        and not record.kind.startswith(_REQUEST)
    ]
    return [
        dataclasses.replace(record, of_request=True) for record in task_records
    ] + around


def _list_missing_records(
    records: Sequence[LogRecord], tasks: set[str]
) -> Iterator[str]:
    name = records[0].log
    for task in sorted(tasks):
        kinds = [record.kind for record in records if record.task == task]
        if f"{_REQUEST} started" not in kinds:
            yield f"{name}: the record of the request's arrival"
        if f"{_REQUEST} succeeded" not in kinds:
            yield (
                f"{name}: the record of its end; the process ended, or the "
                "request was still in progress when the log was copied"
            )
    dropped = [record for record in records if record.kind == "log.dropped"]
    if dropped:
        count = sum(
            int(record.fields.get("records", "0")) for record in dropped
        )
        yield f"{name}: {count} records dropped since the log reader was slow"


_KINDS_BY_VALUE = {kind.value: kind for kind in errors.ErrorKind}

_RESULT_TEXTS = {
    "no_upstream": "refused, it has not run",
    "not_ready": (
        "refused, it has not run: the router could not prove that its "
        "configuration is the newest"
    ),
    "outcome_unknown": (
        "its upstream broke off; whether it ran, only the upstream knows"
    ),
    "retries_exhausted": "all upstreams that it may be sent to failed",
    "deadline_exceeded": "its time was over before an answer came",
    "broken_off": "its answer was broken off after it had begun",
    "cancelled": "its caller disconnected before the response was complete",
    "dropped": "not begun: its caller had left when it was read",
    "quarantined": (
        "refused, it has not run: upstreams that ran it crashed, see "
        "`quarantine.added`"
    ),
}


_CUT_TEXTS = {
    "inside_event": "; its upstream's response ended inside an event",
    "no_event": "; its upstream's response ended before its first event",
}


def _explain_task(records: Sequence[LogRecord], task: str) -> str:
    task_records = [record for record in records if record.task == task]
    sends = [
        record for record in task_records if record.kind == "request.handed_out"
    ]
    merged: dict[str, str] = dict(
        itertools.chain.from_iterable(
            record.fields.items() for record in task_records
        )
    )
    result = merged.get("result", "")
    receiver = sends[-1].fields.get("sidecar", "?") if sends else ""
    prefix = f"{task_records[0].log}: "
    if result == "answered":
        return prefix + _explain_response(merged, len(sends))
    end = _RESULT_TEXTS.get(result) or _describe_result(result)
    sent = f"; sent {len(sends)} times, last to {receiver}" if sends else ""
    if "part" in merged:
        end = (
            "refused, it has not run: upstreams crashed when they began to "
            f"answer prompts with its part {merged['part']}, see "
            "`quarantine.added`"
        )
    cut = _CUT_TEXTS.get(merged.get("cut", ""), "")
    return prefix + end + cut + _explain_refusal(merged) + sent


def _describe_result(result: str) -> str:
    """Describes the result of a request that ended with an `ErrorKind`."""
    kind = _KINDS_BY_VALUE.get(result)
    if kind is None:
        return result or "no end is recorded"
    return f"{result}: {errors.MEANINGS[kind]}"


def _explain_response(merged: dict[str, str], sends: int) -> str:
    first = merged.get("first_seconds", "null")
    target = merged.get("target", "null")
    text = f"answered with status {merged.get('status', '?')}"
    if "null" not in (first, target) and float(first) > float(target):
        text += f", late: it began after {first} s, {target} s were allowed"
        if "begins_in" in merged:
            text += f" (estimated when it was sent: {merged['begins_in']} s)"
    return text + (f", on attempt {sends}" if sends > 1 else "")


def _explain_refusal(merged: dict[str, str]) -> str:
    if "obstacles" not in merged:
        return ""
    counts = msgspec.json.decode(merged["obstacles"], type=dict[str, int])
    upstreams = ", ".join(f"{count} {name}" for name, count in counts.items())
    return (
        f": upstreams: {upstreams or 'none listed'}; cost units received: its "
        f"team {merged.get('received')}, the best served team "
        f"{merged.get('most')}, the least served team that waits at another "
        f"router {merged.get('floor')}; loads of {merged.get('routers')} "
        f"routers counted, configuration {merged.get('configuration')}, "
        f"upstream list last confirmed {merged.get('listing_age')} s before"
    )


def format_explanation(explanation: Explanation) -> str:
    """Formats an explanation as text, with times since the first record."""
    first = min(record.at for record in explanation.records)
    parts = [f"request {explanation.request_id}"]
    parts += [
        _format_record(record, first, record.of_request)
        for record in explanation.records
    ]
    parts += [f"cause: {cause}" for cause in explanation.causes]
    parts += [f"missing: {gap}" for gap in explanation.missing]
    return "\n".join(parts)


def _format_record(record: LogRecord, first: float, of_request: bool) -> str:
    details = " ".join(f"{name}={text}" for name, text in record.fields.items())
    mark = "*" if of_request else " "
    return (
        f"{mark} {record.at - first:8.3f} s {record.log} {record.kind} "
        f"{details}"
    )
