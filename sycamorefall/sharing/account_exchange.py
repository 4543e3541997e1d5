"""Exchange of account entries between sidecars under a byte budget.

Every change of a team's sum is worth telling, at once while the budget lasts.
When it does not, changes of a team are told together and the teams whose sum
changed most go first: the interval stretches, the budget does not.
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
"""Bytes per second that a sidecar may send for accounts, over all siblings.

Its siblings send as much, so about the same comes in again.
"""

EXCHANGE_BURST = 7200.0
"""Bytes of account entries that a sidecar may save up."""

EXCHANGE_INTERVAL = 0.02
"""Least seconds between two sendings."""

HEAD_BYTES = 36
"""Size of an update without its entries, framing included."""

TEAM_NUMBER = 1 << 15
"""Stands for a team's number where an entry's size is measured."""

MOST_ENTRIES = 64
"""Entries in one update."""

LEAST_ENTRIES = 4
"""Entries in one update, however many siblings get it."""

SENDING_BYTES = 7200
"""Rough size of one sending to all siblings, the largest."""

TYPICAL_BYTES = 22
"""Rough size of an entry."""

REPEATS = 2
"""Entries told a second time in each update."""

REPEAT_PAUSE = 1.0
"""Seconds between updates that only repeat."""

WORTH_TELLING = 1.0
"""Change of a team's sum, in cost units, below which nothing is told."""


@dataclasses.dataclass(slots=True)
class AccountExchange:
    """What a sidecar told its siblings, and what it may still send.

    Attributes:
        told: Own sum (served and reserved) and offset last told, by team.
        repeats: Teams to be told a second time, oldest first.
        pages: Entries of all owners still to be told to a new sibling.
        next_send: When something may be sent again, but for the budget.
        next_repeat: When an update that only repeats may be sent.
        budget: What may be sent.
    """

    told: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    repeats: dict[str, None] = dataclasses.field(default_factory=dict)
    pages: dict[str, list[messages.AccountEntry]] = dataclasses.field(
        default_factory=dict
    )
    next_send: float = 0.0
    next_repeat: float = 0.0
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
    """Has a sibling told what it can't know, as it is new or was cut off.

    Args:
        exchange: The exchange; changed.
        accounts: This sidecar's view of the accounts.
        sibling: VM name of the sibling.
        include_other_owners: Whether this sidecar is the one to tell it the
            entries of
            all owners, of those too that are gone and can't tell their own.
    """
    own = _list_own_teams(accounts)
    exchange.repeats |= dict.fromkeys(own)
    if include_other_owners and accounts.teams:
        entries = accounts_module.list_entries(
            accounts, accounts.teams, own_only=False
        )
        entries.sort(key=_measure_weight)
        exchange.pages[sibling] = entries


def _measure_weight(entry: messages.AccountEntry) -> float:
    return entry.served + entry.reserved


def _list_own_teams(accounts: accounts_module.ServiceAccounts) -> list[str]:
    return [
        team
        for team, account in accounts.teams.items()
        if accounts.owner in account.entries
    ]


def compute_next_update_time(
    exchange: AccountExchange, accounts: accounts_module.ServiceAccounts
) -> float:
    """Tells when `build_due_updates` has something to tell."""
    if accounts.unsent or exchange.pages:
        due = exchange.next_send
    elif exchange.repeats:
        due = exchange.next_repeat
    else:
        return float("inf")
    return max(due, budget_module.compute_next_send_time(exchange.budget))


