"""Fetches documents from peers and serves them, over HTTP."""

__all__ = [
    "DocumentExchanger",
]

from collections.abc import Callable
import dataclasses

from sycamorefall import (
    authentication,
    errors,
    messages,
    settings,
    transport,
)
from sycamorefall.replication import offers, peers, replica

FETCH_TIMEOUT = 5.0
"""Seconds after which a fetch is given up."""

MAX_RESPONSE_BYTES = 1 << 24
"""Bytes of a peer's answer that are taken at most."""

Take = Callable[[bytes], None]


@dataclasses.dataclass(slots=True)
class _Fetch:
    """A fetch in progress, of an offer or of its blocks."""

    address: str
    until: float
    exchange: transport.Exchange | None = None


class DocumentExchanger:
    """The I/O around a replica.

    Attributes:
        fetches: Requests sent to peers.
        failures: Fetches that gave nothing usable.
        bytes_received: Size of peers' answers.
        bytes_sent: Size of answers to peers and of requests to them.
    """

    __slots__ = (
        "_authenticator",
        "_client",
        "_fetches",
        "_on_events",
        "_state",
        "bytes_received",
        "bytes_sent",
        "failures",
        "fetches",
    )

    def __init__(
        self,
        state: replica.ReplicaState,
        client: transport.HttpClient,
        authenticator: authentication.Authenticator,
        on_events: Callable[[list[replica.Event]], None],
    ):
        """Creates an exchanger.

        Args:
            state: The replica.
            client: Sends the requests.
            authenticator: Signs and checks requests and answers.
            on_events: Called with what changed.
        """
        self._state = state
        self._client = client
        self._authenticator = authenticator
        self._on_events = on_events
        self._fetches: dict[str, _Fetch] = {}
        self.fetches = 0
        self.failures = 0
        self.bytes_received = 0
        self.bytes_sent = 0

    def find_next_due(self) -> float:
        """Tells when `run` has something to do next."""
        timeouts = (fetch.until for fetch in self._fetches.values())
        return min([peers.find_next_due(self._state), *timeouts])

    def run(self, now: float) -> None:
        """Gives up late fetches and begins those that are due."""
        late = [one for one in self._fetches.values() if now >= one.until]
        for fetch in late:
            self._client.abort(fetch.exchange)
            self._fail(fetch)
        for address in peers.start_due_fetches(self._state, now):
            fetch = _Fetch(address, now + FETCH_TIMEOUT)
            self._fetches[address] = fetch
            request = offers.create_offer_request(self._state)
            self._post(
                fetch,
                offers.OFFER_PATH,
                offers.encode(request),
                lambda data, fetch=fetch: self._take_offer(fetch, data),
            )

    def handle_call(self, call: transport.IncomingCall) -> bool:
        """Answers a peer's request.

        The text is the operators': who is not of the fleet, by a digest or
        else by its IP number, gets the answer of an unknown path.

        Args:
            call: A request that came in.

        Returns:
            Whether it was one for a replica.
        """
        if call.path not in (offers.OFFER_PATH, offers.BLOCKS_PATH):
            return False
        if not self._is_peer(call):
            return False
        try:
            body = self._make_answer(call.path, call.body)
        except errors.MessageRefused as fault:
            call.fail(errors.ErrorKind.MALFORMED_REQUEST, str(fault))
            return True
        self.bytes_sent += len(body)
        signature = self._authenticator.sign_body(call.path, body)
        call.respond(200, body, ((messages.SIGNATURE_HEADER, signature),))
        return True

    def _is_peer(self, call: transport.IncomingCall) -> bool:
        if self._authenticator.enabled:
            signature = call.headers.get(messages.SIGNATURE_HEADER, "")
            return self._authenticator.verify_body(
                call.path, call.body, signature
            )
        return peers.is_listed_host(self._state.directory, call.remote)

    def _make_answer(self, path: str, body: bytes) -> bytes:
        if path == offers.OFFER_PATH:
            request = offers.decode(body, offers.OfferRequest)
            return offers.encode(offers.create_offer(self._state, request))
        wanted = offers.decode(body, offers.BlockRequest)
        return offers.encode(offers.collect_blocks(self._state, wanted))

    def _post(self, fetch: _Fetch, path: str, body: bytes, take: Take) -> None:
        self.fetches += 1
        self.bytes_sent += len(body)
        parts: list[bytes] = []
        heads: list[tuple[int, dict[str, str]]] = []

        def feed(data: bytes) -> None:
            parts.append(data)
            if sum(map(len, parts)) > MAX_RESPONSE_BYTES:
                self._client.abort(fetch.exchange)
                self._fail(fetch)

        def finish() -> None:
            data = b"".join(parts)
            status, headers = heads[0]
            signature = headers.get(messages.SIGNATURE_HEADER.lower(), "")
            signed = self._authenticator.verify_body(path, data, signature)
            if status != 200 or not signed:
                self._fail(fetch)
                return
            try:
                take(data)
            except errors.MessageRefused:
                self._fail(fetch)

        signature = self._authenticator.sign_body(path, body)
        fetch.exchange = self._client.send(
            transport.OutgoingRequest(
                settings.parse_address(fetch.address),
                "POST",
                path,
                ((messages.SIGNATURE_HEADER, signature),),
                body,
            ),
            transport.Listener(
                on_head=lambda status, headers: heads.append(
                    (status, dict(headers))
                ),
                on_data=feed,
                on_end=finish,
                on_failure=lambda _: self._fail(fetch),
            ),
        )

    def _take_offer(self, fetch: _Fetch, data: bytes) -> None:
        self.bytes_received += len(data)
        offer = offers.decode(data, offers.Offer)
        wanted = offers.create_block_request(self._state, offer)
        if not wanted.names:
            self._end(fetch, offer, offers.Blocks(()))
            return
        self._post(
            fetch,
            offers.BLOCKS_PATH,
            offers.encode(wanted),
            lambda blocks: self._take_blocks(fetch, offer, blocks),
        )

    def _take_blocks(
        self, fetch: _Fetch, offer: offers.Offer, data: bytes
    ) -> None:
        self.bytes_received += len(data)
        self._end(fetch, offer, offers.decode(data, offers.Blocks))

    def _end(
        self, fetch: _Fetch, offer: offers.Offer, blocks: offers.Blocks
    ) -> None:
        events, is_whole = offers.apply_offer(self._state, offer, blocks)
        if is_whole:
            self._fetches.pop(fetch.address, None)
            now = transport.read_clock()
            peers.record_success(self._state, now, fetch.address, offer.settled)
        else:
            self._fail(fetch)
        self._on_events(events)

    def _fail(self, fetch: _Fetch) -> None:
        self.failures += 1
        self._fetches.pop(fetch.address, None)
        now = transport.read_clock()
        peers.record_failure(self._state, now, fetch.address)
