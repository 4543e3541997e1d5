"""The stated bound on the fairness gap."""

__all__ = ["compute_gap_bound"]


def compute_gap_bound(
    in_flight: int,
    largest_cost: float,
    staleness: float,
    rate: float,
    lightest_weight: float = 1.0,
) -> float:
    """Computes the most that two backlogged teams' service can differ.

    A team is given a slot only while it is the one that received least in
    the eyes of a sidecar. Whatever can then still be charged to it unseen is
    at most every claim and run in flight at the largest cost, and what all
    upstreams give while an account entry is on its way. The same may happen
    to the other team at the other end of the window.

    Args:
        in_flight: Claims and runs that can be in flight at the service.
        largest_cost: Cost units of the largest request.
        staleness: Seconds until a change of an account is seen everywhere.
        rate: Cost units per second that all upstreams give together.
        lightest_weight: The least weight among the teams.

    Returns:
        Cost units per weight.

    Example:
        >>> compute_gap_bound(10, 100.0, staleness=0.1, rate=500.0)
        2100.0
    """
    unseen = in_flight * largest_cost + staleness * rate
    return 2 * unseen / lightest_weight