def build_due_updates(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    now: float,
    siblings: list[str],
) -> list[tuple[str, list[messages.AccountEntry]]]:
    """Lists what siblings are to be told now.

    Guards against a lost update, which would leave a sibling with an old
    entry for as long as the team does not change: each entry is told a
    second time, a little later.

    Args:
        exchange: The exchange; changed.
        accounts: The accounts; their set of unsent teams is emptied.
        now: This process's time.
        siblings: VM names of all siblings.

    Returns:
        Entries by sibling.
    """
    if not siblings:
        accounts.unsent.clear()
        exchange.repeats.clear()
        exchange.pages.clear()
        return []
    exchange.next_send = now + EXCHANGE_INTERVAL
    changed = _take_changed(exchange, accounts, _limit_entries(siblings))
    repeated: list[str] = []
    if changed or now >= exchange.next_repeat:
        repeated = _take_repeats(exchange, accounts, changed)
        exchange.next_repeat = now + REPEAT_PAUSE
    exchange.repeats |= dict.fromkeys(changed)
    entries = accounts_module.list_entries(accounts, changed + repeated)
    entries = [round_entry(entry) for entry in entries]
    news = [(name, entries) for name in siblings] if entries else []
    size = _measure_size(entries) * len(siblings) if entries else 0
    pages = _take_pages(exchange, siblings)
    size += sum(_measure_size(page) for _, page in pages)
    budget_module.spend_bytes(exchange.budget, now, size)
    return news + pages


def _measure_size(entries: list[messages.AccountEntry]) -> int:
    """Measures an update with names as indexes; a name's first is not counted.

    Each name travels once per link, and only while it is new.
    """
    parts = [
        (
            TEAM_NUMBER,
            0,
            entry.sequence,
            entry.served,
            entry.reserved,
            entry.offset,
        )
        for entry in entries
    ]
    return HEAD_BYTES + len(msgspec.msgpack.encode(parts))


def _limit_entries(siblings: list[str]) -> int:
    """Limits an update so that its sending doesn't overdraw for long.

    Guards against one large update to many siblings: nothing could be told
    for half a minute after it, however much a team receives meanwhile.
    """
    room = (SENDING_BYTES / len(siblings) - HEAD_BYTES) / TYPICAL_BYTES
    return max(LEAST_ENTRIES, min(MOST_ENTRIES, int(room)))


def _take_changed(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    most: int,
) -> list[str]:
    """Takes the teams whose sum changed most since it was last told.

    What is charged within the reservation leaves the sum as it is, and with
    it every sidecar's choice: an answer that streams makes no news.
    """
    changes = {
        team: _measure_change(exchange, accounts, team)
        for team in accounts.unsent
    }
    telling = sorted(
        (team for team, change in changes.items() if change >= WORTH_TELLING),
        key=lambda team: (-changes[team], team),
    )
    accounts.unsent.clear()
    accounts.unsent.update(telling[most:])
    del telling[most:]
    for team in telling:
        exchange.told[team] = _sum_own(accounts, team)
    return telling


def _sum_own(
    accounts: accounts_module.ServiceAccounts, team: str
) -> tuple[float, float]:
    account = accounts.teams[team]
    entry = account.entries[accounts.owner]
    return entry.served + entry.reserved, account.offset


def _measure_change(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    team: str,
) -> float:
    account = accounts.teams.get(team)
    if account is None or accounts.owner not in account.entries:
        return 0.0
    before = exchange.told.get(team, (0.0, 0.0))
    after = _sum_own(accounts, team)
    return sum(abs(new - old) for new, old in zip(after, before, strict=True))


def _take_repeats(
    exchange: AccountExchange,
    accounts: accounts_module.ServiceAccounts,
    changed: list[str],
) -> list[str]:
    most = REPEATS if changed else LEAST_ENTRIES
    for team in changed:
        exchange.repeats.pop(team, None)
    taken = list(itertools.islice(exchange.repeats, most))
    for team in taken:
        del exchange.repeats[team]
    return [team for team in taken if team in accounts.teams]


def _take_pages(
    exchange: AccountExchange, siblings: list[str]
) -> list[tuple[str, list[messages.AccountEntry]]]:
    pages = []
    for name in list(exchange.pages):
        left = exchange.pages[name]
        if name in siblings and left:
            page = [round_entry(entry) for entry in left[-MOST_ENTRIES:]]
            pages.append((name, page))
        del left[-MOST_ENTRIES:]
        if not left or name not in siblings:
            del exchange.pages[name]
    return pages


def round_entry(entry: messages.AccountEntry) -> messages.AccountEntry:
    """Rounds an entry to whole cost units, which take a third of the bytes.

    The sums are rounded, not their changes, so the error never adds up.
    """
    return messages.AccountEntry(
        entry.team,
        entry.owner,
        entry.sequence,
        round(entry.served),
        round(entry.reserved),
        round(entry.offset),
    )
