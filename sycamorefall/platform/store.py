"""Reads the configuration and the upstreams from the platform's store."""

__all__ = ["StoreReader"]

from collections.abc import Iterable, Mapping
import dataclasses
import urllib.parse

from sycamorefall import errors, messages, observation, settings, transport
from sycamorefall.direct import daemon as daemon_module
from sycamorefall.direct import records as records_module
from sycamorefall.direct import revisions, upstreams
from sycamorefall.direct.read_schedule import ReadKind
from sycamorefall.platform import documents

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"

ALL_KEYS = ""
"""Prefix of all keys. One read of all items takes one call less than separate
reads of the configuration and the upstreams."""

AFTER_ALL_KEYS = "~"
"""A key that sorts after all keys in use. A read that starts after it returns
no items but still the store's revision."""

MAX_RESPONSE_BYTES = 1 << 24
"""Maximum size in bytes of one page of a read: room for ten values of the
largest size."""

ERA_HEADER = "store-era"
"""Header with the store's era, in each of its responses. A store that is never
restored from a copy may lack it."""

_OK = 200


@dataclasses.dataclass(slots=True)
class _PendingRead:
    """State of a read in progress, which requests one page after the other.

    Attributes:
        kind: What is read.
        exchange: Request and response of the current page.
        status: HTTP status of the current page; 0 before its head arrived.
        chunks: Received parts of the current page's body.
        size: Total bytes of `chunks`.
        items: Items of the pages received so far.
        number: Lowest number of a change that the pages received so far state
            as the store's last; None before the first page. The lowest counts,
            because an earlier page doesn't show changes made before a later one
            was read.
        era: Era that the current page states; None if it is invalid.
        first_era: Era of the first page.
    """

    kind: ReadKind
    exchange: transport.Exchange | None = None
    status: int = 0
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    items: list[documents.Item] = dataclasses.field(default_factory=list)
    number: int | None = None
    era: int | None = None
    first_era: int | None = None


