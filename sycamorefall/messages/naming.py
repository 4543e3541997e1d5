"""Names in messages, encoded as numbers; see `sycamorefall.names`."""

__all__ = [
    "Name",
    "NameEntry",
    "UnknownNames",
]

import msgspec

Name = str | int
"""A name. When sent, it is replaced by an index that the sender has defined for
the receiver, or by a digest; see `sycamorefall.names`."""


class UnknownNames(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """A receiver's report that it dropped a message with undefined names.

    Attributes:
        indexes: Indexes and digests that the receiver can't resolve.
    """

    indexes: tuple[int, ...]


class NameEntry(msgspec.Struct, frozen=True, array_like=True):
    """Definition of an index for a name.

    Attributes:
        index: The index, unique within the sender's process.
        name: The name that the index stands for.
    """

    index: int
    name: str
