"""Fair sharing: service accounts, waiting work, choice of the next team."""

__all__ = [
    "Account",
    "ByteBudget",
    "CostEstimates",
    "Demand",
    "Exchange",
    "Fairness",
    "ServiceAccounts",
    "WaitingQueues",
    "charge_team",
    "choose_router",
    "choose_team",
    "compute_horizon",
    "compute_key",
    "drop_idle_accounts",
    "estimate_cost",
    "find_next_exchange",
    "find_opening",
    "is_open",
    "join_queue",
    "lift_team",
    "list_entries",
    "list_news",
    "merge_entries",
    "note_cost",
    "note_sibling",
    "note_waiting",
    "peek_oldest",
    "pop_earliest",
    "reserve_units",
    "share_rate",
    "spend_bytes",
]

from sycamorefall.sharing.accounts import (
    Account,
    ServiceAccounts,
    charge_team,
    compute_key,
    list_entries,
    merge_entries,
    reserve_units,
)
from sycamorefall.sharing.budget import (
    ByteBudget,
    find_opening,
    is_open,
    share_rate,
    spend_bytes,
)
from sycamorefall.sharing.choice import (
    Fairness,
    choose_team,
    drop_idle_accounts,
    lift_team,
)
from sycamorefall.sharing.demand import Demand, choose_router, note_waiting
from sycamorefall.sharing.estimates import (
    CostEstimates,
    compute_horizon,
    estimate_cost,
    note_cost,
)
from sycamorefall.sharing.exchange import (
    Exchange,
    find_next_exchange,
    list_news,
    note_sibling,
)
from sycamorefall.sharing.queues import (
    WaitingQueues,
    join_queue,
    peek_oldest,
    pop_earliest,
)
