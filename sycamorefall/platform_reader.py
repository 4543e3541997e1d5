"""Reads the platform's configuration service: operators' text and VM list."""

__all__ = ["PlatformReader", "PublishedText", "Takers"]

from collections.abc import Callable
import dataclasses
from typing import Annotated
import zlib

import msgspec

from sycamorefall import configuration, membership, settings, transport
from sycamorefall.configuration import polling

READ_TIMEOUT = 2.0
"""Seconds, beyond its own wait, after which a read is given up."""

LARGEST_VALUE = 1 << 23
"""Bytes of an answer that are taken at most: a value in its JSON form."""

REVISION_HEADER = "revision"
"""Header of an answer without a value: the revision it has not passed."""

WAITED = 0.5
"""Part of a watch's wait after which an empty answer is a right one."""

Revision = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class PublishedText(msgspec.Struct, frozen=True):
    """The operators' text at a revision, as the platform publishes it."""

    revision: Revision
    text: str


class _PublishedList(msgspec.Struct, frozen=True):
    """The list of VMs at a revision, as the platform publishes it."""

    revision: Revision
    vms: tuple[membership.VmEntry, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Takers:
    """What is called with the platform's answers.

    Attributes:
        text: With each text read.
        vms: With each list read.
        unchanged: With the kind and revision of a value that was not sent.
        get_known_revision: Gives the revision in use of a kind.
    """

    text: Callable[[PublishedText], None]
    vms: Callable[[membership.VmList], None]
    unchanged: Callable[[configuration.DocumentKind, int], None]
    get_known_revision: Callable[[configuration.DocumentKind], int]


@dataclasses.dataclass(slots=True)
class _Feed:
    """One value of the platform and the read of it that is in progress."""

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
    def until(self) -> float:
        """When the read in progress is given up."""
        return self.sent_at + self.read.wait + READ_TIMEOUT


class PlatformReader:
    """Reads the text and the list, each as its schedule says.

    Attributes:
        reads: Reads sent.
        failures: Reads that gave nothing usable.
        bytes_read: Size of the answers.
    """

    __slots__ = (
        "_client",
        "_feeds",
        "_settings",
        "_takers",
        "bytes_read",
        "failures",
        "reads",
    )

    def __init__(
        self,
        platform: settings.PlatformSettings,
        client: transport.HttpClient,
        takers: Takers,
        name: str,
        seed: int,
    ):
        """Creates a reader; its first reads are due after a random pause.

        Args:
            platform: Where to read and how often.
            client: Sends the reads.
            takers: What is called with the answers.
            name: Name of this process's VM.
            seed: Seed of the jitter.
        """
        self._settings = platform
        self._client = client
        self._takers = takers
        self.reads = 0
        self.failures = 0
        self.bytes_read = 0
        now = transport.read_clock()
        paths = {
            configuration.DocumentKind.TEXT: "/v1/config",
            configuration.DocumentKind.VMS: "/v1/vms",
        }
        self._feeds = [
            _Feed(
                kind,
                path,
                configuration.create_read_schedule(
                    platform.poll_interval,
                    platform.start_spread,
                    # Processes of a restarted fleet may get the same number:
                    # by it alone all of them would read at the same instants.
                    zlib.crc32(f"{name}/{seed}{path}".encode()),
                    now,
                ),
            )
            for kind, path in paths.items()
        ]

    @property
    def is_watching(self) -> bool:
        """Whether this process holds watches."""
        return any(feed.schedule.watching for feed in self._feeds)

    def find_next_due(self) -> float:
        """Tells when a read is due next, or to be given up."""
        return min(
            feed.until if feed.exchange else feed.schedule.next_read_at
            for feed in self._feeds
        )

    def set_watching(self, now: float, watching: bool) -> None:
        """Makes this process watch the platform, or poll it slowly."""
        for feed in self._feeds:
            polling.set_watching(feed.schedule, now, watching)

    def read_soon(self, now: float) -> None:
        """Reads again within seconds, also in place of a waiting watch."""
        for feed in self._feeds:
            if feed.exchange and feed.read.wait:
                self._client.abort(feed.exchange)
                feed.exchange = None
            polling.schedule_read_soon(feed.schedule, now)

    def run(self, now: float) -> None:
        """Sends the reads that are due and gives up late ones."""
        for feed in self._feeds:
            if feed.exchange and now >= feed.until:
                self._client.abort(feed.exchange)
                self._fail(feed)
            if not feed.exchange and now >= feed.schedule.next_read_at:
                self._send(feed, now)

    def _send(self, feed: _Feed, now: float) -> None:
        known = self._takers.get_known_revision(feed.kind)
        feed.read = polling.plan_read(feed.schedule, known)
        feed.sent_at = now
        feed.parts, feed.size, feed.status, feed.headers = [], 0, 0, {}
        self.reads += 1
        feed.exchange = self._client.send(
            transport.OutgoingRequest(
                self._settings.address, "GET", _write_path(feed)
            ),
            transport.Listener(
                on_head=lambda status, headers: _take_head(
                    feed, status, headers
                ),
                on_data=lambda data: self._take_data(feed, data),
                on_end=lambda: self._take_end(feed),
                on_failure=lambda _: self._fail(feed),
            ),
        )

    def _take_data(self, feed: _Feed, data: bytes) -> None:
        feed.parts.append(data)
        feed.size += len(data)
        if feed.size > LARGEST_VALUE:
            self._client.abort(feed.exchange)
            self._fail(feed)

    def _fail(self, feed: _Feed) -> None:
        self.failures += 1
        feed.exchange = None
        advice = _read_seconds(feed.headers.get("retry-after", ""))
        now = transport.read_clock()
        polling.record_failure(feed.schedule, now, advice)

    def _take_end(self, feed: _Feed) -> None:
        feed.exchange = None
        self.bytes_read += feed.size
        if feed.status == 204 and feed.read.after is not None:
            self._take_unchanged(feed)
        elif feed.status == 200:
            self._take_value(feed)
        else:
            self._fail(feed)

    def _take_unchanged(self, feed: _Feed) -> None:
        now = transport.read_clock()
        waited = now - feed.sent_at >= WAITED * feed.read.wait
        polling.record_response(feed.schedule, now, feed.read, waited)
        revision = feed.headers.get(REVISION_HEADER, "")
        shown = int(revision) if revision.isdecimal() else feed.read.after
        self._takers.unchanged(feed.kind, shown)

    def _take_value(self, feed: _Feed) -> None:
        data = b"".join(feed.parts)
        is_text = feed.kind is configuration.DocumentKind.TEXT
        try:
            value = msgspec.json.decode(
                data, type=PublishedText if is_text else _PublishedList
            )
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._fail(feed)
            return
        now = transport.read_clock()
        after = feed.read.after
        # Nothing published yet, or nothing new: to be asked for again, but
        # not at once.
        useful = value.revision > (after or 0)
        polling.record_response(feed.schedule, now, feed.read, useful)
        if is_text:
            self._takers.text(value)
        else:
            self._takers.vms(membership.VmList(value.revision, value.vms))


def _write_path(feed: _Feed) -> str:
    if feed.read.after is None:
        return feed.path
    return f"{feed.path}?after={feed.read.after}&wait={feed.read.wait:g}"


def _take_head(
    feed: _Feed, status: int, headers: list[tuple[str, str]]
) -> None:
    feed.status = status
    feed.headers = dict(headers)


def _read_seconds(text: str) -> float:
    """Reads a Retry-After; one that names a date counts as none."""
    return float(text) if text.isdecimal() else 0.0
