"""Sums of what other routers gave to teams and refused them, as they reported.

Both decay with the same half-life at all routers, so a reported amount can be
converted to any later time. Amounts are kept as of one time, the epoch, in
which form they don't change: a router that receives no report any more believes
less and less, and never more than what was given.
"""

__all__ = [
    "Amounts",
    "Kind",
    "ReportedServices",
    "convert_report",
    "list_amounts",
    "move_epoch",
    "replace_amounts",
    "sum_demands",
]

import collections
from collections.abc import Iterable
import dataclasses
import enum

from sycamorefall import messages
from sycamorefall.direct import fair_queue


class Kind(enum.Enum):
    """What an amount counts.

    RECEIVED: Service that a team received.
    UNMET: Cost of a team's requests that were refused for lack of capacity.
    """

    RECEIVED = "received"
    UNMET = "unmet"


Amounts = dict[tuple[str, Kind], dict[str, int]]
"""Cost units as of the epoch by service and kind, then by team."""

MAX_HALF_LIVES = 64
"""Half-lives from the epoch at which it is moved, so that amounts as of the
epoch don't grow without limit."""


@dataclasses.dataclass(slots=True)
class ReportedServices:
    """Service and refusals of all other routers.

    Amounts are integers, so sums that are updated by differences have no
    rounding errors.

    Attributes:
        epoch: Time of this process's clock as of which amounts are kept; None
            before the first report.
        sums: Cost units as of the epoch by service and kind, then by team.
    """

    epoch: float | None = None
    sums: dict[tuple[str, Kind], collections.Counter[str]] = dataclasses.field(
        default_factory=dict
    )


def convert_report(
    reported: ReportedServices,
    services: Iterable[messages.ServiceDemand],
    measured_at: float,
) -> Amounts:
    """Converts a report to amounts as of the epoch.

    Args:
        reported: The sums; their epoch is set by the first report.
        services: The report.
        measured_at: Time of this process's clock as of which it was made.
    """
    if reported.epoch is None:
        reported.epoch = measured_at
    scale = 1 / fair_queue.decay(1.0, measured_at - reported.epoch)
    amounts: Amounts = {}
    for demand in services:
        for entry in demand.teams:
            for kind, amount in (
                (Kind.RECEIVED, entry.amount),
                (Kind.UNMET, entry.unmet),
            ):
                if amount:
                    teams = amounts.setdefault((demand.service, kind), {})
                    teams[entry.team] = round(amount * scale)
    return amounts


def replace_amounts(
    reported: ReportedServices, old: Amounts, new: Amounts
) -> None:
    """Replaces the amounts of one source in the sums."""
    for key, teams in old.items():
        known = reported.sums[key]
        for team, amount in teams.items():
            known[team] -= amount
            if not known[team]:
                del known[team]
    for key, teams in new.items():
        known = reported.sums.setdefault(key, collections.Counter())
        for team, amount in teams.items():
            known[team] += amount


def move_epoch(
    reported: ReportedServices, sources: Iterable[Amounts], now: float
) -> list[Amounts]:
    """Moves the epoch on if it is long ago.

    Args:
        reported: The sums; changed.
        sources: Amounts of all sources.
        now: Current time of this process's clock.

    Returns:
        The amounts of the sources as of the epoch.
    """
    known = list(sources)
    step = MAX_HALF_LIVES * fair_queue.ACCOUNT_HALF_LIFE
    if reported.epoch is None or now - reported.epoch < step:
        return known
    steps = int((now - reported.epoch) / step)
    reported.epoch += steps * step
    moved = [
        {
            key: {
                team: amount >> steps * MAX_HALF_LIVES
                for team, amount in teams.items()
            }
            for key, teams in amounts.items()
        }
        for amounts in known
    ]
    reported.sums.clear()
    for amounts in moved:
        replace_amounts(reported, {}, amounts)
    return moved


def list_amounts(
    reported: ReportedServices, amounts: Amounts, now: float
) -> tuple[messages.ServiceDemand, ...]:
    """Lists the amounts of one source as of now, to be passed on."""
    if reported.epoch is None:
        return ()
    scale = fair_queue.decay(1.0, now - reported.epoch)
    return sum_demands(
        (
            messages.ServiceDemand(
                service,
                tuple(
                    messages.TeamService(team, int(amount * scale))
                    if kind is Kind.RECEIVED
                    else messages.TeamService(team, 0, int(amount * scale))
                    for team, amount in teams.items()
                ),
            ),
        )
        for (service, kind), teams in amounts.items()
    )


def sum_demands(
    parts: Iterable[Iterable[messages.ServiceDemand]],
) -> tuple[messages.ServiceDemand, ...]:
    """Sums up by service and team what several routers gave and refused.

    Example:
        >>> one = messages.ServiceDemand(
        ...     "engine", (messages.TeamService("mill", 10, 5),)
        ... )
        >>> sum_demands([[one], [one]])[0].teams
        (TeamService(team='mill', amount=20, unmet=10),)
    """
    sums: dict[str, dict[str, tuple[int, int]]] = {}
    for demands in parts:
        for demand in demands:
            teams = sums.setdefault(demand.service, {})
            for entry in demand.teams:
                amount, unmet = teams.get(entry.team, (0, 0))
                teams[entry.team] = amount + entry.amount, unmet + entry.unmet
    return tuple(
        messages.ServiceDemand(
            service,
            tuple(
                messages.TeamService(team, *both)
                for team, both in teams.items()
            ),
        )
        for service, teams in sums.items()
    )
