"""Estimates of a request's cost, from the team's own recent requests."""

__all__ = ["CostEstimates", "estimate_cost", "note_cost"]

import dataclasses

SMOOTHING = 0.2
"""Weight of the newest cost in the mean."""


@dataclasses.dataclass(slots=True)
class CostEstimates:
    """Mean costs at one service.

    Attributes:
        overall: Mean over all teams; 0 while nothing has ended.
        teams: Mean of each team's recent requests.
    """

    overall: float = 0.0
    teams: dict[str, float] = dataclasses.field(default_factory=dict)


def note_cost(estimates: CostEstimates, team: str, units: float) -> None:
    """Learns from a request that has ended.

    Args:
        estimates: The estimates; changed.
        team: Whose request it was.
        units: Its cost.
    """
    known = estimates.teams.get(team, units)
    estimates.teams[team] = known + SMOOTHING * (units - known)
    overall = estimates.overall or units
    estimates.overall = overall + SMOOTHING * (units - overall)


def estimate_cost(estimates: CostEstimates, team: str) -> float:
    """Estimates the cost of a team's next request.

    Returns:
        Cost units: the team's mean, else the mean of all, else 0.
    """
    return estimates.teams.get(team, estimates.overall)
