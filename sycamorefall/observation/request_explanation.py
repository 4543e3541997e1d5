"""What several processes' logs tell of one request, in order."""

__all__ = [
    "Explanation",
    "LogRecord",
    "explain_request",
    "format_explanation",
]

from collections.abc import Iterator, Sequence
import dataclasses
import itertools
import pathlib

import msgspec

from sycamorefall import errors

CONTEXT_SECONDS = 3.0
"""Seconds before a request whose process-wide records are shown with it: the
longest time after which a lost dependency still decides over it."""

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
    """The fields that all log records share."""

    timestamp: float
    task_uuid: str
    message_type: str = ""
    action_type: str = ""
    action_status: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class LogRecord:
    """One record of a log.

    Attributes:
        log: Name of the log.
        at: Time of day, in seconds, by the clock of its process.
        kind: What happened.
        fields: Its details, as text.
        task: The task that it belongs to.
        of_request: Whether it belongs to the request, not to the process.
    """

    log: str
    at: float
    kind: str
    fields: dict[str, str]
    task: str
    of_request: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Explanation:
    """What the logs tell of a request.

    Attributes:
        request_id: The caller's id.
        lines: Records of the request, and of its processes meanwhile.
        causes: What follows, one sentence for each process that had it.
        missing: What the logs lack.
    """

    request_id: str
    lines: tuple[LogRecord, ...]
    causes: tuple[str, ...]
    missing: tuple[str, ...]


def explain_request(request_id: str, paths: Sequence[str]) -> Explanation:
    """Collects and orders what logs tell of a request.

    Args:
        request_id: The id that the caller sent, or got; or the fingerprint of
            requests that lost their upstream connection or are quarantined.
        paths: Logs of one or more processes, as they wrote them.

    Returns:
        The records of the request and those that concern the whole process
        shortly before it and meanwhile.

    Raises:
        errors.SettingsRefused: A log can't be read, or none has the request.
    """
    found: list[LogRecord] = []
    missing: list[str] = []
    causes: list[str] = []
    for path in paths:
        lines = list(_read_lines(path))
        tasks = {
            line.task
            for line in lines
            if request_id
            in (line.fields.get("request_id"), line.fields.get("fingerprint"))
        }
        if not tasks:
            continue
        found += _select_lines(lines, tasks)
        missing += _find_gaps(lines, tasks)
        causes += [_explain_task(lines, task) for task in sorted(tasks)]
    if not found:
        raise errors.SettingsRefused(
            f"no log has the request {request_id!r}; it reached another "
            "process, or its record was dropped (see log.dropped)"
        )
    found.sort(key=lambda line: line.at)
    return Explanation(request_id, tuple(found), tuple(causes), tuple(missing))


