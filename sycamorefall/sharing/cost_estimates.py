"""Estimates of request costs, as moving averages of each team's requests."""

__all__ = [
    "CostEstimates",
    "compute_max_lead",
    "estimate_cost",
    "record_cost",
]

import dataclasses

SMOOTHING = 0.2
"""Weight of the newest cost in the exponential moving average."""


MAX_LEAD_REQUESTS = 128
"""Mean request costs by which a team may be ahead of another that waits."""

MAX_TEAMS = 4096
"""Teams with a stored mean; the one served longest ago is evicted first."""


@dataclasses.dataclass(slots=True)
class CostEstimates:
    """Moving averages of the request costs at one service, in cost units.

    Attributes:
        overall: Average over all teams; 0 until a request has ended.
        teams: Average by team, in order of the teams' last ended requests.
    """

    overall: float = 0.0
    teams: dict[str, float] = dataclasses.field(default_factory=dict)


def record_cost(estimates: CostEstimates, team: str, units: float) -> None:
    """Updates the averages with the cost of a request that has ended.

    Args:
        estimates: The estimates; changed.
        team: The request's team.
        units: The request's cost, in cost units.
    """
    previous = estimates.teams.pop(team, units)
    estimates.teams[team] = previous + SMOOTHING * (units - previous)
    if len(estimates.teams) > MAX_TEAMS:
        del estimates.teams[next(iter(estimates.teams))]
    overall = estimates.overall or units
    estimates.overall = overall + SMOOTHING * (units - overall)


def estimate_cost(estimates: CostEstimates, team: str) -> float:
    """Estimates the cost of a team's next request.

    Returns:
        Cost units: the team's average, else that of all teams, else 0.
    """
    return estimates.teams.get(team, estimates.overall)


def compute_max_lead(estimates: CostEstimates) -> float:
    """Computes by how much a team may be ahead of another that waits.

    Returns:
        Cost units; infinite while no cost is known.
    """
    return MAX_LEAD_REQUESTS * estimates.overall or float("inf")
