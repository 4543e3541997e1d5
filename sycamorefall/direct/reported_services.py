"""Sums of the service that other routers gave to teams, as they reported it.

Service decays with the same half-life at all routers, so a reported amount can
be converted to any later time. Amounts are kept as of one time, the epoch, in
which form they don't change: a router that receives no report any more believes
less and less, and never more than what was given.
"""

__all__ = [
    "Amounts",
    "ReportedServices",
    "convert_report",
    "list_amounts",
    "move_epoch",
    "replace_amounts",
]

import collections
from collections.abc import Iterable
import dataclasses

from sycamorefall import messages
from sycamorefall.direct import fair_queue

Amounts = dict[str, dict[str, int]]
"""Service as of the epoch by service, then by team."""

MAX_HALF_LIVES = 64
"""Half-lives from the epoch at which it is moved, so that amounts as of the
epoch don't grow without limit."""


@dataclasses.dataclass(slots=True)
class ReportedServices:
    """Service that all other routers gave to teams.

    Amounts are integers, so sums that are updated by differences have no
    rounding errors.

    Attributes:
        epoch: Time of this process's clock as of which amounts are kept; None
            before the first report.
        sums: Service as of the epoch by service, then by team.
    """

    epoch: float | None = None
    sums: dict[str, collections.Counter[str]] = dataclasses.field(
        default_factory=dict
    )


def convert_report(
    reported: ReportedServices,
    services: Iterable[messages.ServiceDemand],
    measured_at: float,
) -> Amounts:
    """Converts reported service to amounts as of the epoch.

    Args:
        reported: The sums; their epoch is set by the first report.
        services: The reported service.
        measured_at: Time of this process's clock as of which it was reported.
    """
    if reported.epoch is None:
        reported.epoch = measured_at
    scale = 1 / fair_queue.decay(1.0, measured_at - reported.epoch)
    return {
        demand.service: {
            entry.team: round(entry.amount * scale) for entry in demand.teams
        }
        for demand in services
    }


def replace_amounts(
    reported: ReportedServices, old: Amounts, new: Amounts
) -> None:
    """Replaces the amounts of one source in the sums."""
    for service, teams in old.items():
        received = reported.sums[service]
        for team, amount in teams.items():
            received[team] -= amount
            if not received[team]:
                del received[team]
    for service, teams in new.items():
        received = reported.sums.setdefault(service, collections.Counter())
        for team, amount in teams.items():
            received[team] += amount


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
            service: {
                team: amount >> steps * MAX_HALF_LIVES
                for team, amount in teams.items()
            }
            for service, teams in amounts.items()
        }
        for amounts in known
    ]
    reported.sums.clear()
    for amounts in moved:
        replace_amounts(reported, {}, amounts)
    return moved


def list_amounts(
    reported: ReportedServices, amounts: Amounts, now: float
) -> list[messages.ServiceDemand]:
    """Lists the service of one source as of now."""
    if reported.epoch is None:
        return []
    scale = fair_queue.decay(1.0, now - reported.epoch)
    return [
        messages.ServiceDemand(
            service,
            tuple(
                messages.TeamService(team, int(amount * scale))
                for team, amount in teams.items()
            ),
        )
        for service, teams in amounts.items()
    ]
