"""Reads the platform's store: configuration, upstreams, and a watch."""

__all__ = ["StoreReader"]

import dataclasses
import urllib.parse

import msgspec

from sycamorefall import errors, observation, settings, transport
from sycamorefall.direct import daemon as daemon_module
from sycamorefall.direct import following
from sycamorefall.direct.following import Read
from sycamorefall.platform import documents

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"

WATCH_PREFIX = ""
"""What the watch covers: one for all keys is one call instead of two."""

LARGEST_ANSWER = 1 << 24
"""Bytes of an answer that are taken at most: ten values of the largest size."""

_HISTORY_LOST = 410


@dataclasses.dataclass(slots=True)
class _Call:
    """A read in progress."""

    exchange: transport.Exchange
    status: int = 0
    parts: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0


class StoreReader:
    """Sends the reads that are planned and passes on what they give."""

    __slots__ = (
        "_address",
        "_calls",
        "_daemon",
        "_following",
        "_pages",
        "_reachable",
        "_refused",
    )

    def __init__(
        self,
        address: settings.Address,
        daemon: daemon_module.Daemon,
        seed: int,
    ):
        self._address = address
        self._daemon = daemon
        self._following = following.create_following(
            transport.read_clock(), seed
        )
        self._calls: dict[Read, _Call] = {}
        self._pages: list[documents.Item] = []
        self._reachable = True
        self._refused: dict[Read, set[str]] = {}

    def find_next_due(self) -> float:
        """Tells when a read is due next, or to be given up."""
        return following.find_next_due(self._following)

    def run(self, now: float) -> None:
        """Sends the reads that are due and gives up late ones."""
        for kind in following.find_expired(self._following, now):
            self._daemon.client.abort(self._calls[kind].exchange)
            self._fail(kind, "timeout")
        for kind in following.plan_reads(self._following, now):
            self._send(kind)

    def _send(self, kind: Read, after: str = "") -> None:
        request = transport.OutgoingRequest(
            self._address, "GET", self._write_path(kind, after)
        )
        listener = transport.Listener(
            on_head=lambda status, _: self._take_head(kind, status),
            on_data=lambda data: self._take_data(kind, data),
            on_end=lambda: self._take_end(kind),
            on_failure=lambda _: self._fail(kind, "connection"),
        )
        self._calls[kind] = _Call(self._daemon.client.send(request, listener))

    def _write_path(self, kind: Read, after: str) -> str:
        match kind:
            case Read.LISTING:
                query = {"Prefix": UPSTREAM_PREFIX}
                if after:
                    query["After"] = after
                return "/kv-range?" + urllib.parse.urlencode(query)
            case Read.CATALOG:
                query = {"Key": CONFIGURATION_KEY}
                return "/kv-key?" + urllib.parse.urlencode(query)
            case Read.WATCH:
                query = {
                    "Prefix": WATCH_PREFIX,
                    "After": str(self._following.seen),
                    "WaitMs": str(int(following.WATCH_WAIT * 1000)),
                }
                return "/kv-watch?" + urllib.parse.urlencode(query)

    def _take_head(self, kind: Read, status: int) -> None:
        self._calls[kind].status = status

    def _take_data(self, kind: Read, data: bytes) -> None:
        call = self._calls[kind]
        call.parts.append(data)
        call.size += len(data)
        if call.size > LARGEST_ANSWER:
            self._daemon.client.abort(call.exchange)
            self._fail(kind, "answer too large")

    def _take_end(self, kind: Read) -> None:
        call = self._calls[kind]
        if call.status != 200:
            lost = call.status == _HISTORY_LOST
            self._fail(kind, f"status {call.status}", history_lost=lost)
            return
        try:
            self._take_answer(kind, b"".join(call.parts))
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            self._fail(kind, str(fault))

    def _take_answer(self, kind: Read, data: bytes) -> None:
        match kind:
            case Read.LISTING:
                page = msgspec.json.decode(data, type=documents.ItemPage)
                self._take_page(page)
            case Read.CATALOG:
                item = msgspec.json.decode(data, type=documents.SingleItem)
                self._take_configuration(item)
            case Read.WATCH:
                answer = msgspec.json.decode(data, type=documents.WatchAnswer)
                self._calls.pop(kind)
                now = transport.read_clock()
                revision = answer.current_rev if answer.events else 0
                following.note_watch(self._following, now, revision)

    def _take_page(self, page: documents.ItemPage) -> None:
        self._pages += page.items
        if page.more_pages and page.items:
            self._send(Read.LISTING, after=page.items[-1].key)
            return
        items, self._pages = self._pages, []
        self._calls.pop(Read.LISTING)
        self._note_reachable()
        listing, refused = documents.decode_listing(items, UPSTREAM_PREFIX)
        self._note_refused(Read.LISTING, refused)
        self._daemon.take_listing(listing)
        now = transport.read_clock()
        proof = following.note_listing(self._following, now, page.current_rev)
        self._daemon.take_proof(proof)

    def _take_configuration(self, item: documents.SingleItem) -> None:
        self._calls.pop(Read.CATALOG)
        sent_at = following.note_catalog(self._following, item.current_rev)
        try:
            new = documents.decode_catalog(item)
        except errors.ConfigurationRefused as fault:
            self._note_refused(Read.CATALOG, [str(fault)])
            return
        self._note_refused(Read.CATALOG, [])
        self._daemon.take_catalog(new)
        self._daemon.take_proof(sent_at)

    def _note_refused(self, kind: Read, reasons: list[str]) -> None:
        """Logs each document that can't be used, once until that changes."""
        known = self._refused.get(kind, set())
        for reason in set(reasons) - known:
            observation.write_record(
                observation.Level.WARNING, "platform.refused", reason=reason
            )
        self._refused[kind] = set(reasons)

    def _note_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            observation.write_record(
                observation.Level.INFO, "platform.regained"
            )

    def _fail(
        self, kind: Read, reason: str, history_lost: bool = False
    ) -> None:
        self._calls.pop(kind, None)
        self._pages = [] if kind is Read.LISTING else self._pages
        now = transport.read_clock()
        following.note_failure(self._following, now, kind, history_lost)
        if self._reachable and kind is not Read.WATCH:
            self._reachable = False
            observation.write_record(
                observation.Level.WARNING,
                "platform.lost",
                read=kind.value,
                reason=reason,
            )
