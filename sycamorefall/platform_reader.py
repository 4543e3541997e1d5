"""Reads the operators' configuration and the VM list from the platform."""

__all__ = ["PlatformReader", "PublishedText", "ReadCallbacks"]

from collections.abc import Callable
import dataclasses
from typing import Annotated
import zlib

import msgspec

from sycamorefall import configuration, membership, settings, transport
from sycamorefall.configuration import polling

READ_TIMEOUT = 2.0
"""Seconds until a read times out, in addition to the time for which the
platform may hold it open to wait for a change."""

MAX_VALUE_BYTES = 1 << 23
"""Maximum size of a response, in bytes: a value in its JSON form."""

REVISION_HEADER = "revision"
"""Header of a response without a value: the platform's revision, which is not
higher than the requested one."""

MIN_WAIT_SHARE = 0.5
"""Share of the time that a watch may wait after which an empty response is
valid; an earlier one counts as a failure."""

Revision = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class PublishedText(msgspec.Struct, frozen=True):
    """A configuration text and its revision, as published by the platform."""

    revision: Revision
    text: str


class _PublishedList(msgspec.Struct, frozen=True):
    """A VM list and its revision, as published by the platform."""

    revision: Revision
    vms: tuple[membership.VmEntry, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ReadCallbacks:
    """Callbacks for the responses of the platform.

    Attributes:
        on_text: Called with each configuration text that was read.
        on_vms: Called with each VM list that was read.
        on_unchanged: Called with the kind and the platform's revision of a
            value that the platform did not send because it is not newer.
        get_known_revision: Returns the latest known revision of a kind.
    """

    on_text: Callable[[PublishedText], None]
    on_vms: Callable[[membership.VmList], None]
    on_unchanged: Callable[[configuration.DocumentKind, int], None]
    get_known_revision: Callable[[configuration.DocumentKind], int]


@dataclasses.dataclass(slots=True)
class _PolledDocument:
    """A document of the platform, and the read of it in progress."""

    kind: configuration.DocumentKind
    path: str
    schedule: polling.ReadSchedule
    read: polling.PlannedRead | None = None
    exchange: transport.Exchange | None = None
    sent_at: float = 0.0
    parts: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def expires_at(self) -> float:
        """Time at which the read in progress times out."""
        return self.sent_at + self.read.wait + READ_TIMEOUT


class PlatformReader:
    """Reads the configuration and the VM list, each on its own schedule.

    Attributes:
        reads: Number of reads sent.
        failures: Number of reads without a usable response.
        bytes_read: Size of the responses, in bytes.
    """

    __slots__ = (
        "_callbacks",
        "_client",
        "_documents",
        "_settings",
        "bytes_read",
        "failures",
        "reads",
    )

    def __init__(
        self,
        platform: settings.PlatformSettings,
        client: transport.HttpClient,
        callbacks: ReadCallbacks,
        name: str,
        seed: int,
    ):
        """Creates a reader whose first reads are due after random delays.

        Args:
            platform: Address of the platform and intervals of the reads.
            client: Client that sends the reads.
            callbacks: Called with the responses.
            name: Name of this VM.
            seed: Seed of the jitter, together with `name`.
        """
        self._settings = platform
        self._client = client
        self._callbacks = callbacks
        self.reads = 0
        self.failures = 0
        self.bytes_read = 0
        now = transport.read_clock()
        paths = {
            configuration.DocumentKind.TEXT: "/v1/config",
            configuration.DocumentKind.VMS: "/v1/vms",
        }
        self._documents = [
            _PolledDocument(
                kind,
                path,
                configuration.create_read_schedule(
                    platform.poll_interval,
                    platform.start_spread,
                    # The processes of a restarted fleet may have the same
                    # incarnation. Seeded by it alone, all of them would read
                    # at the same times.
                    zlib.crc32(f"{name}/{seed}{path}".encode()),
                    now,
                ),
            )
            for kind, path in paths.items()
        ]

    @property
    def is_watching(self) -> bool:
        """Whether this process watches the platform rather than polling it."""
        return any(polled.schedule.watching for polled in self._documents)

    def find_next_due(self) -> float:
        """Returns the time at which the next read is due or one times out."""
        return min(
            polled.expires_at
            if polled.exchange
            else polled.schedule.next_read_at
            for polled in self._documents
        )

    def set_watching(self, now: float, watching: bool) -> None:
        """Makes this process watch the platform, or poll it slowly."""
        for polled in self._documents:
            polling.set_watching(polled.schedule, now, watching)

    def read_soon(self, now: float) -> None:
        """Schedules reads within seconds and aborts waiting watches."""
        for polled in self._documents:
            if polled.exchange and polled.read.wait:
                self._client.abort(polled.exchange)
                polled.exchange = None
            polling.schedule_read_soon(polled.schedule, now)

    def run(self, now: float) -> None:
        """Sends the reads that are due and aborts those that have timed out."""
        for polled in self._documents:
            if polled.exchange and now >= polled.expires_at:
                self._client.abort(polled.exchange)
                self._handle_failure(polled)
            if not polled.exchange and now >= polled.schedule.next_read_at:
                self._send(polled, now)

    def _send(self, polled: _PolledDocument, now: float) -> None:
        known = self._callbacks.get_known_revision(polled.kind)
        polled.read = polling.plan_read(polled.schedule, known)
        polled.sent_at = now
        polled.parts, polled.size, polled.status, polled.headers = [], 0, 0, {}
        self.reads += 1
        polled.exchange = self._client.send(
            transport.OutgoingRequest(
                self._settings.address, "GET", _build_path(polled)
            ),
            transport.Listener(
                on_head=lambda status, headers: _handle_head(
                    polled, status, headers
                ),
                on_data=lambda data: self._handle_data(polled, data),
                on_end=lambda: self._handle_end(polled),
                on_failure=lambda _: self._handle_failure(polled),
            ),
        )

    def _handle_data(self, polled: _PolledDocument, data: bytes) -> None:
        polled.parts.append(data)
        polled.size += len(data)
        if polled.size > MAX_VALUE_BYTES:
            self._client.abort(polled.exchange)
            self._handle_failure(polled)

    def _handle_failure(self, polled: _PolledDocument) -> None:
        self.failures += 1
        polled.exchange = None
        retry_after = _parse_retry_after(polled.headers.get("retry-after", ""))
        now = transport.read_clock()
        polling.record_failure(polled.schedule, now, retry_after)

    def _handle_end(self, polled: _PolledDocument) -> None:
        polled.exchange = None
        self.bytes_read += polled.size
        if polled.status == 204 and polled.read.after is not None:
            self._handle_unchanged(polled)
        elif polled.status == 200:
            self._handle_value(polled)
        else:
            self._handle_failure(polled)

    def _handle_unchanged(self, polled: _PolledDocument) -> None:
        now = transport.read_clock()
        waited = now - polled.sent_at >= MIN_WAIT_SHARE * polled.read.wait
        polling.record_response(polled.schedule, now, polled.read, waited)
        revision = polled.headers.get(REVISION_HEADER, "")
        published_revision = (
            int(revision) if revision.isdecimal() else polled.read.after
        )
        self._callbacks.on_unchanged(polled.kind, published_revision)

    def _handle_value(self, polled: _PolledDocument) -> None:
        data = b"".join(polled.parts)
        is_text = polled.kind is configuration.DocumentKind.TEXT
        try:
            value = msgspec.json.decode(
                data, type=PublishedText if is_text else _PublishedList
            )
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._handle_failure(polled)
            return
        now = transport.read_clock()
        after = polled.read.after
        # If nothing is published yet, or nothing newer, the next read is
        # backed off.
        useful = value.revision > (after or 0)
        polling.record_response(polled.schedule, now, polled.read, useful)
        if is_text:
            self._callbacks.on_text(value)
        else:
            self._callbacks.on_vms(membership.VmList(value.revision, value.vms))


def _build_path(polled: _PolledDocument) -> str:
    if polled.read.after is None:
        return polled.path
    return f"{polled.path}?after={polled.read.after}&wait={polled.read.wait:g}"


def _handle_head(
    polled: _PolledDocument, status: int, headers: list[tuple[str, str]]
) -> None:
    polled.status = status
    polled.headers = dict(headers)


def _parse_retry_after(text: str) -> float:
    """Parses a Retry-After header as seconds; 0 if it is a date."""
    return float(text) if text.isdecimal() else 0.0
