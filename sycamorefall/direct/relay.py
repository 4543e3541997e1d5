"""Forwards requests to upstreams and their responses to callers."""

__all__ = [
    "Proxy",
    "drop_orphans",
    "drop_request",
    "handle_call",
    "perform_effects",
    "record_dropped_call",
    "withdraw_unsent",
]

from collections.abc import Callable, Iterable
import dataclasses
import math

from returns import result

from sycamorefall import errors, observation, transport
from sycamorefall.direct import (
    core,
    crash_log,
    crashes,
    dialects,
    dispatching,
    effects,
    faults,
    fingerprints,
    local_failures,
    outcomes,
    proxied_requests,
    streams,
    upstreams,
)
from sycamorefall.direct import state as state_module

MAX_UNSENT_BYTES = 1 << 18
"""Unsent bytes for a slow caller above which reading its upstream is paused."""

MAX_EVENT_BYTES = 1 << 18
"""Maximum size of an event of a stream. An upstream in trouble may send bytes
without end that are no event; they are held until the event is complete."""

MAX_BUFFERED_BYTES = 1 << 22
"""Maximum size of a response that is forwarded only when it is complete."""

_ATTEMPT_ENDS = {
    dialects.ResponseOutcome.SUCCESS: outcomes.AttemptEnd.COMPLETE,
    dialects.ResponseOutcome.FAILURE: outcomes.AttemptEnd.FAILED,
    dialects.ResponseOutcome.NOT_RUN: outcomes.AttemptEnd.NOT_RUN,
    dialects.ResponseOutcome.OTHER_INCARNATION: (
        outcomes.AttemptEnd.OTHER_INCARNATION
    ),
    dialects.ResponseOutcome.INVALID: outcomes.AttemptEnd.BROKEN,
}


_UPSTREAM_EFFECTS = (
    effects.CheckUpstream,
    effects.ReportCrash,
    effects.ReportQuarantine,
    effects.ReportTrial,
)
"""Effects that concern an upstream instead of a request in progress."""


@dataclasses.dataclass(slots=True)
class Proxy:
    """The I/O side of request forwarding, driven by the decision logic.

    Attributes:
        state: State of the decision logic.
        client: HTTP client that sends requests to upstreams.
        dialect: Translation between HTTP messages and the router's types.
        recorder: Records requests for logs and metrics.
        in_flight: Requests in progress by number.
        on_stream_begun: Called before the first event of a stream is forwarded.
        get_unread_since: Returns the time after which the input that is handled
            now arrived.
        faulted: Whether something raised since orphans were last ended.
    """

    state: state_module.DirectState
    client: transport.HttpClient
    dialect: dialects.Dialect
    recorder: observation.Recorder = dataclasses.field(
        default_factory=observation.Recorder
    )
    in_flight: dict[int, proxied_requests.ProxiedRequest] = dataclasses.field(
        default_factory=dict
    )
    on_stream_begun: Callable[[], None] = lambda: None
    get_unread_since: Callable[[], float] = lambda: math.inf
    faulted: bool = False


def handle_call(proxy: Proxy, call: transport.IncomingCall) -> None:
    """Handles a caller's HTTP request; answers it if it is malformed."""
    match proxy.dialect.read_request(call):
        case result.Failure(reason):
            observation.count_event(proxy.recorder, "call_refused", "malformed")
            call.fail(errors.ErrorKind.MALFORMED_REQUEST, reason)
        case result.Success(incoming):
            _handle_request(proxy, call, incoming)


def record_dropped_call(proxy: Proxy, call: transport.IncomingCall) -> None:
    """Records a request that is not handled because its caller disconnected."""
    now = transport.read_clock()
    trace = observation.record_request_start(
        proxy.recorder,
        now,
        "",
        "",
        request_id=proxy.dialect.read_request_id(call),
    )
    observation.record_request_end(proxy.recorder, trace, now, "dropped")


