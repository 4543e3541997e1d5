"""Polls an upstream's load reports and adjusts the concurrency limit."""

__all__ = [
    "LoadPoller",
    "decode_report",
    "find_next_poll",
    "poll_load",
    "start_polling",
]

from collections.abc import Callable
import dataclasses
from typing import Annotated, Protocol

import msgspec

from sycamorefall import admission, settings, transport
from sycamorefall import node as node_module
from sycamorefall.sidecar import claiming, gate, running
from sycamorefall.sidecar import state as state_module

LOAD_PATH = "/v1/load"
"""Path at which upstreams publish their load."""

POLL_INTERVAL = 0.5
"""Seconds between two polls."""

POLL_TIMEOUT = 2.0
"""Seconds after which a poll without a complete response is aborted."""

MAX_REPORT_BYTES = 1 << 14
"""Maximum size of a load report in bytes; a larger body is rejected."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]


class _Report(msgspec.Struct):
    running: _Count
    queued: _Count = 0
    slots: _Count = 0


_decoder = msgspec.json.Decoder(_Report)


class Client(Protocol):
    """The methods of `transport.HttpClient` that a poller uses."""

    def send(
        self, request: transport.OutgoingRequest, listener: transport.Listener
    ) -> transport.Exchange:
        """Sends a request."""

    def abort(self, exchange: transport.Exchange) -> None:
        """Aborts a request."""


@dataclasses.dataclass(slots=True)
class LoadPoller:
    """State of polling one upstream.

    Attributes:
        client: Sends the polls.
        address: Address of the upstream.
        on_report: Called with each valid load report.
        next_poll_at: Time at which the next poll is due.
        exchange: The poll in progress, if any.
        expires_at: Time at which the poll in progress times out.
        failures: Number of polls without a valid report.
    """

    client: Client
    address: settings.Address
    on_report: Callable[[admission.LoadReport], None]
    next_poll_at: float = 0.0
    exchange: transport.Exchange | None = None
    expires_at: float = 0.0
    failures: int = 0


def decode_report(data: bytes) -> admission.LoadReport | None:
    """Decodes a load report.

    Any other response is rejected: a wrong type, a negative count or an
    absurdly high one would change the concurrency limit without reason.

    Args:
        data: The body as received.

    Returns:
        The report, or None if the body is not a valid one.

    Example:
        >>> decode_report(b'{"running": 3, "queued": 1}')
        LoadReport(running=3, queued=1, slots=0)
        >>> decode_report(b'{"running": -3}')
    """
    try:
        report = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return admission.LoadReport(report.running, report.queued, report.slots)


def find_next_poll(poller: LoadPoller) -> float:
    """Returns the time at which `poll_load` has something to do next."""
    return poller.next_poll_at if poller.exchange is None else poller.expires_at


def poll_load(poller: LoadPoller, now: float) -> None:
    """Sends a poll if one is due and none is in progress.

    A poll times out: the upstream may accept the connection and never respond.
    Without the timeout, polls would either pile up or cease for good.

    Args:
        poller: State of the polling; changed.
        now: This process's time, in seconds.
    """
    if poller.exchange is not None and now >= poller.expires_at:
        poller.client.abort(poller.exchange)
        _handle_poll_end(poller, b"")
    if poller.exchange is not None or now < poller.next_poll_at:
        return
    poller.next_poll_at = now + POLL_INTERVAL
    poller.expires_at = now + POLL_TIMEOUT
    body = bytearray()
    statuses: list[int] = []
    poller.exchange = poller.client.send(
        transport.OutgoingRequest(poller.address, "GET", LOAD_PATH),
        transport.Listener(
            on_head=lambda status, _: statuses.append(status),
            on_data=lambda data: _append_data(body, data),
            on_end=lambda: _handle_poll_end(
                poller, bytes(body) if statuses == [200] else b""
            ),
            on_failure=lambda _: _handle_poll_end(poller, b""),
        ),
    )


def _append_data(body: bytearray, data: bytes) -> None:
    if len(body) <= MAX_REPORT_BYTES:
        body += data


def _handle_poll_end(poller: LoadPoller, body: bytes) -> None:
    poller.exchange = None
    report = decode_report(body) if len(body) <= MAX_REPORT_BYTES else None
    if report is None:
        poller.failures += 1
    else:
        poller.on_report(report)


def start_polling(
    node: node_module.Node,
    state: state_module.SidecarState,
    upstream: settings.Address,
) -> None:
    """Polls an upstream's load for as long as the process runs.

    Args:
        node: The process.
        state: State of the sidecar's decision logic.
        upstream: Address of the upstream.
    """
    poller = LoadPoller(
        node.client,
        upstream,
        lambda report: _handle_report(node, state, report),
    )
    transport.Ticker(
        lambda: find_next_poll(poller), lambda now: poll_load(poller, now)
    ).register(node.loop)


def _handle_report(
    node: node_module.Node,
    state: state_module.SidecarState,
    report: admission.LoadReport,
) -> None:
    if state.versions.configuration is None:
        return
    now = transport.read_clock()
    if running.serves_engine(state):
        admission.adjust_to_load(state.limit, now, report)
    else:
        admission.record_foreign(state.limit, now, report)
    gate.start_held_runs(state.gate, now)
    node_module.perform_effects(node, claiming.make_claims(state, now))
