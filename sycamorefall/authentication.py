"""Authentication between processes by a shared key.

Control messages, attempt orders, and requests and responses between replicas
carry a keyed digest (HMAC-SHA256). Without the key, nobody can claim work,
announce work or have a sidecar run a request. Nothing is encrypted: whoever can
read the network can read requests.
"""

__all__ = ["Authenticator", "create_authenticator"]

import hmac
import pathlib
import struct

from sycamorefall import errors, messages, settings

MIN_KEY_LENGTH = 32
"""Minimum length of a key, in characters."""

DIGEST_SIZE = 16
"""Size of a control message's digest in bytes; truncated as RFC 2104 allows."""

_UINT64 = struct.Struct(">Q")
_HEADER_SIZE = DIGEST_SIZE + _UINT64.size


class Authenticator:
    """Signs the messages that this process sends and verifies received ones.

    The first key signs, and a digest by any of the keys is accepted. Keys can
    therefore be replaced one process after another.

    Attributes:
        vm: Name of this VM.
    """

    __slots__ = ("_counter", "_keys", "_last_positions", "vm")

    def __init__(self, vm: str, keys: tuple[bytes, ...] = ()):
        self.vm = vm
        self._keys = keys
        self._counter = 0
        self._last_positions: dict[str, tuple[int, int]] = {}

    @property
    def enabled(self) -> bool:
        """Whether there is a key. Without one, every message is accepted."""
        return bool(self._keys)

    def sign_message(self, to: str, data: bytes) -> bytes:
        """Prepends a digest and a counter to a control message.

        Args:
            to: VM name of the receiver. The digest covers it, so a captured
                message can't be sent to another process.
            data: The encoded envelope.

        Returns:
            The bytes to send; `data` itself if there is no key.
        """
        if not self._keys:
            return data
        self._counter += 1
        counter = _UINT64.pack(self._counter)
        digest = _digest(self._keys[0], b"control", to, counter, data)
        return digest[:DIGEST_SIZE] + counter + data

    def verify_message(self, data: bytes) -> messages.Envelope:
        """Verifies and decodes a control message.

        Replayed messages are refused: the counter has to be higher than in the
        last message from the same process, and messages from an earlier process
        of the sender are refused. The messages on a connection arrive in order,
        and a refused message counts as lost.

        Args:
            data: The bytes as received.

        Returns:
            The envelope.

        Raises:
            errors.MessageRefused: The digest is wrong or missing, the message
                was replayed or comes from an earlier process of the sender, or
                the data is not an envelope.
        """
        if not self._keys:
            return messages.decode_envelope(data)
        digest, rest = data[:DIGEST_SIZE], data[DIGEST_SIZE:]
        counter, encoded = rest[: _UINT64.size], data[_HEADER_SIZE:]
        expected = (
            _digest(key, b"control", self.vm, counter, encoded)[:DIGEST_SIZE]
            for key in self._keys
        )
        if not any(hmac.compare_digest(digest, one) for one in expected):
            raise errors.MessageRefused("wrong or missing digest")
        envelope = messages.decode_envelope(encoded)
        self._check_replay(envelope, _UINT64.unpack(counter)[0])
        return envelope

    def _check_replay(self, envelope: messages.Envelope, counter: int) -> None:
        position = (envelope.incarnation, counter)
        if position <= self._last_positions.get(envelope.sender, (0, 0)):
            raise errors.MessageRefused(
                f"repeated or old message of {envelope.sender}"
            )
        self._last_positions[envelope.sender] = position

    def sign_order(self, sidecar: str, order: str, body: bytes) -> str:
        """Computes the digest of an attempt order and its request body.

        The digest needs no counter against replays: the claim of a replayed
        order is redeemed and its attempt is on record, so the sidecar refuses
        it.

        Args:
            sidecar: VM name of the sidecar.
            order: The encoded `messages.AttemptOrder`.
            body: Body of the request.

        Returns:
            The digest in hexadecimal; empty if there is no key.
        """
        if not self._keys:
            return ""
        return _sign_order(self._keys[0], sidecar, order, body)

    def verify_order(self, order: str, body: bytes, digest: str) -> bool:
        """Returns whether one of the keys signed an order to this sidecar."""
        if not self._keys:
            return True
        expected = [
            _sign_order(key, self.vm, order, body) for key in self._keys
        ]
        given = digest.encode("latin-1", "replace")
        return any(hmac.compare_digest(given, one.encode()) for one in expected)

    def sign_body(self, path: str, body: bytes) -> str:
        """Computes the digest of a request or response between replicas.

        The digest needs no counter against replays: a replica applies a
        received document only if it is newer than its own.

        Args:
            path: Path of the request.
            body: Body of the request or of its response.

        Returns:
            The digest in hexadecimal; empty if there is no key.
        """
        return _sign_body(self._keys[0], path, body) if self._keys else ""

    def verify_body(self, path: str, body: bytes, digest: str) -> bool:
        """Returns whether one of the keys signed a body between replicas."""
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
    """Computes an HMAC of parts, each prefixed with its length.

    The lengths keep different sequences of parts from having the same digest.
    """
    encoded = (
        part.encode() if isinstance(part, str) else part for part in parts
    )
    framed = (_UINT64.pack(len(part)) + part for part in encoded)
    return hmac.digest(key, purpose + b"".join(framed), "sha256")


def _sign_order(key: bytes, sidecar: str, order: str, body: bytes) -> str:
    return _digest(key, b"attempt", sidecar, order, body).hex()


def create_authenticator(
    vm: str, config: settings.SecuritySettings
) -> Authenticator:
    """Creates the authenticator of a process.

    Args:
        vm: Name of this VM.
        config: Section `[security]` of the process's settings.

    Returns:
        The authenticator. If no key file is set, it accepts every message.

    Raises:
        errors.SettingsRefused: The key file can't be read, has no key, or has a
            key that is too short.
    """
    path = config.shared_key_file
    if not path:
        return Authenticator(vm)
    try:
        lines = pathlib.Path(path).read_bytes().split()
    except OSError as error:
        raise errors.SettingsRefused(f"shared_key_file: {error}") from error
    if not lines or min(map(len, lines)) < MIN_KEY_LENGTH:
        raise errors.SettingsRefused(
            f"shared_key_file {path}: expected keys of at least "
            f"{MIN_KEY_LENGTH} characters, one per line"
        )
    return Authenticator(vm, tuple(lines))
