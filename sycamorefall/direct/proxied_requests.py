"""A caller's request in progress, and the fields of its log records."""

__all__ = [
    "MAX_LOGGED_TEXT",
    "ProxiedRequest",
    "list_fields",
    "list_framing",
    "list_logged_parts",
    "list_quarantined_part",
    "list_resume_fields",
    "record_resumption",
]

import dataclasses

from sycamorefall import observation, transport
from sycamorefall.direct import (
    dialects,
    effects,
    fingerprints,
    resumption,
    streams,
)
from sycamorefall.direct import state as state_module

MAX_LOGGED_TEXT = 64
"""Characters of a text of callers or upstreams that a log record holds."""

MAX_LOGGED_PARTS = 8
"""Parts of a prompt that a log record holds."""


class ProxiedRequest:
    """A caller's request and the forwarding of its response.

    Attributes:
        call: The caller's HTTP request.
        streamed: Whether events are forwarded as they arrive.
        splitter: Splits the response into events to forward.
        exchange: HTTP exchange of the current attempt; None between attempts.
        ended_at_close: Whether the last response had neither a length nor
            chunks and ended with its connection.
        head: Response head of the current attempt; None until it was received.
        carries_events: Whether the response of the current attempt is an event
            stream.
        first_head: Head of the first successful response, which the caller
            gets.
        buffered: Parts of a response that is forwarded only when complete.
        buffered_bytes: Their size.
        trace: Log and metric data of the request.
        request: The request as the decision logic knows it; None if it was
            refused at once.
        incoming: The request as received.
    """

    __slots__ = (
        "call",
        "carries_events",
        "incoming",
        "request",
        "ended_at_close",
        "exchange",
        "first_head",
        "head",
        "buffered",
        "buffered_bytes",
        "splitter",
        "streamed",
        "trace",
    )

    def __init__(
        self,
        call: transport.IncomingCall,
        incoming: state_module.IncomingRequest,
        request: state_module.Request | None,
        trace: observation.RequestTrace,
    ):
        self.call = call
        self.carries_events = False
        self.incoming = incoming
        self.request = request
        self.exchange: transport.Exchange | None = None
        self.ended_at_close = False
        self.first_head: dialects.ResponseHead | None = None
        self.head: dialects.ResponseHead | None = None
        self.buffered: list[bytes] = []
        self.buffered_bytes = 0
        self.splitter = streams.EventSplitter()
        self.streamed = request is not None and request.route.kind.streamed
        self.trace = trace


def list_resume_fields(
    incoming: state_module.IncomingRequest,
) -> dict[str, str]:
    """Returns which stream a request goes on with, for its log record."""
    if incoming.resumes is None and not incoming.last_event_id:
        return {}
    return {
        "resumes": (incoming.resumes or "")[:MAX_LOGGED_TEXT],
        "last_event": incoming.last_event_id[:MAX_LOGGED_TEXT],
    }


def list_quarantined_part(
    proxied: ProxiedRequest, fingerprint: bytes
) -> dict[str, str]:
    """Returns the part for which a request is refused, for its log record."""
    prompt = proxied.incoming.prompt
    if not fingerprints.is_part(fingerprint) or prompt is None:
        return {}
    keys = (
        key
        for key, _ in prompt.parts
        if fingerprints.compute_part_fingerprint(key) == fingerprint
    )
    return {"part": next(keys, "")[:MAX_LOGGED_TEXT]}


def list_fields(refusal: effects.Refusal) -> dict[str, object]:
    """Returns the fields of a refusal, for its log record.

    Under overload, refusals are most of a small router's work. `asdict` makes
    deep copies of the values and takes 14 us of processor time, this function
    2 us, each timed in isolation.
    """
    names = (field.name for field in dataclasses.fields(refusal))
    return {name: getattr(refusal, name) for name in names}


def list_framing(proxied: ProxiedRequest) -> dict[str, bool]:
    """Returns the field of a response that ended with its connection."""
    return {"ended_at_close": True} if proxied.ended_at_close else {}


def list_logged_parts(request: state_module.Request) -> list[str]:
    """Lists keys of the shared parts of a prompt, for a log record."""
    prompt = request.incoming.prompt
    shared = prompt.parts[:-1] if prompt is not None else ()
    return [key[:MAX_LOGGED_TEXT] for key, _ in shared[:MAX_LOGGED_PARTS]]


def record_resumption(
    state: state_module.DirectState,
    recorder: observation.Recorder,
    proxied: ProxiedRequest,
    now: float,
    end: str,
) -> None:
    """Logs and counts how a request ended that went on with a stream."""
    stream = list_resume_fields(proxied.incoming)
    if not stream or (proxied.request and not proxied.request.resumes):
        return
    known = proxied.request and proxied.request.known_origin
    fields = {"source": "unknown"}
    if known:
        fields = {
            "source": known.source or "own",
            "age": round(now - known.learned_at, 3),
            "version": resumption.find_version(state, known)[:MAX_LOGGED_TEXT],
        }
    reason = resumption.classify_resumption(proxied.request)
    observation.record_resumption(
        recorder,
        proxied.trace,
        reason,
        result=end,
        attempt=proxied.incoming.attempt_id[:MAX_LOGGED_TEXT],
        **stream,
        **fields,
    )