class StoreReader:
    """Reads the platform's records and puts them into effect.

    The decoded entries and the revisions of decoded records are kept, so that
    only changed records are decoded again.
    """

    __slots__ = (
        "_address",
        "_daemon",
        "_decoded_revisions",
        "_pending_read",
        "_upstreams",
    )

    def __init__(self, address: settings.Address, daemon: daemon_module.Daemon):
        self._address = address
        self._daemon = daemon
        self._pending_read: _PendingRead | None = None
        self._decoded_revisions: dict[str, int] = {}
        self._upstreams: dict[str, upstreams.UpstreamEntry] = {}

    def start_read(self, kind: ReadKind) -> None:
        """Sends a read; its result is passed to the daemon's `Replicator`."""
        self._pending_read = _PendingRead(kind)
        after = AFTER_ALL_KEYS if kind is ReadKind.PROBE else ""
        self._send_page(self._pending_read, after)

    def cancel_read(self) -> None:
        """Cancels the read in progress, if any."""
        pending_read, self._pending_read = self._pending_read, None
        if pending_read is not None:
            self._daemon.client.abort(pending_read.exchange)

    def _send_page(self, pending_read: _PendingRead, after: str) -> None:
        query = {"Prefix": ALL_KEYS}
        if after:
            query["After"] = after
        path = "/kv-range?" + urllib.parse.urlencode(query)
        request = transport.OutgoingRequest(self._address, "GET", path)
        pending_read.status, pending_read.chunks, pending_read.size = 0, [], 0
        listener = transport.Listener(
            on_head=lambda status, headers: self._handle_head(
                pending_read, status, headers
            ),
            on_data=lambda data: self._handle_data(pending_read, data),
            on_end=lambda: self._handle_end(pending_read),
            on_failure=lambda _: self._report_failure("connection"),
            on_sent=self._daemon.replicator.extend_read,
        )
        pending_read.exchange = self._daemon.client.send(request, listener)

    def _handle_head(
        self,
        pending_read: _PendingRead,
        status: int,
        headers: Iterable[tuple[str, str]],
    ) -> None:
        pending_read.status = status
        pending_read.era = documents.parse_era(dict(headers).get(ERA_HEADER))

    def _handle_data(self, pending_read: _PendingRead, data: bytes) -> None:
        pending_read.chunks.append(data)
        pending_read.size += len(data)
        if pending_read.size > MAX_RESPONSE_BYTES:
            self._daemon.client.abort(pending_read.exchange)
            self._report_failure("answer too large")

    def _handle_end(self, pending_read: _PendingRead) -> None:
        if pending_read.status != _OK:
            self._report_failure(f"status {pending_read.status}")
            return
        if pending_read.era is None:
            self._report_failure("invalid era")
            return
        if pending_read.first_era is None:
            pending_read.first_era = pending_read.era
        if pending_read.era != pending_read.first_era:
            self._report_failure("restored between two pages")
            return
        data = b"".join(pending_read.chunks)
        try:
            page = documents.decode_page(data)
        except errors.ConfigurationRefused as error:
            self._report_failure(str(error))
            return
        self._handle_page(pending_read, page)

    def _handle_page(
        self, pending_read: _PendingRead, page: documents.ItemPage
    ) -> None:
        number = page.current_rev
        if pending_read.number is not None:
            number = min(number, pending_read.number)
        pending_read.number = number
        items, last_key, refused = documents.decode_items(page)
        for reason in refused:
            observation.write_rate_limited(
                observation.Level.WARNING,
                "platform.item_refused",
                reason=reason,
            )
        pending_read.items += items
        if (
            pending_read.kind is ReadKind.SNAPSHOT
            and page.more_pages
            and last_key
        ):
            self._daemon.replicator.extend_read()
            self._send_page(pending_read, after=last_key)
            return
        self._pending_read = None
        era = pending_read.era
        revision = revisions.combine(era, number)
        if pending_read.kind is ReadKind.PROBE:
            self._daemon.replicator.receive_probe(revision)
        else:
            records = [
                documents.translate_item(item, era)
                for item in pending_read.items
            ]
            self._daemon.replicator.receive_snapshot(revision, records)

    def _report_failure(self, reason: str) -> None:
        self._pending_read = None
        self._daemon.replicator.receive_failure(reason)

    def apply_records(self, known: records_module.Records) -> None:
        """Puts the records that have changed into effect."""
        by_key = records_module.list_in_force(known)
        configuration = by_key.get(CONFIGURATION_KEY)
        if configuration is not None and not self._is_decoded(configuration):
            self._apply_configuration(configuration)
        self._apply_evacuations(by_key)
        entries = _select_records(by_key, UPSTREAM_PREFIX)
        new = [one for one in entries.values() if not self._is_decoded(one)]
        if new or self._upstreams.keys() - entries.keys():
            self._apply_upstreams(entries, new)
        self._decoded_revisions = {
            key: record.changed_revision for key, record in by_key.items()
        }

    def _is_decoded(self, record: messages.Record) -> bool:
        return (
            self._decoded_revisions.get(record.key) == record.changed_revision
        )

    def _apply_configuration(self, record: messages.Record) -> None:
        try:
            new = documents.decode_catalog(record)
        except errors.ConfigurationRefused as error:
            _log_refused(str(error))
        else:
            self._daemon.handle_catalog(new)

    def _apply_evacuations(self, by_key: Mapping[str, messages.Record]) -> None:
        """Puts the evacuations of failure domains into effect.

        A record that can't be decoded, or that names an unknown failure domain,
        is logged and evacuates nothing.
        """
        decoded: set[str] = set()
        for record in _select_records(by_key, EVACUATION_PREFIX).values():
            try:
                decoded.add(
                    documents.decode_evacuated_domain(record, EVACUATION_PREFIX)
                )
            except errors.ConfigurationRefused as error:
                if not self._is_decoded(record):
                    _log_refused(str(error))
        self._daemon.handle_evacuated_domains(decoded)

    def _apply_upstreams(
        self,
        entries: Mapping[str, messages.Record],
        new: Iterable[messages.Record],
    ) -> None:
        """Puts the entries of upstreams into effect.

        An entry that can't be decoded is logged, and its upstream is removed
        from the listing.

        Args:
            entries: All entries, by key.
            new: Entries that have changed since the last call.
        """
        decoded, refused = documents.decode_listing(new, UPSTREAM_PREFIX)
        for reason in refused.values():
            _log_refused(reason)
        decoded = {
            key: upstreams.keep_leaving(self._upstreams.get(key), entry)
            for key, entry in decoded.items()
        }
        self._upstreams = {
            key: entry
            for key, entry in (self._upstreams | decoded).items()
            if key in entries and key not in refused
        }
        self._daemon.handle_listing(list(self._upstreams.values()))


def _select_records(
    by_key: Mapping[str, messages.Record], prefix: str
) -> dict[str, messages.Record]:
    """Selects the records whose keys start with a prefix, by key."""
    return {
        key: record for key, record in by_key.items() if key.startswith(prefix)
    }


def _log_refused(reason: str) -> None:
    """Logs that a document is invalid and isn't put into effect."""
    observation.write_record(
        observation.Level.WARNING, "platform.refused", reason=reason
    )
