"""Fetches documents from peers, and serves them to peers, over HTTP."""

__all__ = ["DocumentExchanger"]

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
"""Seconds after which a fetch is aborted."""

MAX_RESPONSE_BYTES = 1 << 24
"""Maximum size of a peer's response, in bytes."""

BodyHandler = Callable[[bytes], None]


@dataclasses.dataclass(slots=True)
class _Fetch:
    """A fetch in progress.

    Attributes:
        address: Data address of the peer.
        deadline: Time at which the fetch is aborted.
        exchange: The HTTP request in progress: for an offer, then for its
            blocks.
    """

    address: str
    deadline: float
    exchange: transport.Exchange | None = None


class DocumentExchanger:
    """Performs a replica's fetches and answers those of its peers.

    Attributes:
        fetches: Number of requests sent to peers.
        failures: Number of failed fetches.
        bytes_received: Total size of the responses of peers, in bytes.
        bytes_sent: Total size of the requests and responses sent to peers, in
            bytes.
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
            client: HTTP client that sends the requests.
            authenticator: Signs and verifies requests and responses.
            on_events: Called with the changes of the replica after a fetch.
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
        """Returns the time at which `run` has to be called next."""
        deadlines = (fetch.deadline for fetch in self._fetches.values())
        return min([peers.find_next_due(self._state), *deadlines])

    def run(self, now: float) -> None:
        """Aborts fetches that timed out and starts those that are due."""
        expired = [
            pending
            for pending in self._fetches.values()
            if now >= pending.deadline
        ]
        for fetch in expired:
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
                lambda data, fetch=fetch: self._handle_offer(fetch, data),
            )

    def handle_call(self, call: transport.IncomingCall) -> bool:
        """Answers a request if a peer sent it to the replica.

        The configuration text is confidential to the fleet. Other senders are
        treated as if the path didn't exist. A peer is recognized by the
        signature of the request, or by its IP address if the fleet has no
        shared key.

        Args:
            call: An incoming request.

        Returns:
            Whether the request was answered here.
        """
        if call.path not in (offers.OFFER_PATH, offers.BLOCKS_PATH):
            return False
        if not self._is_from_peer(call):
            return False
        try:
            body = self._create_response(call.path, call.body)
        except errors.MessageRefused as error:
            call.fail(errors.ErrorKind.MALFORMED_REQUEST, str(error))
            return True
        self.bytes_sent += len(body)
        signature = self._authenticator.sign_body(call.path, body)
        call.respond(200, body, ((messages.SIGNATURE_HEADER, signature),))
        return True

    def _is_from_peer(self, call: transport.IncomingCall) -> bool:
        if self._authenticator.enabled:
            signature = call.headers.get(messages.SIGNATURE_HEADER, "")
            return self._authenticator.verify_body(
                call.path, call.body, signature
            )
        return peers.is_listed_host(self._state.directory, call.remote)

    def _create_response(self, path: str, body: bytes) -> bytes:
        if path == offers.OFFER_PATH:
            request = offers.decode(body, offers.OfferRequest)
            return offers.encode(offers.create_offer(self._state, request))
        block_request = offers.decode(body, offers.BlockRequest)
        return offers.encode(offers.collect_blocks(self._state, block_request))

    def _post(
        self, fetch: _Fetch, path: str, body: bytes, on_body: BodyHandler
    ) -> None:
        self.fetches += 1
        self.bytes_sent += len(body)
        parts: list[bytes] = []
        heads: list[tuple[int, dict[str, str]]] = []

        def collect(data: bytes) -> None:
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
                on_body(data)
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
                on_data=collect,
                on_end=finish,
                on_failure=lambda _: self._fail(fetch),
            ),
        )

    def _handle_offer(self, fetch: _Fetch, data: bytes) -> None:
        self.bytes_received += len(data)
        offer = offers.decode(data, offers.Offer)
        wanted = offers.create_block_request(self._state, offer)
        if not wanted.names:
            self._finish(fetch, offer, offers.Blocks(()))
            return
        self._post(
            fetch,
            offers.BLOCKS_PATH,
            offers.encode(wanted),
            lambda blocks: self._handle_blocks(fetch, offer, blocks),
        )

    def _handle_blocks(
        self, fetch: _Fetch, offer: offers.Offer, data: bytes
    ) -> None:
        self.bytes_received += len(data)
        self._finish(fetch, offer, offers.decode(data, offers.Blocks))

    def _finish(
        self, fetch: _Fetch, offer: offers.Offer, blocks: offers.Blocks
    ) -> None:
        events, is_complete = offers.apply_offer(self._state, offer, blocks)
        if is_complete:
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
