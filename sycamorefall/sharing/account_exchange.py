"""Replication of account entries between sidecars, within a byte budget.

While the budget allows, each change of a team's own sum is sent at once. When
the budget is used up, a team's changes are combined into one entry and the
teams whose sums changed most are sent first: the interval between updates
grows, while the traffic stays within the budget.

A sidecar's siblings are the other sidecars of the same service.
"""

__all__ = [
    "AccountExchange",
    "build_due_updates",
    "compute_next_update_time",
    "schedule_sibling_sync",
]

import dataclasses
import itertools

import msgspec

from sycamorefall import messages
from sycamorefall.sharing import accounts as accounts_module
from sycamorefall.sharing import budget as budget_module

EXCHANGE_RATE = 1800.0
"""Bytes per second of account updates that a sidecar sends to all siblings.

Its siblings send as much, so a sidecar receives about the same.
"""

EXCHANGE_BURST = 7200.0
"""Burst size of the budget for account updates, in bytes."""

EXCHANGE_INTERVAL = 0.02
"""Minimum seconds between two updates."""

HEADER_BYTES = 36
"""Size of an update without its entries, framing included."""

PLACEHOLDER_TEAM_INDEX = 1 << 15
"""Placeholder for a team's name index when the size of an entry is measured."""

MAX_ENTRIES = 64
"""Maximum number of entries in one update."""

MIN_ENTRIES = 4
"""Entries that an update may hold, however many siblings receive it.

Also the number of entries in an update that only repeats.
"""

MAX_SEND_BYTES = 7200
"""Approximate maximum size of one update, summed over all siblings."""

TYPICAL_ENTRY_BYTES = 22
"""Approximate size of an entry."""

REPEATS_PER_UPDATE = 2
"""Entries sent for the second time in each update with changes."""

REPEAT_INTERVAL = 1.0
"""Minimum seconds from an update to one that only repeats entries."""

MIN_REPORTED_CHANGE = 1.0
"""Change of a team's sum, in cost units, below which no entry is sent."""


@dataclasses.dataclass(slots=True)
class AccountExchange:
    """State of a sidecar's account updates to its siblings.

    Attributes:
        last_sent: Own sum (served plus reserved) and offset as last sent, by
            team.
        pending_repeats: Teams whose entries have to be sent a second time,
            oldest first.
        pending_pages: Entries of all owners that a new sibling has yet to be
            sent, by sibling. The last ones are sent first.
        next_send_at: Earliest time of the next update, apart from the budget.
        next_repeat_at: Earliest time of an update with repeated entries only.
        budget: Byte budget of the updates.
    """

    last_sent: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    pending_repeats: dict[str, None] = dataclasses.field(default_factory=dict)
    pending_pages: dict[str, list[messages.AccountEntry]] = dataclasses.field(
        default_factory=dict
    )
    next_send_at: float = 0.0
    next_repeat_at: float = 0.0
    budget: budget_module.ByteBudget = dataclasses.field(
        default_factory=lambda: budget_module.ByteBudget(
            EXCHANGE_RATE, EXCHANGE_BURST, EXCHANGE_BURST
        )
    )


def schedule_sibling_sync(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    sibling: str,
    include_other_owners: bool,
) -> None:
    """Schedules the entries that a new or reconnected sibling may lack.

    This sidecar's own entries are sent to all siblings again.

    Args:
        exchange: The exchange; changed.
        accounts: The accounts as this sidecar knows them.
        sibling: VM name of the sibling.
        include_other_owners: Whether to send the sibling the entries of all
            owners, too. This covers processes that ended and can't send
            their own.
    """
    own = _list_teams_with_own_entry(accounts)
    exchange.pending_repeats |= dict.fromkeys(own)
    if include_other_owners and accounts.teams:
        entries = accounts_module.list_entries(
            accounts, accounts.teams, own_only=False
        )
        entries.sort(key=_compute_units)
        exchange.pending_pages[sibling] = entries


def _compute_units(entry: messages.AccountEntry) -> float:
    return entry.served + entry.reserved


def _list_teams_with_own_entry(
    accounts: accounts_module.ServiceAccounts,
) -> list[str]:
    return [
        team
        for team, account in accounts.teams.items()
        if accounts.owner in account.entries
    ]


def compute_next_update_time(
    exchange: AccountExchange, accounts: accounts_module.ServiceAccounts
) -> float:
    """Computes the time at which `build_due_updates` has updates to send.

    Returns:
        The time; infinite if there is nothing to send.
    """
    if accounts.unsent or exchange.pending_pages:
        due = exchange.next_send_at
    elif exchange.pending_repeats:
        due = exchange.next_repeat_at
    else:
        return float("inf")
    return max(due, budget_module.compute_next_send_time(exchange.budget))


