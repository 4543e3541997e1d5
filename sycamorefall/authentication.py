"""Who may speak between the processes: a key that all of them share.

Control messages and hand-outs carry a keyed digest (HMAC-SHA256), so that
nobody without the key can claim work, announce work or have a sidecar run
anything. Nothing is encrypted: whoever reads the network reads requests.
"""

__all__ = ["Authenticator", "create_authenticator"]

import hmac
import pathlib
import struct

from sycamorefall import errors, messages, settings

LEAST_KEY_LENGTH = 32
"""Characters that a key must have."""

DIGEST_SIZE = 16
"""Bytes of a control message's digest, truncated as RFC 2104 allows."""

_COUNTER = struct.Struct(">Q")
_HEAD_SIZE = DIGEST_SIZE + _COUNTER.size


class Authenticator:
    """Signs what this process sends and checks what it receives.

    The first key signs; a digest by any of the keys is accepted, so that a
    key can be replaced one process after another.

    Attributes:
        vm: This VM's name.
    """

    __slots__ = ("_counter", "_keys", "_seen", "vm")

    def __init__(self, vm: str, keys: tuple[bytes, ...] = ()):
        self.vm = vm
        self._keys = keys
        self._counter = 0
        self._seen: dict[str, tuple[int, int]] = {}

    @property
    def enabled(self) -> bool:
        """Whether there is a key; without one everybody is believed."""
        return bool(self._keys)

    def sign_message(self, to: str, data: bytes) -> bytes:
        """Puts a counter and a digest before a control message.

        Args:
            to: VM name of the receiver. It enters the digest, so a message
                that was overheard can't be sent to another process.
            data: The encoded envelope.

        Returns:
            What to send.
        """
        if not self._keys:
            return data
        self._counter += 1
        counter = _COUNTER.pack(self._counter)
        digest = _digest(self._keys[0], b"control", to, counter, data)
        return digest[:DIGEST_SIZE] + counter + data

    def verify_message(self, data: bytes) -> messages.Envelope:
        """Checks and decodes a control message.

        Guards against repetition by a third party: a counter that is not
        higher than the last one of the same sender's process is refused, and
        so is an earlier process of the sender. Messages of a link come in
        order, and one that is refused counts as lost.

        Args:
            data: Bytes as received.

        Returns:
            The envelope.

        Raises:
            errors.MessageRefused: Not signed, repeated or not an envelope.
        """
        if not self._keys:
            return messages.decode_envelope(data)
        digest, rest = data[:DIGEST_SIZE], data[DIGEST_SIZE:]
        counter, encoded = rest[: _COUNTER.size], data[_HEAD_SIZE:]
        expected = (
            _digest(key, b"control", self.vm, counter, encoded)[:DIGEST_SIZE]
            for key in self._keys
        )
        if not any(hmac.compare_digest(digest, one) for one in expected):
            raise errors.MessageRefused("wrong or missing digest")
        envelope = messages.decode_envelope(encoded)
        self._check_fresh(envelope, _COUNTER.unpack(counter)[0])
        return envelope

    def _check_fresh(self, envelope: messages.Envelope, counter: int) -> None:
        position = (envelope.incarnation, counter)
        if position <= self._seen.get(envelope.sender, (0, 0)):
            raise errors.MessageRefused(
                f"repeated or old message of {envelope.sender}"
            )
        self._seen[envelope.sender] = position

    def sign_order(self, sidecar: str, order: str, body: bytes) -> str:
        """Computes the digest of a hand-out.

        A repeated hand-out needs no counter: its claim is redeemed and its
        attempt on record, so the sidecar refuses it.

        Args:
            sidecar: VM name of the sidecar.
            order: The encoded `messages.AttemptOrder`.
            body: The request's body.

        Returns:
            The digest in hex; empty without a key.
        """
        if not self._keys:
            return ""
        return _sign_order(self._keys[0], sidecar, order, body)

    def verify_order(self, order: str, body: bytes, digest: str) -> bool:
        """Tells whether a hand-out to this sidecar is signed with a key."""
        if not self._keys:
            return True
        expected = [
            _sign_order(key, self.vm, order, body) for key in self._keys
        ]
        given = digest.encode("latin-1", "replace")
        return any(hmac.compare_digest(given, one.encode()) for one in expected)

    def sign_body(self, path: str, body: bytes) -> str:
        """Computes the digest of a request or answer between replicas.

        A repeated one does no harm: what it offers is taken only if newer.

        Args:
            path: Path of the request.
            body: Body of the request or of its answer.

        Returns:
            The digest in hex; empty without a key.
        """
        return _sign_body(self._keys[0], path, body) if self._keys else ""

    def verify_body(self, path: str, body: bytes, digest: str) -> bool:
        """Tells whether a body between replicas is signed with a key."""
        if not self._keys:
            return True
        given = digest.encode("latin-1", "replace")
        return any(
            hmac.compare_digest(given, _sign_body(key, path, body).encode())
            for key in self._keys
        )


def _sign_body(key: bytes, path: str, body: bytes) -> str:
    return _digest(key, b"replication", path, body).hex()


def _digest(key: bytes, purpose: bytes, *parts: str | bytes) -> bytes:
    """Computes a digest; each part's length keeps the parts apart."""
    encoded = (
        part.encode() if isinstance(part, str) else part for part in parts
    )
    framed = (_COUNTER.pack(len(part)) + part for part in encoded)
    return hmac.digest(key, purpose + b"".join(framed), "sha256")


def _sign_order(key: bytes, sidecar: str, order: str, body: bytes) -> str:
    return _digest(key, b"attempt", sidecar, order, body).hex()


def create_authenticator(
    vm: str, config: settings.SecuritySettings
) -> Authenticator:
    """Creates a process's authenticator.

    Args:
        vm: This VM's name.
        config: Section `[security]` of its settings.

    Returns:
        The authenticator; it believes everybody if no key file is set.

    Raises:
        errors.SettingsRefused: The key file can't be read or used.
    """
    path = config.shared_key_file
    if not path:
        return Authenticator(vm)
    try:
        lines = pathlib.Path(path).read_bytes().split()
    except OSError as fault:
        raise errors.SettingsRefused(f"shared_key_file: {fault}") from fault
    if not lines or min(map(len, lines)) < LEAST_KEY_LENGTH:
        raise errors.SettingsRefused(
            f"shared_key_file {path}: expected keys of at least "
            f"{LEAST_KEY_LENGTH} characters, one a line"
        )
    return Authenticator(vm, tuple(lines))
