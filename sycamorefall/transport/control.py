"""Links for control messages between the processes of the fleet.

Each process receives on one socket of its own and sends on one socket per peer,
so a slow or unreachable peer delays no other. Messages that do not fit into a
link's short buffer are dropped and counted: control messages may be lost.
"""

__all__ = ["ControlLinks"]

import collections
from collections.abc import Callable, Collection, Iterable

import circuits
from circuits.core import pollers
import msgspec
import pynng

from sycamorefall import (
    authentication,
    errors,
    messages,
    names,
    observation,
)
from sycamorefall.transport import loop

SEND_BUFFER = 256
"""Maximum number of messages that wait for a slow or unreachable peer."""

RECEIVE_BUFFER = 4096
"""Maximum number of received messages that the loop has not read yet."""

RECONNECT_MILLISECONDS = (50, 1000)
"""Minimum and maximum pause between two attempts to connect to a peer."""

MAX_READS_PER_EVENT = 256
"""Maximum number of messages read before the loop handles other events."""

CATCH_UP_TIME = 0.05
"""Seconds for which a process that is behind waits for further messages before
the loop handles other events."""

CATCH_UP_WAIT_MS = 2
"""Milliseconds for which it waits for a single one."""


class _Link:
    """A socket that sends to one peer."""

    __slots__ = ("address", "socket")

    def __init__(self, address: str):
        self.address = address
        shortest, longest = RECONNECT_MILLISECONDS
        self.socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER,
            reconnect_time_min=shortest,
            reconnect_time_max=longest,
        )
        self.socket.dial(f"tcp://{address}", block=False)


