"""Announcements of waiting work from a router to the sidecars."""

__all__ = [
    "DIGEST_INTERVAL",
    "announce_all",
    "announce_changes",
    "announce_team",
    "announce_to",
    "find_next_announcement",
    "find_next_digest",
]

import itertools

from sycamorefall import effects, membership, messages, sharing
from sycamorefall.router import hints
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues

DIGEST_INTERVAL = 1.0
"""Least seconds between complete announcements, which repair lost ones."""

DIGEST_SHARE = 0.25
"""Most of the budget for announcements that complete ones may take."""

URGENT_OVERDRAFT = 6000.0
"""Bytes by which the first word on a team's work may overdraw the budget."""

TOLD_PER_REQUEST = 3
"""Sidecars that are told of one waiting request."""

HEAD_BYTES = 40
"""Size of an announcement without its teams, framing included."""

TEAM_BYTES = 16
"""Size of one team's entry."""


def announce_team(
    state: state_module.RouterState, now: float, service: str, team: str
) -> list[effects.SendMessage]:
    """Notes that a team's waiting work changed.

    Nothing is sent yet: `announce_changes` does that, once what came in
    together has been taken in and the budget allows.

    Args:
        state: The router; changed.
        now: This process's time.
        service: The service.
        team: The team.

    Returns:
        No messages.
    """
    key = service, team
    count = queues.count_waiting(state.waiting, service, team)
    left = state.counted.get(key, 0) - count
    if left > 0 and key in state.announced:
        state.announced[key] = max(0, state.announced[key] - left)
    _set_or_drop(state.counted, key, count)
    state.changed.add(key)
    if left < 0:
        state.fresh.add(service)
    return []


def _set_or_drop(counts: dict, key: tuple[str, str], count: int) -> None:
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)


def find_next_announcement(state: state_module.RouterState) -> float:
    """Tells when `announce_changes` may send something next."""
    if any(_is_urgent(state, key) for key in state.changed):
        return sharing.compute_next_send_time(
            state.announcing, URGENT_OVERDRAFT
        )
    if state.changed:
        return sharing.compute_next_send_time(state.announcing)
    return float("inf")


def _is_urgent(state: state_module.RouterState, key: tuple[str, str]) -> bool:
    """Tells whether work waits that no sidecar may know of any more.

    Guards a team that seldom has work against the announcements of others:
    were it to wait until the budget has recovered from them, it would be
    served late and the flooding teams in its place.
    """
    waits = queues.count_waiting(state.waiting, *key) > 0
    return waits and not state.announced.get(key)


def announce_changes(
    state: state_module.RouterState, now: float
) -> list[effects.SendMessage]:
    """Announces the teams whose waiting work changed enough to matter.

    Told are the change between none and some, and each doubling; sidecars
    count down by themselves as they claim. Over the budget, changes wait and
    are told together; one that was undone meanwhile is not told at all.

    Args:
        state: The router; what was announced is noted.
        now: This process's time.

    Returns:
        Messages to send.
    """
    telling = sorted(key for key in state.changed if _is_news(state, key))
    state.changed.clear()
    if telling and not state.told:
        state.next_digest = max(state.next_digest, now + DIGEST_INTERVAL)
    sends: list[effects.SendMessage] = []
    for service, keys in itertools.groupby(telling, lambda key: key[0]):
        teams = [team for _, team in keys]
        sends += _tell_teams(state, now, service, teams)
    return sends


def _tell_teams(
    state: state_module.RouterState,
    now: float,
    service: str,
    teams: list[str],
) -> list[effects.SendMessage]:
    """Tells of changes to as many sidecars as can do something about them.

    Guards against claims by everybody for the same few requests, most of
    which come back empty: for each waiting request a few sidecars are told,
    those with free slots first, the others drawn anew each time; and of none
    only those who were told of some. A sidecar that was not told and has
    nothing to claim hints, and is told then.
    """
    receivers = _list_receivers(state, now, service)
    drawn = state.chance.sample(receivers, len(receivers))
    parts: dict[str, list[messages.TeamWaiting]] = {}
    for team in teams:
        key = service, team
        entry = _describe_team(state, now, service, team)
        before = state.told.get(key, set())
        chosen = hints.take_slots(state, now, service, entry.count)
        others = [name for name in drawn if name not in chosen]
        wanted = TOLD_PER_REQUEST * entry.count - len(chosen)
        chosen += others[: max(0, wanted)]
        if entry.count:
            state.told[key] = before | set(chosen)
        else:
            chosen = sorted(before)
            del state.told[key]
        _set_or_drop(state.announced, key, entry.count)
        for name in chosen:
            parts.setdefault(name, []).append(entry)
    return [
        _send_waiting(state, now, name, service, entries, complete=False)
        for name, entries in parts.items()
    ]