def _handle_request(
    proxy: Proxy,
    call: transport.IncomingCall,
    incoming: state_module.IncomingRequest,
) -> None:
    now = transport.read_clock()
    number, pending = core.handle_request(
        proxy.state, now, incoming, call.arrived_after
    )
    try:
        _begin_request(proxy, call, incoming, number, now)
    except Exception:
        core.cancel_request(proxy.state, number, now)
        raise
    perform_effects(proxy, pending)


def _begin_request(
    proxy: Proxy,
    call: transport.IncomingCall,
    incoming: state_module.IncomingRequest,
    number: int,
    now: float,
) -> None:
    request = proxy.state.requests.get(number)
    trace = observation.record_request_start(
        proxy.recorder,
        now,
        request.service if request else "",
        request.team if request else "",
        request_id=proxy.dialect.read_request_id(call),
        route=request.route.name if request else "",
        target=round(request.target_at - now, 3) if request else None,
        **proxied_requests.list_resume_fields(incoming),
    )
    proxy.in_flight[number] = proxied_requests.ProxiedRequest(
        call, incoming, request, trace
    )
    call.on_hangup = lambda: _cancel(proxy, number)


def _cancel(proxy: Proxy, number: int) -> None:
    now = transport.read_clock()
    pending = core.cancel_request(proxy.state, number, now)
    perform_effects(proxy, pending)
    _finish_request(proxy, number, "cancelled")


def _finish_request(
    proxy: Proxy, number: int, end: str, **fields: object
) -> None:
    proxied = proxy.in_flight.pop(number, None)
    if proxied is not None:
        now = transport.read_clock()
        proxied_requests.record_resumption(
            proxy.state, proxy.recorder, proxied, now, end
        )
        observation.record_request_end(
            proxy.recorder, proxied.trace, now, end, **fields
        )


def perform_effects(proxy: Proxy, pending: Iterable[effects.Effect]) -> None:
    """Performs effects; those of requests that have ended are ignored.

    Guards against an effect that raises: the others of its batch would be lost
    while the decisions count their requests as running, and their callers would
    be held until their deadlines.
    """
    for effect in pending:
        number = getattr(effect, "request", None)
        proxied = proxy.in_flight.get(number)
        try:
            if isinstance(effect, _UPSTREAM_EFFECTS):
                _perform_upstream_effect(proxy, effect)
            elif proxied is not None:
                _perform_effect(proxy, proxied, effect)
        except Exception as error:
            proxy.faulted = True
            faults.log_fault(error)
            if proxied is not None:
                _end_failed_effect(proxy, proxied, effect)


def _perform_effect(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    effect: effects.Effect,
) -> None:
    """Performs an effect of a request in progress."""
    match effect:
        case effects.SendRequest():
            _send_request(proxy, proxied, effect)
        case effects.AbortAttempt():
            _record_abort(proxy, proxied, effect)
            _abort_exchange(proxy, proxied)
        case effects.AnswerError():
            _answer_error(proxy, proxied, effect)
        case effects.AbortResponse():
            _abort_response(proxy, proxied, effect)
        case effects.ForwardResponse():
            _forward_response(proxy, proxied, effect.request)


def _record_abort(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    effect: effects.AbortAttempt,
) -> None:
    """Counts an aborted attempt, and logs it unless its caller has left."""
    if effect.reason is None:
        return
    observation.count_event(
        proxy.recorder, "attempt_aborted", effect.reason.value
    )
    if effect.reason is not effects.EndReason.CALLER_LEFT:
        observation.record_attempt_end(
            proxy.recorder,
            proxied.trace,
            "aborted",
            reason=effect.reason.value,
            sidecar=effect.upstream,
            begun=effect.begun,
            silent=effect.silent and round(effect.silent, 3),
        )


def _abort_response(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    effect: effects.AbortResponse,
) -> None:
    reason = effect.reason.value if effect.reason else "refused"
    observation.count_event(proxy.recorder, "response_broken_off", reason)
    _finish_request(
        proxy,
        effect.request,
        "broken_off",
        reason=reason,
        sidecar=effect.upstream,
    )
    proxied.call.abort()


