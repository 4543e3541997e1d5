"""Names on the wire: as numbers, which both ends know or define once.

A name is numbered by its sender, and the first message on a link that uses it
defines the number. Where teams are too many for that, a team travels as a
digest of its name instead: it stands in the operators' text that both ends
hold, or else is numbered too. Messages may be lost and
peers restart with no memory: a receiver that lacks a name says so, drops the
message, and gets the name with the next message that uses it.
"""

__all__ = [
    "NameTable",
    "PeerNames",
    "compact_envelope",
    "compact_envelopes",
    "expand_envelope",
    "mark_undefined",
    "retain_peers",
    "update_digests",
]

from collections.abc import Callable, Collection, Iterable, Iterator
import dataclasses
import hashlib
import sys

import msgspec

from sycamorefall import messages

Rename = Callable[[str | int], str | int]


DIGEST_FLAG = 1 << 31
"""Numbers from here on are digests of teams in the operators' text."""


MAX_NUMBERED_TEAMS = 1000
"""Teams of a text up to which each is numbered rather than digested."""


@dataclasses.dataclass(slots=True)
class PeerNames:
    """Names that a peer's process defined.

    Attributes:
        incarnation: The peer's process.
        names: Names by index.
    """

    incarnation: int
    names: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class NameTable:
    """Names of one process and of its peers.

    Attributes:
        indexes: Indexes of own names.
        told: Indexes that a peer was told, as bits of a number, by VM name.
        peers: Names that peers defined, by VM name.
        digests: Digests of the names in the text.
        by_digest: The names by digest.
        lacking: Digests that a peer could not read, by VM name.
    """

    indexes: dict[str, int] = dataclasses.field(default_factory=dict)
    told: dict[str, int] = dataclasses.field(default_factory=dict)
    peers: dict[str, PeerNames] = dataclasses.field(default_factory=dict)
    digests: dict[str, int] = dataclasses.field(default_factory=dict)
    by_digest: dict[int, str] = dataclasses.field(default_factory=dict)
    lacking: dict[str, set[int]] = dataclasses.field(default_factory=dict)


def update_digests(table: NameTable, names: Collection[str]) -> None:
    """Learns the teams in the operators' text, in place of an older text's.

    A few teams get no digests: a number is shorter and soon defined on every
    link. Many would take longer to be defined than their sender lives.

    Guards against two names with the same digest: one would be charged for
    the other. Neither has a digest then, and both are defined on each link.

    Args:
        table: This process's names; changed.
        names: Teams of the text in force.

    Example:
        >>> table = NameTable()
        >>> update_digests(table, [f"member-{n}" for n in range(2000)])
        >>> len(table.by_digest)
        2000
    """
    before = table.digests
    if len(names) <= MAX_NUMBERED_TEAMS:
        names = ()
    table.digests, table.by_digest = {}, {}
    shared: set[int] = set()
    for name in names:
        digest = before.get(name) or _digest(name)
        if digest in table.by_digest:
            shared.add(digest)
        table.by_digest[digest] = name
        table.digests[name] = digest
    if shared:
        table.digests = {
            name: digest
            for name, digest in table.digests.items()
            if digest not in shared
        }
        for digest in shared:
            del table.by_digest[digest]


def _digest(name: str) -> int:
    data = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(data, "big") | DIGEST_FLAG


def compact_envelope(
    table: NameTable, to: str, envelope: messages.Envelope
) -> messages.Envelope:
    """Replaces the names in an envelope by indexes, defining new ones.

    Args:
        table: This process's names; changed.
        to: VM name of the receiver.
        envelope: The envelope with names.

    Returns:
        The envelope to be encoded.

    Example:
        >>> claim = messages.Claim(1, "assistant", "mill-a", 1000)
        >>> sent = messages.Envelope("engine-0", 5, 1, claim)
        >>> table = NameTable()
        >>> [entry.name for entry in
        ...  compact_envelope(table, "router-0", sent).names]
        ['assistant', 'mill-a']
        >>> compact_envelope(table, "router-0", sent).names
        ()
    """
    lacking = table.lacking.get(to, ())
    compact = _compact(table, envelope, lacking)
    return _define_names(table, to, compact)


def compact_envelopes(
    table: NameTable, receivers: Iterable[str], envelope: messages.Envelope
) -> Iterator[tuple[str, messages.Envelope]]:
    """Does the same for several receivers of one envelope.

    Names are replaced once for all of them, so a message costs little more
    for many receivers than for one. The envelope is the same object for all
    who know its names.

    Args:
        table: This process's names; changed.
        receivers: VM names of the receivers.
        envelope: The envelope with names.

    Yields:
        Each receiver and the envelope to be encoded for it.
    """
    compact = _compact(table, envelope, ())
    for to in receivers:
        if to in table.lacking:
            yield to, compact_envelope(table, to, envelope)
        else:
            yield to, _define_names(table, to, compact)


@dataclasses.dataclass(slots=True, frozen=True)
class _Compact:
    """An envelope with indexes for names.

    Attributes:
        envelope: The envelope; it defines no names.
        used: Indexes that it uses, as bits of a number.
        names: The names that it uses, by index.
    """

    envelope: messages.Envelope
    used: int
    names: dict[int, str]


