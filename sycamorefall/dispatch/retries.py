"""Retry budgets of teams, and the backoff before a retry is queued again.

When an upstream fails all its requests, each request is retried up to its limit
of attempts. This multiplies the load on the remaining upstreams just when their
capacity is lowest. The retry budget, a token bucket, limits a team's retries to
a fraction of its requests, so a team whose requests fail has little effect on
other teams.
"""

__all__ = [
    "RetryBudget",
    "RetryBudgets",
    "compute_backoff",
    "deposit_request",
    "drop_idle_budgets",
    "return_retry",
    "withdraw_retry",
]

import dataclasses
import random

RETRY_TOKENS_PER_REQUEST = 0.1
"""Retry tokens that each admitted request adds to its team's budget."""

INITIAL_RETRY_TOKENS = 5.0
"""Retry tokens of a team that has sent no requests recently."""

MAX_RETRY_TOKENS = 50.0
"""Maximum retry tokens of a budget."""

BUDGET_LIFETIME = 60.0
"""Seconds without use after which a budget is reset to its initial tokens."""

INITIAL_BACKOFF = 0.05
"""Maximum backoff after the first failure, in seconds."""

MAX_BACKOFF = 2.0
"""Maximum backoff after any number of failures, in seconds."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """One team's token bucket.

    Attributes:
        tokens: Retry tokens left; a retry takes one.
        last_used_at: When a request or retry last changed the budget.
    """

    tokens: float
    last_used_at: float


@dataclasses.dataclass(slots=True)
class RetryBudgets:
    """Budgets of all teams with recent requests.

    Attributes:
        teams: Budgets by team, least recently used first. A team that is
            missing has `INITIAL_RETRY_TOKENS`.
        refused: Total number of retries refused for lack of tokens.
    """

    teams: dict[str, RetryBudget] = dataclasses.field(default_factory=dict)
    refused: int = 0


def _use_budget(budgets: RetryBudgets, now: float, team: str) -> RetryBudget:
    budget = budgets.teams.pop(team, None)
    if budget is None or now - budget.last_used_at > BUDGET_LIFETIME:
        budget = RetryBudget(INITIAL_RETRY_TOKENS, now)
    budget.last_used_at = now
    budgets.teams[team] = budget
    return budget


def deposit_request(budgets: RetryBudgets, now: float, team: str) -> None:
    """Adds the retry tokens of an admitted request to its team's budget.

    Args:
        budgets: The budgets; changed.
        now: This process's time, in seconds.
        team: Team of the request.
    """
    budget = _use_budget(budgets, now, team)
    budget.tokens = min(
        MAX_RETRY_TOKENS, budget.tokens + RETRY_TOKENS_PER_REQUEST
    )


def withdraw_retry(budgets: RetryBudgets, now: float, team: str) -> bool:
    """Takes the token of one retry out of a team's budget, if it has one.

    Args:
        budgets: The budgets; changed.
        now: This process's time, in seconds.
        team: Team of the request to be retried.

    Returns:
        Whether the team had a token; if not, the retry is refused.

    Example:
        >>> budgets = RetryBudgets()
        >>> [withdraw_retry(budgets, 0.0, "mill") for _ in range(6)]
        [True, True, True, True, True, False]
    """
    budget = _use_budget(budgets, now, team)
    if budget.tokens < 1.0:
        budgets.refused += 1
        return False
    budget.tokens -= 1.0
    return True


def return_retry(budgets: RetryBudgets, now: float, team: str) -> None:
    """Returns the token of a retry that was not made to its team's budget.

    Args:
        budgets: The budgets; changed.
        now: This process's time, in seconds.
        team: Team of the request.
    """
    budget = _use_budget(budgets, now, team)
    budget.tokens = min(MAX_RETRY_TOKENS, budget.tokens + 1.0)


def drop_idle_budgets(budgets: RetryBudgets, now: float) -> None:
    """Drops budgets that were not used for `BUDGET_LIFETIME`."""
    while budgets.teams:
        team, budget = next(iter(budgets.teams.items()))
        if now - budget.last_used_at <= BUDGET_LIFETIME:
            return
        del budgets.teams[team]


def compute_backoff(failures: int, seed: str) -> float:
    """Computes the backoff before a failed request is queued again.

    The maximum backoff doubles with each failure. The seed determines a random
    backoff in the upper half of the range, so that requests which failed
    together are not queued again at the same time.

    Args:
        failures: Number of attempts that failed, from 1.
        seed: Identifies the request and the attempt.

    Returns:
        The backoff in seconds.

    Example:
        >>> 0.05 <= compute_backoff(2, "router-0/1/7") <= 0.1
        True
    """
    max_backoff = min(MAX_BACKOFF, INITIAL_BACKOFF * 2.0 ** (failures - 1))
    return max_backoff * (0.5 + 0.5 * random.Random(seed).random())