def _end_failed_effect(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    effect: effects.Effect,
) -> None:
    """Ends the request of an effect that raised, as truly as is known."""
    number, exchange = effect.request, proxied.exchange
    if not isinstance(effect, effects.SendRequest):
        ran = getattr(effect, "ran", None)
        kind = getattr(effect, "kind", errors.ErrorKind.INTERNAL)
        drop_request(proxy, proxied, number, ran or errors.ANSWERS[kind].ran)
        return
    if exchange is not None and exchange.sent_any:
        end = lambda: _end_broken_attempt(proxy, proxied, number)  # noqa: E731
    else:
        end = lambda: _end_unopened(proxy, proxied, number)  # noqa: E731
    aborted = faults.contain(lambda: _abort_exchange(proxy, proxied))
    if not (aborted and faults.contain(end)):
        drop_request(proxy, proxied, number)


def drop_request(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    number: int,
    ran: errors.Ran | None = None,
) -> None:
    """Ends a request after a fault, whatever is known of it.

    Each step is taken although another one raises: what was counted is
    released, the connection to the upstream closed and the caller told.
    """
    now, call = transport.read_clock(), proxied.call
    faults.contain(lambda: core.cancel_request(proxy.state, number, now))
    faults.contain(lambda: _abort_exchange(proxy, proxied))
    kind = errors.ErrorKind.INTERNAL
    faults.contain(lambda: _finish_request(proxy, number, kind.value))
    proxy.in_flight.pop(number, None)
    if call.response_started or not faults.contain(
        lambda: call.fail(kind, ran=ran)
    ):
        faults.contain(call.abort)


def drop_orphans(proxy: Proxy) -> None:
    """Ends the requests that the decisions no longer know, or only they know.

    Guards against an exception between a decision and its effects: the caller
    of a request that has ended by the decisions would wait forever, and a
    request without a caller would take its slot.
    """
    proxy.faulted = False
    now = transport.read_clock()
    for number in proxy.in_flight.keys() - proxy.state.requests.keys():
        drop_request(proxy, proxy.in_flight[number], number)
    for number in proxy.state.requests.keys() - proxy.in_flight.keys():
        core.cancel_request(proxy.state, number, now)


def withdraw_unsent(proxy: Proxy) -> None:
    """Withdraws requests of which no byte was sent from unusable upstreams.

    Guards against a request that reaches an upstream after this router knew
    that it leaves: a request waits for its connection, and in a busy process
    for the next pass of the loop. Requests at upstreams that leave, are
    evacuated, are no longer listed or were restarted are sent elsewhere, or
    wait again.
    """
    for number, proxied in list(proxy.in_flight.items()):
        request, exchange = proxied.request, proxied.exchange
        if exchange is None or exchange.sent_any:
            continue
        if request is None or request.attempt is None:
            continue
        upstream = state_module.find_upstream(proxy.state, request.attempt)
        if upstream is None or not upstreams.takes_new_requests(upstream):
            _abort_exchange(proxy, proxied)
            end = outcomes.AttemptEnd.NOT_SENT
            _end_attempt(proxy, proxied, number, end, withdrawn=True)


def _perform_upstream_effect(proxy: Proxy, effect: effects.Effect) -> None:
    """Performs an effect that concerns an upstream."""
    match effect:
        case effects.CheckUpstream():
            proxy.client.check_reachable(
                effect.address,
                lambda found: _handle_check_result(proxy, effect, found),
            )
        case (
            effects.ReportCrash()
            | effects.ReportQuarantine()
            | effects.ReportTrial()
        ):
            crash_log.record_report(proxy.recorder, effect)


def _handle_check_result(
    proxy: Proxy, check: effects.CheckUpstream, found: transport.Reachability
) -> None:
    now = transport.read_clock()
    perform_effects(
        proxy, crashes.handle_check_result(proxy.state, now, check, found)
    )


