"""Names on the wire, as numbers that their sender defines."""

__all__ = [
    "Name",
    "NameEntry",
    "UnknownNames",
]

import msgspec

Name = str | int
"""A name; on the wire an index that the sender defined, see `names`."""


class UnknownNames(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """A receiver lacks names, and dropped a message because of it."""

    indexes: tuple[int, ...]


class NameEntry(msgspec.Struct, frozen=True, array_like=True):
    """Defines a name of the sender's process by an index."""

    index: int
    name: str