def _compact(
    table: NameTable, envelope: messages.Envelope, lacking: Collection[int]
) -> _Compact:
    used: dict[int, str] = {}

    def index_name(name: str) -> int:
        digest = table.digests.get(name)
        if digest is not None and digest not in lacking:
            return digest
        index = table.indexes.setdefault(name, len(table.indexes))
        used[index] = name
        return index

    message = _rename(envelope.message, index_name)
    bits = 0
    for index in used:
        bits |= 1 << index
    compact = msgspec.structs.replace(envelope, message=message, names=())
    return _Compact(compact, bits, used)


def _define_names(
    table: NameTable, to: str, compact: _Compact
) -> messages.Envelope:
    """Adds the names that a receiver wasn't told yet."""
    told = table.told.get(to, 0)
    if not compact.used & ~told:
        return compact.envelope
    fresh = [
        messages.NameEntry(index, name)
        for index, name in compact.names.items()
        if not told >> index & 1
    ]
    table.told[to] = told | compact.used
    return msgspec.structs.replace(compact.envelope, names=tuple(fresh))


def expand_envelope(
    table: NameTable, envelope: messages.Envelope
) -> tuple[messages.Envelope | None, tuple[int, ...]]:
    """Replaces the indexes in a received envelope by names.

    Args:
        table: This process's names; changed.
        envelope: The envelope as decoded.

    Returns:
        The envelope with names, or None if it is to be dropped; and the
        indexes that the sender is to define again.
    """
    sender, incarnation = envelope.sender, envelope.incarnation
    peer = table.peers.get(sender)
    if peer is None or peer.incarnation < incarnation:
        peer = table.peers[sender] = PeerNames(incarnation)
        # The peer's new process knows none of what its old one was told.
        table.told.pop(sender, None)
        table.lacking.pop(sender, None)
    if peer.incarnation > incarnation:
        # A late message of a process that is gone: by now its indexes mean
        # other names, and there is nobody left to define them.
        return None, ()
    for entry in envelope.names:
        peer.names[entry.index] = sys.intern(entry.name)
    unknown: dict[int, None] = {}

    def find_name(index: str | int) -> str:
        if isinstance(index, str):
            return index  # A sender may also write a name out.
        known = table.by_digest if index >= DIGEST_FLAG else peer.names
        name = known.get(index)
        if name is None:
            unknown[index] = None
            return ""
        return name

    message = _rename(envelope.message, find_name)
    if unknown:
        return None, tuple(unknown)
    return msgspec.structs.replace(envelope, message=message, names=()), ()


def mark_undefined(
    table: NameTable, peer: str, indexes: Collection[int]
) -> None:
    """Notes that a peer lacks names, so that they are defined to it again."""
    told = table.told.get(peer, 0)
    for index in indexes:
        if index in table.by_digest:
            table.lacking.setdefault(peer, set()).add(index)
        elif 0 <= index < len(table.indexes):
            told &= ~(1 << index)
    table.told[peer] = told


def retain_peers(table: NameTable, names: Collection[str]) -> None:
    """Forgets peers that are not among the named VMs."""
    for part in (table.told, table.peers, table.lacking):
        for name in part.keys() - set(names):
            del part[name]


def _rename(message: messages.Message, rename: Rename) -> messages.Message:
    match message:
        case messages.Waiting():
            teams = tuple(
                messages.TeamWaiting(
                    rename(entry.team), entry.count, entry.oldest_ms
                )
                for entry in message.teams
            )
            service = rename(message.service)
            return messages.Waiting(
                service, message.sequence, teams, message.complete
            )
        case messages.AccountUpdate():
            entries = tuple(
                messages.AccountEntry(
                    rename(entry.team),
                    rename(entry.owner),
                    entry.sequence,
                    entry.served,
                    entry.reserved,
                    entry.offset,
                )
                for entry in message.entries
            )
            return messages.AccountUpdate(rename(message.service), entries)
        case messages.RouterLoad():
            return _rename_load(message, rename)
        case messages.CrashReports():
            return messages.CrashReports(
                tuple(
                    msgspec.structs.replace(
                        report, upstream=rename(report.upstream)
                    )
                    for report in message.reports
                )
            )
        case messages.Claim() | messages.NoWork():
            return msgspec.structs.replace(
                message,
                service=rename(message.service),
                team=rename(message.team),
            )
    return message


def _rename_load(
    message: messages.RouterLoad, rename: Rename
) -> messages.RouterLoad:
    upstreams = tuple(
        msgspec.structs.replace(load, upstream=rename(load.upstream))
        for load in message.upstreams
    )
    services = tuple(
        messages.ServiceDemand(
            rename(demand.service),
            tuple(
                messages.TeamService(rename(entry.team), entry.amount)
                for entry in demand.teams
            ),
        )
        for demand in message.services
    )
    prompts = tuple(
        msgspec.structs.replace(prompt, upstream=rename(prompt.upstream))
        for prompt in message.prompts
    )
    domain = rename(message.failure_domain) if message.whole else ""
    return msgspec.structs.replace(
        message,
        upstreams=upstreams,
        services=services,
        prompts=prompts,
        failure_domain=domain,
    )
