"""The envelope in which control messages are sent, and its codec."""

__all__ = [
    "Envelope",
    "Message",
    "decode_envelope",
    "encode_envelope",
]

import msgspec

from sycamorefall import errors
from sycamorefall.messages import (
    attempts,
    loads,
    naming,
    records,
    scheduling,
    streams,
)

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
    | streams.StreamOrigins
    | streams.OriginQuery
    | streams.OriginAnswer
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        sender: VM name of the sending process.
        incarnation: Incarnation of the sending process: a number that is higher
            for later processes of the VM.
        revision: Revision of the configuration in force at the sender.
        message: The message.
        names: Names that the message defines for the receiver; see
            `messages.Name`.
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
        data: The received bytes.

    Returns:
        The envelope.

    Raises:
        errors.MessageRefused: The bytes are not an encoded envelope.

    Example:
        >>> envelope = Envelope("router-1", 1, 7, scheduling.Heartbeat())
        >>> decode_envelope(encode_envelope(envelope)) == envelope
        True
    """
    try:
        return _envelope_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # Nesting that is too deep raises RecursionError. Uncaught, it would
        # reach the event loop, and the reader of the link would not run again.
        raise errors.MessageRefused(str(error)) from error