def _abort_exchange(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest
) -> None:
    if proxied.exchange is not None:
        proxy.client.abort(proxied.exchange)
        proxied.exchange = None


def _answer_error(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    effect: effects.AnswerError,
) -> None:
    details = (
        proxied_requests.list_fields(effect.refusal) if effect.refusal else {}
    )
    if effect.fingerprint:
        details["fingerprint"] = effect.fingerprint.hex()
        details |= proxied_requests.list_quarantined_part(
            proxied, effect.fingerprint
        )
    ran = effect.ran or errors.ANSWERS[effect.kind].ran
    _finish_request(
        proxy,
        effect.request,
        effect.kind.value,
        retry_after=effect.retry_after,
        ran=ran.value,
        **details,
    )
    proxied.call.fail(
        effect.kind, ran=effect.ran, retry_after=effect.retry_after
    )


def _forward_response(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest, number: int
) -> None:
    head = proxied.head
    _finish_request(
        proxy,
        number,
        "answered",
        status=head.status,
        **proxied_requests.list_framing(proxied),
    )
    body = b"".join(proxied.buffered)
    proxied.call.respond(head.status, body, head.headers)


def _send_request(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    send: effects.SendRequest,
) -> None:
    call, number = proxied.call, send.request
    now = transport.read_clock()
    remaining = outcomes.record_sent(proxy.state, now, number)
    if remaining < dispatching.MIN_TIME_LEFT:
        return  # The expiry timer answers the request.
    send = dataclasses.replace(send, time_left=remaining)
    observation.record_attempt_start(
        proxy.recorder,
        proxied.trace,
        now,
        str(send.attempt),
        send.upstream,
        running=send.running,
        reads=send.reads,
        unread=send.unread,
        begins_in=send.begins_in,
        source=send.source and str(send.source),
        fetches=send.fetches,
        cost=send.cost,
        received=send.received,
        floor=send.floor,
        idle=send.idle,
        scale=send.scale,
        pending_limit=send.pending_limit,
        version=send.software_version[: proxied_requests.MAX_LOGGED_TEXT],
        time_left=round(send.time_left, 3),
    )
    streams.prepare_resume(proxied.splitter)
    proxied.head, proxied.buffered = None, []
    proxied.buffered_bytes = 0
    last_event_id = proxied.splitter.last_id if call.response_started else ""
    request = transport.OutgoingRequest(
        send.address,
        call.method,
        call.target,
        proxy.dialect.write_headers(call, send, last_event_id),
        call.body,
        requires_new_connection=send.requires_new_connection,
        host=call.headers.get("host", ""),
        max_idle_connections=send.max_idle_connections,
    )

    def contained(handle: Callable[..., None], *arguments: object) -> None:
        try:
            handle(proxy, proxied, number, *arguments)
        except Exception as error:
            faults.log_fault(error)
            drop_request(proxy, proxied, number)

    proxied.exchange = proxy.client.send(
        request,
        transport.Listener(
            on_head=lambda status, headers: contained(
                _handle_head, status, headers
            ),
            on_data=lambda data: contained(_handle_data, data),
            on_end=lambda: contained(_handle_end),
            on_failure=lambda stage: contained(_handle_failure, stage),
            is_matching_response=lambda headers: (
                proxy.dialect.is_matching_response(call, headers)
            ),
            on_sent=lambda: outcomes.record_sent(
                proxy.state, transport.read_clock(), number
            ),
        ),
    )
    # Recorded again, since the VM may have been frozen until the system call;
    # that time would count towards a stall of the upstream.
    outcomes.record_sent(proxy.state, transport.read_clock(), number)