def _read_lines(path: str) -> Iterator[LogRecord]:
    """Reads a log; what stands before a record, and other text, is skipped."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as fault:
        raise errors.SettingsRefused(f"{path}: {fault.strerror}") from fault
    for text in data.splitlines():
        start = text.find(b"{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
            record = msgspec.convert(fields, _Record)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        action = f"{record.action_type} {record.action_status}".strip()
        kind = record.message_type or action
        details = {
            name: _format_value(value)
            for name, value in fields.items()
            if name not in _HIDDEN
        }
        yield LogRecord(
            pathlib.Path(path).name,
            record.timestamp,
            kind,
            details,
            record.task_uuid,
        )


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()


def _select_lines(
    lines: Sequence[LogRecord], tasks: set[str]
) -> list[LogRecord]:
    """Selects the lines of tasks, and of the process around them."""
    own = [line for line in lines if line.task in tasks]
    first, last = own[0].at - CONTEXT_SECONDS, own[-1].at
    around = [
        line
        for line in lines
        if line.task not in tasks
        and first <= line.at <= last
        and not line.kind.startswith(_REQUEST)
    ]
    return [dataclasses.replace(line, of_request=True) for line in own] + around


def _find_gaps(lines: Sequence[LogRecord], tasks: set[str]) -> Iterator[str]:
    name = lines[0].log
    for task in sorted(tasks):
        kinds = [line.kind for line in lines if line.task == task]
        if f"{_REQUEST} started" not in kinds:
            yield f"{name}: the record of the request's arrival"
        if f"{_REQUEST} succeeded" not in kinds:
            yield (
                f"{name}: the record of its end; the process ended, or still "
                "had it when the log was taken"
            )
    dropped = [line for line in lines if line.kind == "log.dropped"]
    if dropped:
        count = sum(int(line.fields.get("records", "0")) for line in dropped)
        yield f"{name}: {count} records that its reader was too slow for"


_KINDS = {kind.value: kind for kind in errors.ErrorKind}

_ENDS = {
    "no_upstream": "refused, it has not run",
    "not_ready": (
        "refused, it has not run: the router could not prove that its "
        "configuration is the newest"
    ),
    "outcome_unknown": (
        "its upstream broke off; whether it ran, only the upstream knows"
    ),
    "retries_exhausted": "all upstreams that it may be sent to failed it",
    "deadline_exceeded": "its time was over before an answer came",
    "broken_off": "its answer was broken off after it had begun",
    "cancelled": "its caller left before the answer was whole",
    "dropped": "not begun: its caller had left when it was read",
    "quarantined": (
        "refused, it has not run: upstreams that ran it crashed, see "
        "`quarantine.added`"
    ),
}


def _explain_task(lines: Sequence[LogRecord], task: str) -> str:
    own = [line for line in lines if line.task == task]
    sends = [line for line in own if line.kind == "request.handed_out"]
    merged: dict[str, str] = dict(
        itertools.chain.from_iterable(line.fields.items() for line in own)
    )
    result = merged.get("result", "")
    at = sends[-1].fields.get("sidecar", "?") if sends else ""
    where = f"{own[0].log}: "
    if result == "answered":
        return where + _explain_answer(merged, len(sends))
    end = _ENDS.get(result) or _describe_kind(result)
    sent = f"; sent {len(sends)} times, last to {at}" if sends else ""
    return where + end + _explain_refusal(merged) + sent


def _describe_kind(result: str) -> str:
    """Describes an end that callers read a sentence for, or none."""
    kind = _KINDS.get(result)
    if kind is None:
        return result or "no end is recorded"
    return f"{result}: {errors.MEANINGS[kind]}"


def _explain_answer(merged: dict[str, str], sends: int) -> str:
    first = merged.get("first_seconds", "null")
    target = merged.get("target", "null")
    text = f"answered with status {merged.get('status', '?')}"
    if "null" not in (first, target) and float(first) > float(target):
        text += f", late: it began after {first} s, {target} s were allowed"
        if "begins_in" in merged:
            text += f" (reckoned when it was sent: {merged['begins_in']} s)"
    return text + (f", by its upstream number {sends}" if sends > 1 else "")


def _explain_refusal(merged: dict[str, str]) -> str:
    if "obstacles" not in merged:
        return ""
    counts = msgspec.json.decode(merged["obstacles"], type=dict[str, int])
    upstreams = ", ".join(f"{count} {name}" for name, count in counts.items())
    return (
        f": upstreams: {upstreams or 'none listed'}; its team received "
        f"{merged.get('received')}, the best served one {merged.get('most')}, "
        "the least that waited elsewhere "
        f"{merged.get('floor')}; {merged.get('routers')} routers heard, "
        f"configuration {merged.get('configuration')}, upstreams listed "
        f"{merged.get('listing_age')} s before"
    )


def format_explanation(explanation: Explanation) -> str:
    """Formats an explanation for a terminal."""
    first = min(line.at for line in explanation.lines)
    parts = [f"request {explanation.request_id}"]
    parts += [
        _format_line(line, first, line.of_request) for line in explanation.lines
    ]
    parts += [f"cause: {cause}" for cause in explanation.causes]
    parts += [f"missing: {gap}" for gap in explanation.missing]
    return "\n".join(parts)


def _format_line(line: LogRecord, first: float, of_request: bool) -> str:
    details = " ".join(f"{name}={text}" for name, text in line.fields.items())
    mark = "*" if of_request else " "
    return f"{mark} {line.at - first:8.3f} s {line.log} {line.kind} {details}"
