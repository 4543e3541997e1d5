"""Compact encoding of names in control messages.

A sender numbers its names. The first message to a peer that uses a name also
defines its index. If the configuration has many teams, the name of a team is
sent as a digest instead, which both ends compute from their configuration.
Names that are not in the configuration, and digests that the peer does not
know, are numbered even then.

Messages may be lost, and a peer that restarts has no memory. A receiver that
lacks a name reports that and drops the message; the next message that uses the
name defines it again.
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

NameMapping = Callable[[str | int], str | int]


DIGEST_FLAG = 1 << 31
"""Bit that is set in the digests of team names and in no index."""


MAX_NUMBERED_TEAMS = 1000
"""Maximum number of teams in the configuration up to which all names are
numbered; if there are more teams, their names are sent as digests."""


@dataclasses.dataclass(slots=True)
class PeerNames:
    """Names that a process of a peer has defined.

    Attributes:
        incarnation: Incarnation of the peer's process.
        names: Names by index.
    """

    incarnation: int
    names: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class NameTable:
    """Names that this process and its peers have defined.

    Attributes:
        indexes: Indexes of this process's names.
        defined_bits: Indexes that were defined to a peer, as bits of a number,
            by VM name.
        peers: Names that peers have defined, by VM name.
        digests: Digests of the teams in the configuration, by team name.
        by_digest: Names of the teams in the configuration, by digest.
        unknown_digests: Digests that a peer does not know, by VM name.
    """

    indexes: dict[str, int] = dataclasses.field(default_factory=dict)
    defined_bits: dict[str, int] = dataclasses.field(default_factory=dict)
    peers: dict[str, PeerNames] = dataclasses.field(default_factory=dict)
    digests: dict[str, int] = dataclasses.field(default_factory=dict)
    by_digest: dict[int, str] = dataclasses.field(default_factory=dict)
    unknown_digests: dict[str, set[int]] = dataclasses.field(
        default_factory=dict
    )


def update_digests(table: NameTable, names: Collection[str]) -> None:
    """Replaces the digests by those of the teams in a new configuration.

    Few teams get no digests: an index is shorter and is soon defined to every
    peer. Defining the indexes of many teams would take longer than the sending
    process lives.

    Two names with the same digest get none and are defined to each peer. With a
    digest, one team would be charged for the other.

    Args:
        table: Names of this process; changed.
        names: Teams of the configuration in force.

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
    duplicates: set[int] = set()
    for name in names:
        digest = before.get(name) or _digest(name)
        if digest in table.by_digest:
            duplicates.add(digest)
        table.by_digest[digest] = name
        table.digests[name] = digest
    if duplicates:
        table.digests = {
            name: digest
            for name, digest in table.digests.items()
            if digest not in duplicates
        }
        for digest in duplicates:
            del table.by_digest[digest]


def _digest(name: str) -> int:
    data = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(data, "big") | DIGEST_FLAG


