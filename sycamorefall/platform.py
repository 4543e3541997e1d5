"""Reads the platform's configuration service: operators' text and VM list."""

__all__ = ["PlatformReader", "PublishedText"]

from collections.abc import Callable
import random

import msgspec

from sycamorefall import membership, settings, transport

READ_TIMEOUT = 2.0
"""Seconds after which an unanswered read is given up."""


class PublishedText(msgspec.Struct, frozen=True):
    """The operators' text at a revision, as the platform publishes it."""

    revision: int
    text: str


class PlatformReader:
    """Reads the text and the list in turn, at jittered intervals.

    Attributes:
        reads: Reads sent.
        failures: Reads that gave nothing usable.
        bytes_read: Size of the answers.
    """

    __slots__ = (
        "_client",
        "_exchanges",
        "_next_read",
        "_on_text",
        "_on_vms",
        "_random",
        "_read_until",
        "_settings",
        "bytes_read",
        "failures",
        "reads",
    )

    def __init__(
        self,
        platform: settings.PlatformSettings,
        client: transport.HttpClient,
        on_text: Callable[[PublishedText], None],
        on_vms: Callable[[membership.VmList], None],
        seed: int,
    ):
        """Creates a reader; the first read is due at once.

        Args:
            platform: Where to read and how often.
            client: Sends the reads.
            on_text: Called with each text read.
            on_vms: Called with each list read.
            seed: Seed of the jitter.
        """
        self._settings = platform
        self._client = client
        self._on_text = on_text
        self._on_vms = on_vms
        self._random = random.Random(seed)
        self._next_read = 0.0
        self._read_until = 0.0
        self._exchanges: list[transport.Exchange] = []
        self.reads = 0
        self.failures = 0
        self.bytes_read = 0

    def find_next_due(self) -> float:
        """Tells when the next read is due."""
        return self._next_read

    def run(self, now: float) -> None:
        """Sends the reads that are due."""
        if now < self._next_read:
            return
        jitter = self._random.uniform(0.75, 1.25)
        self._next_read = now + self._settings.poll_interval * jitter
        if self._exchanges and now < self._read_until:
            return
        for exchange in self._exchanges:
            self._client.abort(exchange)
        self._read_until = now + READ_TIMEOUT
        self._exchanges = [
            self._read("/v1/config", PublishedText, self._on_text),
            self._read("/v1/vms", membership.VmList, self._on_vms),
        ]

    def _read(
        self, path: str, kind: type, take: Callable[[object], None]
    ) -> transport.Exchange:
        self.reads += 1
        parts: list[bytes] = []
        statuses: list[int] = []

        def finish() -> None:
            self._exchanges = [
                other for other in self._exchanges if other is not exchange
            ]
            if statuses == [200]:
                self._decode(b"".join(parts), kind, take)
            else:
                self.failures += 1

        def fail(_: transport.Stage) -> None:
            statuses.clear()
            finish()

        exchange = self._client.send(
            transport.OutgoingRequest(self._settings.address, "GET", path),
            transport.Listener(
                on_head=lambda status, _: statuses.append(status),
                on_data=parts.append,
                on_end=finish,
                on_failure=fail,
            ),
        )
        return exchange

    def _decode(
        self, data: bytes, kind: type, take: Callable[[object], None]
    ) -> None:
        self.bytes_read += len(data)
        try:
            published = msgspec.json.decode(data, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.failures += 1
            return
        take(published)
