"""The envelope that a control message travels in, and its codec."""

__all__ = [
    "Envelope",
    "Message",
    "decode_envelope",
    "encode_envelope",
]

import msgspec

from sycamorefall import errors
from sycamorefall.messages import attempts, loads, naming, records, scheduling

Message = (
    scheduling.Heartbeat
    | scheduling.Waiting
    | scheduling.Claim
    | scheduling.NoWork
    | scheduling.AccountUpdate
    | attempts.AttemptQuery
    | attempts.AttemptReport
    | naming.UnknownNames
    | loads.RouterLoad
    | loads.KnownRouters
    | loads.CrashReports
    | records.Subscribe
    | records.ReaderState
    | records.FetchRecords
    | records.RecordChanges
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        sender: VM name of the sending process.
        incarnation: Number of the sending process, new at each start.
        revision: Revision of the configuration in force at the sender.
        message: The message.
        names: Names that the sender defines.
    """

    sender: str
    incarnation: int
    revision: int
    message: Message
    names: tuple[naming.NameEntry, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes an envelope as MessagePack."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decodes an envelope.

    Args:
        data: Bytes as received.

    Returns:
        The envelope.

    Raises:
        errors.MessageRefused: The bytes are not an envelope.

    Example:
        >>> sent = Envelope("router-1", 1, 7, scheduling.Heartbeat())
        >>> decode_envelope(encode_envelope(sent)) == sent
        True
    """
    try:
        return _envelope_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        # The decoder gives nesting without end up with a RecursionError; it
        # would escape to the loop, and the link's reader would lose its turn.
        raise errors.MessageRefused(str(fault)) from fault
