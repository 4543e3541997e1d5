"""Upper bound of the fairness gap between two backlogged teams."""

__all__ = ["compute_gap_bound"]


def compute_gap_bound(
    in_flight: int,
    largest_cost: float,
    staleness: float,
    rate: float,
    lightest_weight: float = 1.0,
) -> float:
    """Computes the maximum difference of two backlogged teams' service.

    A sidecar gives a slot only to the team that received least according to
    its accounts. What can be charged to the team beyond that is limited to
    the largest cost of every claim and run in flight, plus what all upstreams
    serve until an account entry arrives. The same may happen to the other
    team at the other end of the period in question, hence the factor of 2.

    Args:
        in_flight: Claims and runs that can be in flight at the service.
        largest_cost: Cost units of the largest request.
        staleness: Seconds until all sidecars know of an account's change.
        rate: Cost units per second that all upstreams serve together.
        lightest_weight: Minimum of the teams' weights.

    Returns:
        Cost units per weight.

    Example:
        >>> compute_gap_bound(10, 100.0, staleness=0.1, rate=500.0)
        2100.0
    """
    unseen = in_flight * largest_cost + staleness * rate
    return 2 * unseen / lightest_weight
