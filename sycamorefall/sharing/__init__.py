"""Fair sharing of a service: accounts, waiting requests, team selection."""

__all__ = [
    "Account",
    "AccountExchange",
    "ByteBudget",
    "CostEstimates",
    "Demand",
    "FairnessState",
    "ServiceAccounts",
    "WaitingQueues",
    "add_request",
    "build_due_updates",
    "charge_team",
    "choose_router",
    "choose_team",
    "compute_max_lead",
    "compute_next_send_time",
    "compute_next_update_time",
    "compute_order_key",
    "compute_remaining_rate",
    "drop_idle_accounts",
    "estimate_cost",
    "get_oldest_arrival",
    "may_send",
    "list_entries",
    "merge_entries",
    "pop_earliest",
    "raise_to_floor",
    "record_cost",
    "record_waiting",
    "reserve_units",
    "schedule_sibling_sync",
    "spend_bytes",
]

from sycamorefall.sharing.account_exchange import (
    AccountExchange,
    build_due_updates,
    compute_next_update_time,
    schedule_sibling_sync,
)
from sycamorefall.sharing.accounts import (
    Account,
    ServiceAccounts,
    charge_team,
    compute_order_key,
    list_entries,
    merge_entries,
    reserve_units,
)
from sycamorefall.sharing.budget import (
    ByteBudget,
    compute_next_send_time,
    compute_remaining_rate,
    may_send,
    spend_bytes,
)
from sycamorefall.sharing.cost_estimates import (
    CostEstimates,
    compute_max_lead,
    estimate_cost,
    record_cost,
)
from sycamorefall.sharing.demand import Demand, choose_router, record_waiting
from sycamorefall.sharing.queues import (
    WaitingQueues,
    add_request,
    get_oldest_arrival,
    pop_earliest,
)
from sycamorefall.sharing.team_selection import (
    FairnessState,
    choose_team,
    drop_idle_accounts,
    raise_to_floor,
)