def _handle_head(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    number: int,
    status: int,
    headers: list[tuple[str, str]],
) -> None:
    proxied.head = proxy.dialect.read_response_head(status, headers)
    proxied.carries_events = proxied.streamed and _is_event_stream(headers)
    _record_upstream_state(proxy, number, proxied.head)
    outcome = proxied.head.outcome
    if outcome is dialects.ResponseOutcome.INVALID:
        _abort_exchange(proxy, proxied)
        _end_attempt(proxy, proxied, number, outcomes.AttemptEnd.BROKEN)
        return
    if (
        outcome is dialects.ResponseOutcome.SUCCESS
        and proxied.first_head is None
    ):
        proxied.first_head = proxied.head
    now = transport.read_clock()
    outcomes.record_response(proxy.state, now, number, first=False)


def _is_event_stream(headers: list[tuple[str, str]]) -> bool:
    """Returns whether a response with these headers consists of events."""
    media_type = dict(headers).get("content-type", transport.EVENT_STREAM)
    return media_type.lower().startswith(transport.EVENT_STREAM)


def _record_upstream_state(
    proxy: Proxy, number: int, head: dialects.ResponseHead
) -> None:
    """Records what the head of a response tells of its upstream."""
    request = proxy.state.requests.get(number)
    if request is None or request.attempt is None:
        return
    upstream, now = request.attempt.upstream, transport.read_clock()
    outcomes.record_scale(proxy.state, now, number, head)
    if outcomes.record_leaving(proxy.state, now, number, head):
        observation.write_record(
            observation.Level.INFO, "upstream.leaving", upstream=upstream
        )
    if outcomes.record_retry_delay(proxy.state, now, number, head):
        observation.write_record(
            observation.Level.INFO,
            "upstream.resting",
            upstream=upstream,
            seconds=head.retry_after,
        )
        pending = outcomes.refuse_delayed_requests(
            proxy.state, now, request.service
        )
        perform_effects(proxy, pending)


def _handle_data(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    number: int,
    data: bytes,
) -> None:
    if (
        not proxied.streamed
        or proxied.head.outcome is not dialects.ResponseOutcome.SUCCESS
    ):
        proxied.buffered.append(data)
        proxied.buffered_bytes += len(data)
        outcomes.record_response(
            proxy.state, transport.read_clock(), number, first=False
        )
        if proxied.buffered_bytes > MAX_BUFFERED_BYTES:
            _end_endless_attempt(proxy, proxied, number)
        return
    events = streams.split_events(proxied.splitter, data)
    now = transport.read_clock()
    outcomes.record_response(
        proxy.state,
        now,
        number,
        first=bool(events),
        events=streams.count_events(events),
        arrived_after=proxy.get_unread_since(),
    )
    if events:
        observation.record_piece(proxy.recorder, proxied.trace, now)
        if proxy.state.origins.untold:
            proxy.on_stream_begun()
        _forward_events(proxy, proxied, events)
    if streams.count_incomplete_bytes(proxied.splitter) > MAX_EVENT_BYTES:
        _end_endless_attempt(proxy, proxied, number)


def _end_endless_attempt(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest, number: int
) -> None:
    """Ends an attempt whose response would need more memory than there is.

    Guards against a router that is killed for its memory, with all requests
    that it holds, as one upstream sends without end.
    """
    observation.count_event(proxy.recorder, "response_too_large")
    _abort_exchange(proxy, proxied)
    _end_attempt(proxy, proxied, number, outcomes.AttemptEnd.BROKEN)


def _forward_events(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest, data: bytes
) -> None:
    call = proxied.call
    if not call.response_started:
        call.begin(proxied.first_head.status, proxied.first_head.headers)
        call.on_drained = lambda: _resume_reading(proxy, proxied)
    call.write(data)
    if call.unsent_bytes > MAX_UNSENT_BYTES and proxied.exchange is not None:
        proxy.client.pause(proxied.exchange, True)
        outcomes.record_pause(proxied.request, math.inf)


def _resume_reading(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest
) -> None:
    if proxied.exchange is not None:
        proxy.client.pause(proxied.exchange, False)
        outcomes.record_pause(proxied.request, transport.read_clock())