def compact_envelope(
    table: NameTable, to: str, envelope: messages.Envelope
) -> messages.Envelope:
    """Replaces the names in an envelope and defines those that are new.

    Names are replaced by indexes or digests.

    Args:
        table: Names of this process; changed.
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
    unknown_digests = table.unknown_digests.get(to, ())
    compact = _compact(table, envelope, unknown_digests)
    return _define_names(table, to, compact)


def compact_envelopes(
    table: NameTable, receivers: Iterable[str], envelope: messages.Envelope
) -> Iterator[tuple[str, messages.Envelope]]:
    """Compacts an envelope for several receivers.

    Names are replaced once for all receivers, so a message to many receivers
    costs little more than one to a single receiver. All receivers that need no
    definitions get the same envelope object, so the caller can encode it once.

    Args:
        table: Names of this process; changed.
        receivers: VM names of the receivers.
        envelope: The envelope with names.

    Yields:
        Each receiver and the envelope to be encoded for it.
    """
    compact = _compact(table, envelope, ())
    for to in receivers:
        if to in table.unknown_digests:
            yield to, compact_envelope(table, to, envelope)
        else:
            yield to, _define_names(table, to, compact)


@dataclasses.dataclass(slots=True, frozen=True)
class _Compact:
    """An envelope whose names are replaced by indexes or digests.

    Attributes:
        envelope: The envelope, without definitions of names.
        used: Indexes in the envelope, as bits of a number.
        names: Names of these indexes, by index.
    """

    envelope: messages.Envelope
    used: int
    names: dict[int, str]


def _compact(
    table: NameTable,
    envelope: messages.Envelope,
    unknown_digests: Collection[int],
) -> _Compact:
    used: dict[int, str] = {}

    def index_name(name: str) -> int:
        digest = table.digests.get(name)
        if digest is not None and digest not in unknown_digests:
            return digest
        index = table.indexes.setdefault(name, len(table.indexes))
        used[index] = name
        return index

    message = _map_names(envelope.message, index_name)
    bits = 0
    for index in used:
        bits |= 1 << index
    compact = msgspec.structs.replace(envelope, message=message, names=())
    return _Compact(compact, bits, used)


def _define_names(
    table: NameTable, to: str, compact: _Compact
) -> messages.Envelope:
    """Adds the definitions of the names that a receiver lacks."""
    defined_bits = table.defined_bits.get(to, 0)
    if not compact.used & ~defined_bits:
        return compact.envelope
    new_entries = [
        messages.NameEntry(index, name)
        for index, name in compact.names.items()
        if not defined_bits >> index & 1
    ]
    table.defined_bits[to] = defined_bits | compact.used
    return msgspec.structs.replace(compact.envelope, names=tuple(new_entries))


def expand_envelope(
    table: NameTable, envelope: messages.Envelope
) -> tuple[messages.Envelope | None, tuple[int, ...]]:
    """Replaces the indexes and digests in a received envelope by names.

    Args:
        table: Names of this process; changed.
        envelope: The envelope as decoded.

    Returns:
        The envelope with names, or None if it has to be dropped; and the
        indexes and digests that the sender has to define.
    """
    sender, incarnation = envelope.sender, envelope.incarnation
    peer = table.peers.get(sender)
    if peer is None or peer.incarnation < incarnation:
        peer = table.peers[sender] = PeerNames(incarnation)
        # The peer's new process lacks all names defined to the earlier one.
        table.defined_bits.pop(sender, None)
        table.unknown_digests.pop(sender, None)
    if peer.incarnation > incarnation:
        # A late message from a process that has ended. Its indexes may stand
        # for other names now, and it can't be asked to define them again.
        return None, ()
    for entry in envelope.names:
        peer.names[entry.index] = sys.intern(entry.name)
    unknown: dict[int, None] = {}

    def find_name(index: str | int) -> str:
        if isinstance(index, str):
            return index  # A sender may also send the name itself.
        known = table.by_digest if index >= DIGEST_FLAG else peer.names
        name = known.get(index)
        if name is None:
            unknown[index] = None
            return ""
        return name

    message = _map_names(envelope.message, find_name)
    if unknown:
        return None, tuple(unknown)
    return msgspec.structs.replace(envelope, message=message, names=()), ()


def mark_undefined(
    table: NameTable, peer: str, indexes: Collection[int]
) -> None:
    """Marks names as unknown to a peer.

    The next message to the peer that uses such a name defines its index. A name
    whose digest the peer doesn't know is sent to it by index from then on.

    Args:
        table: Names of this process; changed.
        peer: VM name of the peer.
        indexes: Indexes and digests that the peer reported as unknown.
    """
    defined_bits = table.defined_bits.get(peer, 0)
    for index in indexes:
        if index in table.by_digest:
            table.unknown_digests.setdefault(peer, set()).add(index)
        elif 0 <= index < len(table.indexes):
            defined_bits &= ~(1 << index)
    table.defined_bits[peer] = defined_bits


def retain_peers(table: NameTable, names: Collection[str]) -> None:
    """Drops what is stored about peers that are not among the named VMs."""
    for part in (table.defined_bits, table.peers, table.unknown_digests):
        for name in part.keys() - set(names):
            del part[name]


def _map_names(
    message: messages.Message, map_name: NameMapping
) -> messages.Message:
    match message:
        case messages.Waiting():
            teams = tuple(
                messages.TeamWaiting(
                    map_name(entry.team), entry.count, entry.oldest_ms
                )
                for entry in message.teams
            )
            service = map_name(message.service)
            return messages.Waiting(
                service, message.sequence, teams, message.complete
            )
        case messages.AccountUpdate():
            entries = tuple(
                messages.AccountEntry(
                    map_name(entry.team),
                    map_name(entry.owner),
                    entry.sequence,
                    entry.served,
                    entry.reserved,
                    entry.offset,
                )
                for entry in message.entries
            )
            return messages.AccountUpdate(map_name(message.service), entries)
        case messages.RouterLoad():
            return _map_load_names(message, map_name)
        case messages.CrashReports():
            return messages.CrashReports(
                tuple(
                    msgspec.structs.replace(
                        report, upstream=map_name(report.upstream)
                    )
                    for report in message.reports
                )
            )
        case messages.Claim() | messages.NoWork():
            return msgspec.structs.replace(
                message,
                service=map_name(message.service),
                team=map_name(message.team),
            )
    return message


def _map_load_names(
    message: messages.RouterLoad, map_name: NameMapping
) -> messages.RouterLoad:
    upstreams = tuple(
        msgspec.structs.replace(load, upstream=map_name(load.upstream))
        for load in message.upstreams
    )
    services = tuple(
        messages.ServiceDemand(
            map_name(demand.service),
            tuple(
                messages.TeamService(
                    map_name(entry.team), entry.amount, entry.unmet
                )
                for entry in demand.teams
            ),
        )
        for demand in message.services
    )
    prompts = tuple(
        msgspec.structs.replace(prompt, upstream=map_name(prompt.upstream))
        for prompt in message.prompts
    )
    tables = tuple(
        messages.SumTable(
            table.kind,
            map_name(table.service),
            tuple(
                messages.SumRow(map_name(row.name), row.values)
                for row in table.rows
            ),
        )
        for table in message.tables
    )
    domain = map_name(message.failure_domain) if message.whole else ""
    return msgspec.structs.replace(
        message,
        upstreams=upstreams,
        services=services,
        prompts=prompts,
        tables=tables,
        failure_domain=domain,
    )
