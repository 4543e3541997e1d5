"""Announcements of waiting work from a router to the sidecars."""

__all__ = ["DIGEST_INTERVAL", "announce_all", "announce_team"]

from sycamorefall import effects, membership, messages
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues

DIGEST_INTERVAL = 0.5
"""Seconds between complete announcements, which repair lost ones."""


def announce_team(
    state: state_module.RouterState, now: float, service: str, team: str
) -> list[effects.Send]:
    """Announces a team's waiting work if it changed enough to matter.

    Told are the change between none and some, and each doubling; sidecars
    count down by themselves as they claim.

    Args:
        state: The router; what was announced is noted.
        now: This process's time.
        service: The service.
        team: The team.

    Returns:
        Messages to send.
    """
    count = queues.count_waiting(state.waiting, service, team)
    announced = state.announced.get((service, team), 0)
    if count == announced or 0 < count < 2 * announced:
        return []
    if count:
        state.announced[service, team] = count
    else:
        del state.announced[service, team]
    entry = _describe_team(state, now, service, team)
    return _send_waiting(state, now, service, (entry,), complete=False)


def announce_all(
    state: state_module.RouterState,
    now: float,
    only_to: str | None = None,
) -> list[effects.Send]:
    """Announces all waiting work.

    Args:
        state: The router; what was announced is noted.
        now: This process's time.
        only_to: VM name of the one sidecar to tell; all if None.

    Returns:
        Messages to send.
    """
    sends: list[effects.Send] = []
    services = set(state.waiting.queues) | {
        service for service, _ in state.announced
    }
    for service in services:
        teams = state.waiting.queues.get(service, {})
        entries = tuple(
            _describe_team(state, now, service, team) for team in teams
        )
        sends += _send_waiting(state, now, service, entries, complete=True)
    if only_to is not None:
        return [send for send in sends if send.to == only_to]
    state.announced = {
        (service, team): queues.count_waiting(state.waiting, service, team)
        for service, team in queues.list_queues(state.waiting)
    }
    return sends


def _describe_team(
    state: state_module.RouterState, now: float, service: str, team: str
) -> messages.TeamWaiting:
    oldest = queues.peek_oldest(state.waiting, service, team)
    return messages.TeamWaiting(
        team=team,
        count=queues.count_waiting(state.waiting, service, team),
        oldest_age=0.0 if oldest is None else now - oldest,
    )


def _send_waiting(
    state: state_module.RouterState,
    now: float,
    service: str,
    teams: tuple[messages.TeamWaiting, ...],
    complete: bool,
) -> list[effects.Send]:
    state.announcements += 1
    message = messages.Waiting(service, state.announcements, teams, complete)
    return [
        effects.Send(vm.name, message)
        for vm in membership.select_upstreams(state.directory, now, service)
    ]