def _handle_end(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest, number: int
) -> None:
    proxied.ended_at_close = proxied.exchange.ended_at_close
    proxied.exchange = None
    end = _ATTEMPT_ENDS[proxied.head.outcome]
    if end is outcomes.AttemptEnd.COMPLETE:
        cut = _find_cut(proxied)
        if cut is not None:
            observation.count_event(
                proxy.recorder, "stream_broken_off", cut.value
            )
            _end_broken_attempt(proxy, proxied, number, cut=cut.value)
            return
        _finish_response(proxy, proxied, number)
    _end_attempt(proxy, proxied, number, end)


def _find_cut(
    proxied: proxied_requests.ProxiedRequest,
) -> streams.StreamEnd | None:
    """Finds where a stream was broken off although its end seems in order.

    The kernel closes the connections of a crashed process in order, so without
    a length or chunks only the events tell a break from the end.

    Returns:
        The place; None if the response is complete.
    """
    if not proxied.carries_events:
        return None
    end = streams.classify_end(proxied.splitter)
    if end is streams.StreamEnd.INSIDE_EVENT:
        return end
    is_empty = end is streams.StreamEnd.NO_EVENT
    return end if is_empty and proxied.ended_at_close else None


def _finish_response(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest, number: int
) -> None:
    if not proxied.streamed:
        _forward_response(proxy, proxied, number)
        return
    rest = streams.flush_rest(proxied.splitter)
    _forward_events(proxy, proxied, rest)
    proxied.call.end()
    _finish_request(
        proxy,
        number,
        "answered",
        status=proxied.first_head.status,
        **proxied_requests.list_framing(proxied),
    )


def _handle_failure(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    number: int,
    stage: transport.SendStage,
) -> None:
    proxied.exchange = None
    if stage is transport.SendStage.NOT_OPENED:
        _end_unopened(proxy, proxied, number)
    elif stage is transport.SendStage.NOT_SENT:
        _end_attempt(proxy, proxied, number, outcomes.AttemptEnd.NOT_SENT)
    else:
        _end_broken_attempt(proxy, proxied, number)


def _end_broken_attempt(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    number: int,
    **fields: object,
) -> None:
    """Ends an attempt whose connection was lost after its request was sent.

    Args:
        proxy: The proxy; changed.
        proxied: The request.
        number: Its number.
        fields: Additional fields for the log record.
    """
    now = transport.read_clock()
    perform_effects(proxy, crashes.record_disconnect(proxy.state, now, number))
    request = proxy.state.requests.get(number)
    if request is not None and request.attempt is not None:
        fields["fingerprint"] = fingerprints.get_fingerprint(request).hex()
        fields["begun"] = request.attempt.response_started
        fields["parts"] = proxied_requests.list_logged_parts(request)
    _end_attempt(proxy, proxied, number, outcomes.AttemptEnd.BROKEN, **fields)


def _end_attempt(
    proxy: Proxy,
    proxied: proxied_requests.ProxiedRequest,
    number: int,
    end: outcomes.AttemptEnd,
    **fields: object,
) -> None:
    request = proxy.state.requests.get(number)
    if request is not None and request.attempt is not None:
        fields["sidecar"] = request.attempt.upstream
    observation.record_attempt_end(
        proxy.recorder, proxied.trace, end.value, **fields
    )
    now = transport.read_clock()
    perform_effects(proxy, outcomes.end_attempt(proxy.state, now, number, end))


def _end_unopened(
    proxy: Proxy, proxied: proxied_requests.ProxiedRequest, number: int
) -> None:
    """Ends an attempt for which this VM could not open a connection."""
    now = transport.read_clock()
    end = transport.SendStage.NOT_OPENED.value
    observation.record_attempt_end(proxy.recorder, proxied.trace, end)
    perform_effects(
        proxy, local_failures.end_unopened_attempt(proxy.state, now, number)
    )
