"""Service accounts: what each team received from a service, over all sidecars.

Every sidecar incarnation owns one entry per team and is the only writer of
that entry. Other sidecars keep the version with the highest sequence number
that they received. Entries count from an offset, which never decreases: a
higher offset discards whatever was counted from a lower one. Accounts are
thus a state-based replicated counter (CRDT). Lost, repeated or reordered
updates do no harm, and after a partition the accounts converge once the
entries are exchanged again.
"""

__all__ = [
    "Account",
    "Entry",
    "ServiceAccounts",
    "charge_team",
    "compute_order_key",
    "compute_reserved",
    "drop_account",
    "list_entries",
    "merge_entries",
    "raise_offset",
    "reserve_units",
]

from collections.abc import Iterable
import dataclasses
import math

from sycamorefall import messages

MAX_UNITS = 2.0**53
"""Largest number of cost units that is believed: below it, sums of units are
exact."""


@dataclasses.dataclass(slots=True)
class Entry:
    """Cost units that one owner gave to a team; see `messages.AccountEntry`."""

    sequence: int = 0
    served: float = 0.0
    reserved: float = 0.0


@dataclasses.dataclass(slots=True)
class Account:
    """One team's account at a service.

    Attributes:
        entries: Entries by owner, all counted from the offset.
        total: Sum of served and reserved units over the entries.
        offset: Order key from which the entries count. Never decreases, and
            is a whole number, so that the rounding in messages doesn't
            change it.
        local_offset: Further offset of the order key that only this process
            applies.
        idle_sweeps: Successive sweeps that found the account unchanged; see
            `team_selection.drop_idle_accounts`.
        total_at_last_sweep: Total at the last sweep.
    """

    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    total: float = 0.0
    offset: float = 0.0
    local_offset: float = 0.0
    idle_sweeps: int = 0
    total_at_last_sweep: float = 0.0


@dataclasses.dataclass(slots=True)
class ServiceAccounts:
    """All teams' accounts at a service, as one process knows them.

    Attributes:
        owner: VM name and incarnation of this process, the owner of its own
            entries.
        teams: Accounts by team.
        unsent: Teams whose own entry changed since it was last sent.
        last_sequence: Sequence number of the last change of an own entry.
            All teams share the counter, so that the entry of an account that
            was dropped and created again has a higher number than others
            have received.
    """

    owner: str
    teams: dict[str, Account] = dataclasses.field(default_factory=dict)
    unsent: set[str] = dataclasses.field(default_factory=set)
    last_sequence: int = 0


def _mark_own_entry_changed(
    accounts: ServiceAccounts, team: str
) -> tuple[Account, Entry]:
    account = accounts.teams.setdefault(team, Account())
    entry = account.entries.setdefault(accounts.owner, Entry())
    accounts.last_sequence += 1
    entry.sequence = accounts.last_sequence
    accounts.unsent.add(team)
    return account, entry


def charge_team(accounts: ServiceAccounts, team: str, units: float) -> None:
    """Adds served units to this process's entry of a team.

    Args:
        accounts: The accounts; changed.
        team: The team.
        units: Cost units, not negative.
    """
    account, entry = _mark_own_entry_changed(accounts, team)
    entry.served += units
    account.total += units


def reserve_units(accounts: ServiceAccounts, team: str, units: float) -> None:
    """Changes the reserved units of a team in this process's entry.

    Without reservations every sidecar would select the same team, the one
    with the least service, and give it all free slots before the cost of its
    first request is charged.

    Args:
        accounts: The accounts; changed.
        team: The team.
        units: Change of the estimated cost of work in flight, in cost units;
            negative to release reserved units.
    """
    account, entry = _mark_own_entry_changed(accounts, team)
    entry.reserved += units
    account.total += units


