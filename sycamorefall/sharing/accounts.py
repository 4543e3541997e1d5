"""Service accounts: what each team received from a service, over all sidecars.

Every sidecar incarnation owns one entry per team and is the only one to write
it; others keep the entry with the highest sequence number they saw. Entries
count from an offset, which only ever rises: a higher offset voids whatever
was counted from a lower one. Accounts are thus a state-based replicated
counter: losing, repeating or reordering updates does no harm, and partitions
heal by exchanging entries again.
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


@dataclasses.dataclass(slots=True)
class Entry:
    """What one owner gave to a team; see `messages.AccountEntry`."""

    sequence: int = 0
    served: float = 0.0
    reserved: float = 0.0


@dataclasses.dataclass(slots=True)
class Account:
    """One team's account at a service.

    Attributes:
        entries: Entries by owner label, all counted from the offset.
        total: Sum of served and reserved units over the entries.
        offset: Order key from which the entries count; only ever rises, and
            is whole, so that rounding on the way doesn't change it.
        lift: What this process adds to the order key, and no other does.
        quiet: Sweeps in a row that found the account unchanged; see
            `team_selection.drop_idle_accounts`.
        swept_total: Total at the last sweep.
    """

    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    total: float = 0.0
    offset: float = 0.0
    lift: float = 0.0
    quiet: int = 0
    swept_total: float = 0.0


@dataclasses.dataclass(slots=True)
class ServiceAccounts:
    """All teams' accounts at a service, as one process knows them.

    Attributes:
        owner: Label of the owner of this view.
        teams: Accounts by team.
        unsent: Teams whose own entry changed since it was last sent.
        changes: Sequence number of the last change of an own entry. It is
            one count for all teams, so that an account that was dropped and
            comes back does not begin below what others have seen.
    """

    owner: str
    teams: dict[str, Account] = dataclasses.field(default_factory=dict)
    unsent: set[str] = dataclasses.field(default_factory=set)
    changes: int = 0


def _own_entry(accounts: ServiceAccounts, team: str) -> tuple[Account, Entry]:
    account = accounts.teams.setdefault(team, Account())
    entry = account.entries.setdefault(accounts.owner, Entry())
    accounts.changes += 1
    entry.sequence = accounts.changes
    accounts.unsent.add(team)
    return account, entry


def charge_team(accounts: ServiceAccounts, team: str, units: float) -> None:
    """Adds served units to a team's own entry.

    Args:
        accounts: The accounts; changed.
        team: The team.
        units: Cost units, not negative.
    """
    account, entry = _own_entry(accounts, team)
    entry.served += units
    account.total += units


def reserve_units(accounts: ServiceAccounts, team: str, units: float) -> None:
    """Adds to (or, if negative, takes from) a team's reserved units.

    Without reservations every sidecar would see the same team as the one
    with the least service and give it all free slots before the cost of the
    first of them shows.

    Args:
        accounts: The accounts; changed.
        team: The team.
        units: Change of the estimate for work in flight, in cost units.
    """
    account, entry = _own_entry(accounts, team)
    entry.reserved += units
    account.total += units


def raise_offset(accounts: ServiceAccounts, team: str, offset: float) -> None:
    """Raises a team's offset to at least a value, and counts anew from there.

    The offset is a maximum, never a sum, so that two sidecars which raise it
    at the same time do not raise it twice. Service that this process has not
    heard of yet is voided with the rest, so this is for accounts that have
    long been at rest.

    Args:
        accounts: The accounts; changed.
        team: The team.
        offset: The order key to count from; rounded up to a whole unit.
    """
    accounts.teams.setdefault(team, Account())
    if _void_entries(accounts, team, float(math.ceil(offset))):
        _own_entry(accounts, team)


def _void_entries(accounts: ServiceAccounts, team: str, offset: float) -> bool:
    """Voids what counts from a lower offset, but for own work in flight."""
    account = accounts.teams[team]
    if offset <= account.offset:
        return False
    own = account.entries.get(accounts.owner)
    account.offset = offset
    account.lift = 0.0
    account.entries.clear()
    account.total = 0.0
    if own is not None:
        own.served = 0.0
        account.entries[accounts.owner] = own
        account.total = own.reserved
        if own.reserved:
            _own_entry(accounts, team)
    return True


def compute_reserved(accounts: ServiceAccounts, team: str) -> float:
    """Computes a team's reserved units, over all sidecars."""
    account = accounts.teams.get(team)
    if account is None:
        return 0.0
    return sum(entry.reserved for entry in account.entries.values())


def drop_account(accounts: ServiceAccounts, team: str) -> None:
    """Forgets an account."""
    accounts.teams.pop(team, None)
    accounts.unsent.discard(team)


def compute_order_key(
    accounts: ServiceAccounts, team: str, weight: float
) -> float:
    """Computes a team's order key: the least is served next.

    Args:
        accounts: The accounts.
        team: The team.
        weight: The team's weight.

    Returns:
        The team's offset and lift, plus units served and reserved since the
        offset, per weight.

    Example:
        >>> accounts = ServiceAccounts("engine-1/1")
        >>> charge_team(accounts, "mill", 30.0)
        >>> compute_order_key(accounts, "mill", weight=2.0)
        15.0
    """
    account = accounts.teams.get(team)
    if account is None:
        return 0.0
    return account.offset + account.lift + account.total / weight


def merge_entries(
    accounts: ServiceAccounts, entries: Iterable[messages.AccountEntry]
) -> None:
    """Takes over entries of other owners where they are newer.

    Args:
        accounts: The accounts; changed.
        entries: Entries as received, in any order.
    """
    for received in entries:
        account = accounts.teams.setdefault(received.team, Account())
        _void_entries(accounts, received.team, received.offset)
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
    """Lists entries of some teams for sending.

    Args:
        accounts: The accounts.
        teams: Teams whose entries are wanted; unknown ones are left out.
        own_only: Whether to leave out the entries of other owners.

    Returns:
        The entries as message parts.
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
