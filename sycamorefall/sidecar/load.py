"""Reads the upstream's load reports into its concurrency limit."""

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
"""Where upstreams publish their load."""

POLL_INTERVAL = 0.5
"""Seconds between two reads of the load report."""

POLL_TIMEOUT = 2.0
"""Seconds after which a report that doesn't come is given up."""

LARGEST_REPORT = 1 << 14
"""Bytes of a report that are read; more is not a load report."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]


class _Report(msgspec.Struct):
    running: _Count
    queued: _Count = 0
    slots: _Count = 0


_decoder = msgspec.json.Decoder(_Report)


class Client(Protocol):
    """The part of `transport.HttpClient` that is used here."""

    def send(
        self, request: transport.OutgoingRequest, listener: transport.Listener
    ) -> transport.Exchange:
        """Sends a request."""

    def abort(self, exchange: transport.Exchange) -> None:
        """Gives a request up."""


@dataclasses.dataclass(slots=True)
class LoadPoller:
    """Reads of one upstream's load report.

    Attributes:
        client: Sends the reads.
        address: The upstream.
        on_report: Called with each sound report.
        next_poll: When to read next.
        exchange: The read in progress.
        expires: When to give it up.
        failed: Reads without a sound report so far.
    """

    client: Client
    address: settings.Address
    on_report: Callable[[admission.LoadReport], None]
    next_poll: float = 0.0
    exchange: transport.Exchange | None = None
    expires: float = 0.0
    failed: int = 0


def decode_report(data: bytes) -> admission.LoadReport | None:
    """Decodes a load report.

    Guards against an upstream that answers something else: a wrong type, a
    negative or an absurd count would move the limit for no reason.

    Args:
        data: The body as received.

    Returns:
        The report, or None if the body is not one.

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
    """Tells when `poll_load` has something to do next."""
    return poller.next_poll if poller.exchange is None else poller.expires


def poll_load(poller: LoadPoller, now: float) -> None:
    """Reads the load report if that is due, one read at a time.

    Guards against an upstream that takes the connection and never answers:
    reads would pile up, or, waiting for the one, never be made again.

    Args:
        poller: The reads; changed.
        now: This process's time.
    """
    if poller.exchange is not None and now >= poller.expires:
        poller.client.abort(poller.exchange)
        _end_read(poller, b"")
    if poller.exchange is not None or now < poller.next_poll:
        return
    poller.next_poll = now + POLL_INTERVAL
    poller.expires = now + POLL_TIMEOUT
    body = bytearray()
    statuses: list[int] = []
    poller.exchange = poller.client.send(
        transport.OutgoingRequest(poller.address, "GET", LOAD_PATH),
        transport.Listener(
            on_head=lambda status, _: statuses.append(status),
            on_data=lambda data: _take_part(body, data),
            on_end=lambda: _end_read(
                poller, bytes(body) if statuses == [200] else b""
            ),
            on_failure=lambda _: _end_read(poller, b""),
        ),
    )


def _take_part(body: bytearray, data: bytes) -> None:
    if len(body) <= LARGEST_REPORT:
        body += data


def _end_read(poller: LoadPoller, body: bytes) -> None:
    poller.exchange = None
    report = decode_report(body) if len(body) <= LARGEST_REPORT else None
    if report is None:
        poller.failed += 1
    else:
        poller.on_report(report)


def start_polling(
    node: node_module.Node,
    state: state_module.SidecarState,
    upstream: settings.Address,
) -> None:
    """Reads an upstream's load for as long as the process runs.

    Args:
        node: The process.
        state: The sidecar's decisions.
        upstream: The upstream beside it.
    """
    poller = LoadPoller(
        node.client, upstream, lambda report: _take_report(node, state, report)
    )
    transport.Ticker(
        lambda: find_next_poll(poller), lambda now: poll_load(poller, now)
    ).register(node.loop)


def _take_report(
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