def raise_offset(accounts: ServiceAccounts, team: str, offset: float) -> None:
    """Raises a team's offset to at least a value and restarts the count.

    Offsets are merged by their maximum rather than added, so that two
    sidecars that raise an offset at the same time don't raise it twice. The
    higher offset also discards service of which this process has not received
    the entry yet. It is therefore meant for accounts that have not changed
    for long.

    Args:
        accounts: The accounts; changed.
        team: The team.
        offset: New offset of the order key; rounded up to a whole unit.
    """
    accounts.teams.setdefault(team, Account())
    if _discard_entries_below(accounts, team, float(math.ceil(offset))):
        _mark_own_entry_changed(accounts, team)


def _discard_entries_below(
    accounts: ServiceAccounts, team: str, offset: float
) -> bool:
    """Discards entries of a lower offset, except for own reserved units."""
    account = accounts.teams[team]
    if offset <= account.offset:
        return False
    own = account.entries.get(accounts.owner)
    account.offset = offset
    account.local_offset = 0.0
    account.entries.clear()
    account.total = 0.0
    if own is not None:
        own.served = 0.0
        account.entries[accounts.owner] = own
        account.total = own.reserved
        if own.reserved:
            _mark_own_entry_changed(accounts, team)
    return True


def compute_reserved(accounts: ServiceAccounts, team: str) -> float:
    """Sums a team's reserved units over all owners."""
    account = accounts.teams.get(team)
    if account is None:
        return 0.0
    return sum(entry.reserved for entry in account.entries.values())


def drop_account(accounts: ServiceAccounts, team: str) -> None:
    """Removes a team's account, and the team from those to be sent."""
    accounts.teams.pop(team, None)
    accounts.unsent.discard(team)


def compute_order_key(
    accounts: ServiceAccounts, team: str, weight: float
) -> float:
    """Computes a team's order key; the team with the least is served next.

    Args:
        accounts: The accounts.
        team: The team.
        weight: The team's weight.

    Returns:
        The team's offset plus its local offset, plus the units served and
        reserved since the offset divided by the weight; 0 for a team without
        an account.

    Example:
        >>> accounts = ServiceAccounts("engine-1/1")
        >>> charge_team(accounts, "mill", 30.0)
        >>> compute_order_key(accounts, "mill", weight=2.0)
        15.0
    """
    account = accounts.teams.get(team)
    if account is None:
        return 0.0
    return account.offset + account.local_offset + account.total / weight


def merge_entries(
    accounts: ServiceAccounts, entries: Iterable[messages.AccountEntry]
) -> None:
    """Merges received entries, where they are newer than the known ones.

    Entries that this process owns are skipped, but for their offset. An entry
    with absurd figures is ignored: its sums could not be sent on.

    Args:
        accounts: The accounts; changed.
        entries: Received entries, in any order.
    """
    for received in entries:
        figures = received.served, received.reserved, received.offset
        if not all(abs(figure) <= MAX_UNITS for figure in figures):
            continue
        account = accounts.teams.setdefault(received.team, Account())
        _discard_entries_below(accounts, received.team, received.offset)
        outdated = received.offset < account.offset
        if outdated or received.owner == accounts.owner:
            continue
        entry = account.entries.setdefault(received.owner, Entry())
        if received.sequence <= entry.sequence:
            continue
        account.total += received.served - entry.served
        account.total += received.reserved - entry.reserved
        entry.sequence = received.sequence
        entry.served = received.served
        entry.reserved = received.reserved


def list_entries(
    accounts: ServiceAccounts, teams: Iterable[str], own_only: bool = True
) -> list[messages.AccountEntry]:
    """Lists the entries of some teams in the form of messages.

    Args:
        accounts: The accounts.
        teams: Teams whose entries to list; teams without an account are
            skipped.
        own_only: Whether to leave out the entries of other owners.

    Returns:
        The entries, as sent in `messages.AccountUpdate`.
    """
    return [
        messages.AccountEntry(
            team=team,
            owner=owner,
            sequence=entry.sequence,
            served=entry.served,
            reserved=entry.reserved,
            offset=accounts.teams[team].offset,
        )
        for team in teams
        if team in accounts.teams
        for owner, entry in accounts.teams[team].entries.items()
        if owner == accounts.owner or not own_only
    ]