def _is_news(state: state_module.RouterState, key: tuple[str, str]) -> bool:
    count = queues.count_waiting(state.waiting, *key)
    if count == 0:
        return key in state.told
    return count >= 2 * state.announced.get(key, 0)


def find_next_digest(state: state_module.RouterState) -> float:
    """Tells when `announce_all` is due next; never while nothing waits."""
    if not state.told and not state.waiting.queues:
        return float("inf")
    return max(
        state.next_digest, sharing.compute_next_send_time(state.announcing)
    )


def announce_all(
    state: state_module.RouterState, now: float
) -> list[effects.SendMessage]:
    """Announces all waiting work, to repair what was lost on the way.

    Args:
        state: The router; what was announced is noted.
        now: This process's time.

    Returns:
        Messages to send.
    """
    services = {service for service, _ in state.told}
    state.told.clear()
    state.announced.clear()
    sends: list[effects.SendMessage] = []
    for service in sorted(services | set(state.waiting.queues)):
        sends += _tell_all(state, now, service)
    cost = sum(_measure_size(send.message) for send in sends)
    pause = cost / (state.announcing.rate * DIGEST_SHARE)
    state.next_digest = now + max(DIGEST_INTERVAL, pause)
    return sends


def announce_to(
    state: state_module.RouterState, now: float, sidecar: str
) -> list[effects.SendMessage]:
    """Announces all waiting work to one sidecar, if there is any for it.

    Args:
        state: The router; what is spent is noted.
        now: This process's time.
        sidecar: VM name of a sidecar that is new or has nothing to claim.

    Returns:
        Messages to send.
    """
    service = state.directory.vms[sidecar].service
    teams = state.waiting.queues.get(service)
    if not teams:
        return []
    entries = [_describe_team(state, now, service, team) for team in teams]
    for team in teams:
        state.told.setdefault((service, team), set()).add(sidecar)
    return [_send_waiting(state, now, sidecar, service, entries, complete=True)]


def _tell_all(
    state: state_module.RouterState, now: float, service: str
) -> list[effects.SendMessage]:
    receivers = _list_receivers(state, now, service)
    teams = state.waiting.queues.get(service, {})
    entries = [_describe_team(state, now, service, team) for team in teams]
    for entry in entries:
        key = service, entry.team
        state.told[key] = set(receivers)
        state.announced[key] = entry.count
    return [
        _send_waiting(state, now, name, service, entries, complete=True)
        for name in receivers
    ]


def _send_waiting(
    state: state_module.RouterState,
    now: float,
    to: str,
    service: str,
    entries: list[messages.TeamWaiting],
    complete: bool,
) -> effects.SendMessage:
    state.announcements += 1
    message = messages.Waiting(
        service, state.announcements, tuple(entries), complete
    )
    sharing.spend_bytes(state.announcing, now, _measure_size(message))
    return effects.SendMessage(to, message)


def _list_receivers(
    state: state_module.RouterState, now: float, service: str
) -> list[str]:
    linked = membership.list_linked_sidecars(
        state.links, state.directory, now, state.vm, service
    )
    return [
        name
        for name in linked
        if membership.is_usable_upstream(state.directory, now, name, service)
    ]


def _describe_team(
    state: state_module.RouterState, now: float, service: str, team: str
) -> messages.TeamWaiting:
    oldest = queues.get_oldest_arrival(state.waiting, service, team)
    return messages.TeamWaiting(
        team=team,
        count=queues.count_waiting(state.waiting, service, team),
        oldest_ms=0 if oldest is None else round((now - oldest) * 1000),
    )


def _measure_size(message: messages.Waiting) -> int:
    return HEAD_BYTES + TEAM_BYTES * len(message.teams)
