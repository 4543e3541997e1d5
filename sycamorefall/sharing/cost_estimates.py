"""Estimates of a request's cost, from the team's own recent requests."""

__all__ = [
    "CostEstimates",
    "compute_max_lead",
    "estimate_cost",
    "record_cost",
]

import dataclasses

SMOOTHING = 0.2
"""Weight of the newest cost in the mean."""


MAX_LEAD_REQUESTS = 128
"""Mean requests by which a team may be ahead of another that waits."""

MOST_TEAMS = 4096
"""Teams whose costs are remembered; the one served longest ago goes first."""


@dataclasses.dataclass(slots=True)
class CostEstimates:
    """Mean costs at one service.

    Attributes:
        overall: Mean over all teams; 0 while nothing has ended.
        teams: Mean of each team's recent requests, the last served last.
    """

    overall: float = 0.0
    teams: dict[str, float] = dataclasses.field(default_factory=dict)


def record_cost(estimates: CostEstimates, team: str, units: float) -> None:
    """Learns from a request that has ended.

    Args:
        estimates: The estimates; changed.
        team: Whose request it was.
        units: Its cost.
    """
    known = estimates.teams.pop(team, units)
    estimates.teams[team] = known + SMOOTHING * (units - known)
    if len(estimates.teams) > MOST_TEAMS:
        del estimates.teams[next(iter(estimates.teams))]
    overall = estimates.overall or units
    estimates.overall = overall + SMOOTHING * (units - overall)


def estimate_cost(estimates: CostEstimates, team: str) -> float:
    """Estimates the cost of a team's next request.

    Returns:
        Cost units: the team's mean, else the mean of all, else 0.
    """
    return estimates.teams.get(team, estimates.overall)


def compute_max_lead(estimates: CostEstimates) -> float:
    """Computes how far a team may get ahead of another that waits.

    Returns:
        Cost units; unlimited while no cost is known.
    """
    return MAX_LEAD_REQUESTS * estimates.overall or float("inf")
