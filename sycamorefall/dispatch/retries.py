"""Retry budget of each team, and the back-off before a retry waits again.

When an upstream fails everything it is given, each request comes back up to
its limit of attempts: the load on what is left of the service multiplies just
when it can bear it least. The budget limits a team's retries to a share of
its requests, so a failing team costs the others little.
"""

__all__ = [
    "RetryBudget",
    "RetryBudgets",
    "compute_backoff",
    "deposit_request",
    "drop_idle_budgets",
    "withdraw_retry",
]

import dataclasses
import random

SHARE = 0.1
"""Retries earned by each request."""

RESERVE = 5.0
"""Retries that a team has without having sent much."""

MOST = 50.0
"""Retries that can be saved up."""

BUDGET_LIFETIME = 60.0
"""Seconds without a request after which a team has just the reserve again."""

FIRST_BACKOFF = 0.05
"""Seconds before the first retry, at most."""

LONGEST_BACKOFF = 2.0
"""Seconds before any retry, at most."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """One team's token bucket.

    Attributes:
        tokens: Retries left.
        used: When it was last used.
    """

    tokens: float
    used: float


@dataclasses.dataclass(slots=True)
class RetryBudgets:
    """Budgets of all teams with recent requests, least recently used first.

    Attributes:
        teams: Budgets by team; a team without one has the reserve.
        refused: Retries that a budget refused so far.
    """

    teams: dict[str, RetryBudget] = dataclasses.field(default_factory=dict)
    refused: int = 0


def _touch_budget(budgets: RetryBudgets, now: float, team: str) -> RetryBudget:
    budget = budgets.teams.pop(team, None)
    if budget is None or now - budget.used > BUDGET_LIFETIME:
        budget = RetryBudget(RESERVE, now)
    budget.used = now
    budgets.teams[team] = budget
    return budget


def deposit_request(budgets: RetryBudgets, now: float, team: str) -> None:
    """Earns a share of a retry for a request that was let in.

    Args:
        budgets: The budgets; changed.
        now: This process's time.
        team: The team.
    """
    budget = _touch_budget(budgets, now, team)
    budget.tokens = min(MOST, budget.tokens + SHARE)


def withdraw_retry(budgets: RetryBudgets, now: float, team: str) -> bool:
    """Takes one retry out of a team's budget.

    Args:
        budgets: The budgets; changed.
        now: This process's time.
        team: The team.

    Returns:
        Whether there was one.

    Example:
        >>> budgets = RetryBudgets()
        >>> [withdraw_retry(budgets, 0.0, "mill") for _ in range(6)]
        [True, True, True, True, True, False]
    """
    budget = _touch_budget(budgets, now, team)
    if budget.tokens < 1.0:
        budgets.refused += 1
        return False
    budget.tokens -= 1.0
    return True


def drop_idle_budgets(budgets: RetryBudgets, now: float) -> None:
    """Forgets teams without recent requests; they have the reserve again."""
    while budgets.teams:
        team, budget = next(iter(budgets.teams.items()))
        if now - budget.used <= BUDGET_LIFETIME:
            return
        del budgets.teams[team]


def compute_backoff(failures: int, seed: str) -> float:
    """Computes how long a failed request stays out before it waits again.

    The longest time doubles with each failure; where in its upper half the
    request comes back is chosen by the seed, so that requests which failed
    together don't come back together.

    Args:
        failures: Attempts that failed, from 1.
        seed: Names the request and the attempt.

    Returns:
        Seconds.

    Example:
        >>> 0.05 <= compute_backoff(2, "router-0/1/7") <= 0.1
        True
    """
    longest = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2.0 ** (failures - 1))
    return longest * (0.5 + 0.5 * random.Random(seed).random())
