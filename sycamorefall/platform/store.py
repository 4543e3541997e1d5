"""Reads the platform's store: configuration and upstreams."""

__all__ = ["StoreReader"]

from collections.abc import Iterable, Mapping
import dataclasses
import urllib.parse

import msgspec

from sycamorefall import errors, messages, observation, settings, transport
from sycamorefall.direct import daemon as daemon_module
from sycamorefall.direct import records as records_module
from sycamorefall.direct import upstreams
from sycamorefall.direct.read_schedule import ReadKind
from sycamorefall.platform import documents

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"

ALL_KEYS = ""
"""Prefix of a read of everything: one call less than a read of each kind."""

BEHIND_ALL = "~"
"""A key after all others: what lies behind it is nothing, and the answer
still tells the store's revision."""

MAX_RESPONSE_BYTES = 1 << 24
"""Bytes of an answer that are taken at most: ten values of the largest size."""

_OK = 200


@dataclasses.dataclass(slots=True)
class _Call:
    """A read in progress, one page of it after the other.

    Attributes:
        kind: What is read.
        exchange: The page's request and answer.
        status: Status of the answer.
        parts: What came of its body.
        size: Bytes of that.
        items: The pages before.
        revision: The lowest revision among them: an earlier page doesn't
            show what changed before a later one was read.
    """

    kind: ReadKind
    exchange: transport.Exchange | None = None
    status: int = 0
    parts: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    items: list[documents.Item] = dataclasses.field(default_factory=list)
    revision: int | None = None


class StoreReader:
    """Sends the reads that are planned, and brings into force what they give.

    Decoded documents are kept, so that a change costs no more than what has
    changed.
    """

    __slots__ = ("_address", "_call", "_daemon", "_decoded", "_listed")

    def __init__(self, address: settings.Address, daemon: daemon_module.Daemon):
        self._address = address
        self._daemon = daemon
        self._call: _Call | None = None
        self._decoded: dict[str, int] = {}
        self._listed: dict[str, upstreams.UpstreamEntry] = {}

    def start_read(self, kind: ReadKind) -> None:
        """Sends a read; its end is told to the daemon's `Replicator`."""
        self._call = _Call(kind)
        after = BEHIND_ALL if kind is ReadKind.PROBE else ""
        self._send_page(self._call, after)

    def cancel_read(self) -> None:
        """Gives up the read in progress."""
        call, self._call = self._call, None
        if call is not None:
            self._daemon.client.abort(call.exchange)

    def _send_page(self, call: _Call, after: str) -> None:
        query = {"Prefix": ALL_KEYS}
        if after:
            query["After"] = after
        path = "/kv-range?" + urllib.parse.urlencode(query)
        request = transport.OutgoingRequest(self._address, "GET", path)
        call.status, call.parts, call.size = 0, [], 0
        listener = transport.Listener(
            on_head=lambda status, _: self._take_head(call, status),
            on_data=lambda data: self._take_data(call, data),
            on_end=lambda: self._take_end(call),
            on_failure=lambda _: self._fail("connection"),
        )
        call.exchange = self._daemon.client.send(request, listener)

    def _take_head(self, call: _Call, status: int) -> None:
        call.status = status

    def _take_data(self, call: _Call, data: bytes) -> None:
        call.parts.append(data)
        call.size += len(data)
        if call.size > MAX_RESPONSE_BYTES:
            self._daemon.client.abort(call.exchange)
            self._fail("answer too large")

    def _take_end(self, call: _Call) -> None:
        if call.status != _OK:
            self._fail(f"status {call.status}")
            return
        data = b"".join(call.parts)
        try:
            page = msgspec.json.decode(data, type=documents.ItemPage)
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            self._fail(str(fault))
            return
        self._take_page(call, page)

    def _take_page(self, call: _Call, page: documents.ItemPage) -> None:
        revision = page.current_rev
        if call.revision is not None:
            revision = min(revision, call.revision)
        call.revision = revision
        call.items += page.items
        if call.kind is ReadKind.SNAPSHOT and page.more_pages and page.items:
            self._daemon.replicator.extend_read()
            self._send_page(call, after=page.items[-1].key)
            return
        self._call = None
        if call.kind is ReadKind.PROBE:
            self._daemon.replicator.receive_probe(revision)
        else:
            listed = [documents.translate_item(item) for item in call.items]
            self._daemon.replicator.receive_snapshot(revision, listed)

    def _fail(self, reason: str) -> None:
        self._call = None
        self._daemon.replicator.receive_failure(reason)

    def apply_records(self, known: records_module.Records) -> None:
        """Brings records into force, as far as they are new."""
        configuration = known.by_key.get(CONFIGURATION_KEY)
        if configuration is not None and not self._is_decoded(configuration):
            self._adopt_configuration(configuration)
        entries = {
            key: record
            for key, record in known.by_key.items()
            if key.startswith(UPSTREAM_PREFIX)
        }
        new = [one for one in entries.values() if not self._is_decoded(one)]
        if new or self._listed.keys() - entries.keys():
            self._adopt_entries(entries, new)
        self._decoded = {
            key: record.changed_revision for key, record in known.by_key.items()
        }

    def _is_decoded(self, record: messages.Record) -> bool:
        return self._decoded.get(record.key) == record.changed_revision

    def _adopt_configuration(self, record: messages.Record) -> None:
        try:
            new = documents.decode_catalog(record)
        except errors.ConfigurationRefused as fault:
            _log_refused(str(fault))
        else:
            self._daemon.handle_catalog(new)

    def _adopt_entries(
        self,
        entries: Mapping[str, messages.Record],
        new: Iterable[messages.Record],
    ) -> None:
        """Brings the entries of upstreams into force.

        Args:
            entries: All of them.
            new: Those that have changed.
        """
        decoded, refused = documents.decode_listing(new, UPSTREAM_PREFIX)
        for reason in refused.values():
            _log_refused(reason)
        self._listed = {
            key: entry
            for key, entry in (self._listed | decoded).items()
            if key in entries and key not in refused
        }
        self._daemon.handle_listing(list(self._listed.values()))


def _log_refused(reason: str) -> None:
    """Logs a document that can't be used."""
    observation.write_record(
        observation.Level.WARNING, "platform.refused", reason=reason
    )