def build_due_updates(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    now: float,
    siblings: list[str],
) -> list[tuple[str, list[messages.AccountEntry]]]:
    """Builds the updates that are due, and charges them to the budget.

    Each changed entry is sent a second time a little later. If an update was
    sent only once and got lost, a sibling would keep the outdated entry until
    the team's sum changes again.

    Args:
        exchange: The exchange; changed.
        accounts: The accounts; teams whose entries are sent, or changed too
            little to be sent, are removed from the unsent ones.
        now: This process's time, in seconds.
        siblings: VM names of all siblings.

    Returns:
        Pairs of a sibling and the entries to send to it.
    """
    if not siblings:
        accounts.unsent.clear()
        exchange.pending_repeats.clear()
        exchange.pending_pages.clear()
        return []
    exchange.next_send_at = now + EXCHANGE_INTERVAL
    changed = _pop_changed_teams(
        exchange, accounts, _compute_max_entries(siblings)
    )
    repeated: list[str] = []
    if changed or now >= exchange.next_repeat_at:
        repeated = _pop_repeats(exchange, accounts, changed)
        exchange.next_repeat_at = now + REPEAT_INTERVAL
    exchange.pending_repeats |= dict.fromkeys(changed)
    entries = accounts_module.list_entries(accounts, changed + repeated)
    entries = [round_entry(entry) for entry in entries]
    updates = [(name, entries) for name in siblings] if entries else []
    size = _measure_size(entries) * len(siblings) if entries else 0
    pages = _pop_pages(exchange, siblings)
    size += sum(_measure_size(page) for _, page in pages)
    budget_module.spend_bytes(exchange.budget, now, size)
    return updates + pages


def _measure_size(entries: list[messages.AccountEntry]) -> int:
    """Measures an update in bytes, with names replaced by their indexes.

    The names themselves aren't counted, as each is sent only once per link.
    """
    parts = [
        (
            PLACEHOLDER_TEAM_INDEX,
            0,
            entry.sequence,
            entry.served,
            entry.reserved,
            entry.offset,
        )
        for entry in entries
    ]
    return HEADER_BYTES + len(msgspec.msgpack.encode(parts))


def _compute_max_entries(siblings: list[str]) -> int:
    """Computes how many entries an update to all siblings may hold.

    After a large update to many siblings the budget would stay overdrawn for
    half a minute, in which no change could be sent, however much a team
    receives.
    """
    room = (MAX_SEND_BYTES / len(siblings) - HEADER_BYTES) / TYPICAL_ENTRY_BYTES
    return max(MIN_ENTRIES, min(MAX_ENTRIES, int(room)))


def _pop_changed_teams(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    max_teams: int,
) -> list[str]:
    """Removes the teams whose sum changed most from the unsent ones.

    The sum is of served and reserved units. A charge that a reservation
    covers leaves the sum, and thus every sidecar's selection, unchanged. So a
    streamed response causes no updates.
    """
    changes = {
        team: _compute_unsent_change(exchange, accounts, team)
        for team in accounts.unsent
    }
    reported = sorted(
        (
            team
            for team, change in changes.items()
            if change >= MIN_REPORTED_CHANGE
        ),
        key=lambda team: (-changes[team], team),
    )
    accounts.unsent.clear()
    accounts.unsent.update(reported[max_teams:])
    del reported[max_teams:]
    for team in reported:
        exchange.last_sent[team] = _compute_own_sum(accounts, team)
    return reported


def _compute_own_sum(
    accounts: accounts_module.ServiceAccounts, team: str
) -> tuple[float, float]:
    account = accounts.teams[team]
    entry = account.entries[accounts.owner]
    return entry.served + entry.reserved, account.offset


def _compute_unsent_change(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    team: str,
) -> float:
    account = accounts.teams.get(team)
    if account is None or accounts.owner not in account.entries:
        return 0.0
    before = exchange.last_sent.get(team, (0.0, 0.0))
    after = _compute_own_sum(accounts, team)
    return sum(abs(new - old) for new, old in zip(after, before, strict=True))


def _pop_repeats(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    changed: list[str],
) -> list[str]:
    max_teams = REPEATS_PER_UPDATE if changed else MIN_ENTRIES
    for team in changed:
        exchange.pending_repeats.pop(team, None)
    taken = list(itertools.islice(exchange.pending_repeats, max_teams))
    for team in taken:
        del exchange.pending_repeats[team]
    return [team for team in taken if team in accounts.teams]


def _pop_pages(
    exchange: AccountExchange, siblings: list[str]
) -> list[tuple[str, list[messages.AccountEntry]]]:
    pages = []
    for name in list(exchange.pending_pages):
        remaining = exchange.pending_pages[name]
        if name in siblings and remaining:
            page = [round_entry(entry) for entry in remaining[-MAX_ENTRIES:]]
            pages.append((name, page))
        del remaining[-MAX_ENTRIES:]
        if not remaining or name not in siblings:
            del exchange.pending_pages[name]
    return pages


def round_entry(entry: messages.AccountEntry) -> messages.AccountEntry:
    """Rounds an entry to whole cost units, which take a third of the bytes.

    The sums are rounded, not their changes, so errors don't accumulate.
    """
    return messages.AccountEntry(
        entry.team,
        entry.owner,
        entry.sequence,
        round(entry.served),
        round(entry.reserved),
        round(entry.offset),
    )