class ControlLinks(circuits.BaseComponent):
    """Sends and receives control messages on the event loop.

    Attributes:
        bytes_sent: Size of all messages sent.
        bytes_received: Size of all messages received.
        bytes_sent_by_kind: Size of all messages sent, by the receiver's failure
            domain as `classify_domain` returns it, and the kind of message.
        dropped: Number of messages dropped because a link was full.
        refused: Number of received messages that could not be verified or
            decoded.
        unopened: Number of links that could not be opened.
        unknown_names_dropped: Number of received messages dropped because they
            used names that are not defined here.
    """

    channel = "control"

    def __init__(
        self,
        listen: str,
        find_address: Callable[[str], str | None],
        on_envelope: Callable[[messages.Envelope], None],
        authenticator: authentication.Authenticator,
        on_unknown_names: Callable[[messages.Envelope], None] = lambda _: None,
        classify_domain: Callable[[str], str] = lambda _: "",
        is_behind: Callable[[], bool] = lambda: False,
    ):
        """Opens the listening socket.

        Args:
            listen: `IP:port` at which peers reach this process.
            find_address: Returns the `IP:port` of a peer by VM name.
            on_envelope: Called with each received message.
            authenticator: Signs and verifies messages.
            on_unknown_names: Called with each message that is dropped because
                of undefined names, before its sender is asked to define them.
            classify_domain: Returns the label of a peer's failure domain by VM
                name; bytes sent are counted by it.
            is_behind: Returns whether the messages handled last were sent long
                ago.

        Raises:
            errors.AddressInUse: The address can't be bound.
        """
        super().__init__()
        self._find_address = find_address
        self._on_envelope = on_envelope
        self._on_unknown_names = on_unknown_names
        self._classify_domain = classify_domain
        self._is_behind = is_behind
        self._authenticator = authenticator
        self._links: dict[str, _Link] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.bytes_sent_by_kind: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.dropped = 0
        self.refused = 0
        self.unknown_names_dropped = 0
        self.unopened = 0
        self._names = names.NameTable()
        self._last_sent: messages.Envelope | None = None
        with loop.keep_signals_from_threads():
            # The first socket starts the library's threads.
            self._inbox = pynng.Pull0(
                recv_buffer_size=RECEIVE_BUFFER, recv_timeout=CATCH_UP_WAIT_MS
            )
        try:
            self._inbox.listen(f"tcp://{listen}")
        except pynng.NNGException as error:
            raise errors.AddressInUse(f"control {listen}: {error}") from error

    @property
    def link_count(self) -> int:
        """Number of links to peers."""
        return len(self._links)

    def attach(self, poller: pollers.BasePoller) -> None:
        """Registers the receiving socket with the loop's poller."""
        poller.addReader(self, self._inbox.recv_fd)

    def send(self, to: str, envelope: messages.Envelope) -> None:
        """Sends a message, or drops it if the peer's link is full."""
        self.send_all((to,), envelope)

    def send_all(
        self, receivers: Iterable[str], envelope: messages.Envelope
    ) -> None:
        """Sends a message to several peers.

        The message is encoded once for all peers to which its names are
        defined: with 67 peers, encoding took most of the time that sending
        took.
        """
        self._last_sent = envelope
        links = {
            to: link
            for to in receivers
            if (link := self._get_or_open_link(to)) is not None
        }
        before, encoded = None, b""
        compacts = names.compact_envelopes(self._names, links, envelope)
        for to, compact in compacts:
            if compact is not before:
                before, encoded = compact, messages.encode_envelope(compact)
            self._push(links[to], to, envelope, encoded)

    def _get_or_open_link(self, to: str) -> _Link | None:
        """Returns the link to a peer, and opens it if there is none.

        Returns None if the peer's address is unknown.
        """
        address = self._find_address(to)
        if address is None:
            return None
        link = self._links.get(to)
        if link is None or link.address != address:
            self._close_link(to)
            try:
                link = self._links[to] = _Link(address)
            except pynng.NNGException:
                # No descriptor or no memory is left for a socket. Messages may
                # be lost, and the next one tries again.
                self.unopened += 1
                self.dropped += 1
                return None
        return link

    def _push(
        self, link: _Link, to: str, envelope: messages.Envelope, encoded: bytes
    ) -> None:
        data = self._authenticator.sign_message(to, encoded)
        try:
            link.socket.send(data, block=False)
        except pynng.NNGException:
            self.dropped += 1
        else:
            self.bytes_sent += len(data)
            kind = type(envelope.message).__name__
            self.bytes_sent_by_kind[self._classify_domain(to), kind] += len(
                data
            )

    def close(self) -> None:
        """Closes all sockets; no message can be sent any more."""
        self._inbox.close()
        self.retain_peers(set())

    def _close_link(self, name: str) -> None:
        link = self._links.pop(name, None)
        if link is not None:
            link.socket.close()

    def update_digests(self, known: Collection[str]) -> None:
        """Replaces the digests of names by those of the text in force."""
        names.update_digests(self._names, known)

    def retain_peers(self, vms: set[str]) -> None:
        """Closes the links to VMs other than the given ones."""
        for name in self._links.keys() - vms:
            self._close_link(name)
        names.retain_peers(self._names, vms)

    @circuits.handler("_read")
    def _on_read(self, _) -> None:
        started_at = loop.read_clock()
        for _ in range(MAX_READS_PER_EVENT):
            data = self._receive()
            if data is None and self._is_behind():
                data = self._await_message(started_at)
            if data is None:
                return
            self._handle_message(data)

    def _receive(self, block: bool = False) -> bytes | None:
        try:
            return self._inbox.recv(block=block)
        except pynng.NNGException:
            return None

    def _await_message(self, started_at: float) -> bytes | None:
        """Waits briefly for a message that the socket's thread is to read.

        On a VM without processor time to spare that thread runs only while the
        loop waits, and fetches one message of each peer. Of the messages that
        queue behind, the loop would handle ever older ones.
        """
        if loop.read_clock() - started_at >= CATCH_UP_TIME:
            return None
        return self._receive(block=True)

    def _handle_message(self, data: bytes) -> None:
        self.bytes_received += len(data)
        try:
            envelope = self._authenticator.verify_message(data)
        except errors.MessageRefused as error:
            self.refused += 1
            observation.write_rate_limited(
                observation.Level.WARNING,
                "control.refused",
                reason=str(error),
                refused=self.refused,
            )
            return
        expanded, unknown = names.expand_envelope(self._names, envelope)
        if expanded is None:
            self.unknown_names_dropped += 1
            self._on_unknown_names(envelope)
            self._request_names(envelope.sender, unknown)
            return
        if isinstance(expanded.message, messages.UnknownNames):
            indexes = expanded.message.indexes
            names.mark_undefined(self._names, expanded.sender, indexes)
        self._on_envelope(expanded)

    def _request_names(self, sender: str, unknown: tuple[int, ...]) -> None:
        """Asks a peer to define names that its message used.

        Guards against a lost definition, and against a restart of this process,
        which loses the names that peers defined: every message that uses such a
        name would be dropped. On the request the peer also repeats definitions
        that may have been lost.
        """
        if unknown and self._last_sent is not None:
            request = msgspec.structs.replace(
                self._last_sent, message=messages.UnknownNames(unknown)
            )
            self.send(sender, request)
