"""Announcements of waiting requests from a router to the sidecars.

A router announces to sidecars which teams have requests waiting
(`messages.Waiting`); a sidecar then claims requests of one team. Changes are
announced to a few sidecars as they happen; a full announcement to all linked
sidecars, sent at intervals, repairs lost ones. All announcements share one byte
budget.
"""

__all__ = [
    "FULL_ANNOUNCEMENT_INTERVAL",
    "announce_all",
    "announce_changes",
    "announce_to_sidecar",
    "find_next_announcement",
    "find_next_full_announcement",
    "record_queue_change",
]

import itertools

from sycamorefall import effects, membership, messages, sharing
from sycamorefall.router import hints
from sycamorefall.router import state as state_module
from sycamorefall.sharing import queues

FULL_ANNOUNCEMENT_INTERVAL = 1.0
"""Minimum seconds between two full announcements, which repair lost ones."""

FULL_ANNOUNCEMENT_SHARE = 0.25
"""Maximum share of the announcement budget for full announcements."""

URGENT_OVERDRAFT = 6000.0
"""Bytes by which a team's first announcement may overdraw the budget."""

SIDECARS_PER_REQUEST = 3
"""Number of sidecars to which each waiting request is announced."""

HEADER_BYTES = 40
"""Size of an announcement without its teams, framing included, in bytes."""

TEAM_ENTRY_BYTES = 16
"""Size of the entry of one team in an announcement, in bytes."""


def record_queue_change(
    state: state_module.RouterState, now: float, service: str, team: str
) -> list[effects.SendMessage]:
    """Records that the number of a team's waiting requests changed.

    Sends nothing: `announce_changes` announces the change once the budget
    allows it, together with other changes that were received at the same time.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        service: Name of the service.
        team: Name of the team.

    Returns:
        An empty list.
    """
    key = service, team
    count = queues.count_waiting(state.waiting, service, team)
    left = state.last_counts.get(key, 0) - count
    if left > 0 and key in state.announced_counts:
        state.announced_counts[key] = max(0, state.announced_counts[key] - left)
    _set_or_drop(state.last_counts, key, count)
    state.changed_queues.add(key)
    if left < 0:
        state.services_with_new_requests.add(service)
    return []


def _set_or_drop(counts: dict, key: tuple[str, str], count: int) -> None:
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)


def find_next_announcement(state: state_module.RouterState) -> float:
    """Returns the earliest time at which `announce_changes` may send."""
    if any(_is_urgent(state, key) for key in state.changed_queues):
        return sharing.compute_next_send_time(
            state.announcement_budget, URGENT_OVERDRAFT
        )
    if state.changed_queues:
        return sharing.compute_next_send_time(state.announcement_budget)
    return float("inf")


def _is_urgent(state: state_module.RouterState, key: tuple[str, str]) -> bool:
    """Returns whether a team has waiting requests that no sidecar may know of.

    Such a team may overdraw the budget. Otherwise a team that seldom has
    requests would wait until the budget recovers from the announcements of
    flooding teams, which would be served before it.
    """
    waits = queues.count_waiting(state.waiting, *key) > 0
    return waits and not state.announced_counts.get(key)


def announce_changes(
    state: state_module.RouterState, now: float
) -> list[effects.SendMessage]:
    """Announces the teams whose number of waiting requests changed enough.

    A change is announced if the number becomes 0, rises from 0, or has at least
    doubled; sidecars decrement the number themselves as they claim. While the
    budget is exhausted, changes accumulate and are announced together; a change
    that is undone in the meantime is not announced.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.

    Returns:
        Messages to send.
    """
    to_announce = sorted(
        key for key in state.changed_queues if _needs_announcement(state, key)
    )
    state.changed_queues.clear()
    if to_announce and not state.informed_sidecars:
        state.next_full_announcement_at = max(
            state.next_full_announcement_at, now + FULL_ANNOUNCEMENT_INTERVAL
        )
    sends: list[effects.SendMessage] = []
    for service, keys in itertools.groupby(to_announce, lambda key: key[0]):
        teams = [team for _, team in keys]
        sends += _announce_teams(state, now, service, teams)
    return sends


def _announce_teams(
    state: state_module.RouterState,
    now: float,
    service: str,
    teams: list[str],
) -> list[effects.SendMessage]:
    """Announces changes of some teams to the sidecars that can act on them.

    For each waiting request, only a few sidecars are chosen: first those with
    free slots, then random ones, drawn anew each time. If every sidecar got
    the announcement, all would claim the same few requests and most claims
    would come back empty. That a team's queue has become empty is announced
    only to the sidecars that know of its requests. A sidecar that got no
    announcement and has nothing to claim sends a hint and gets one in
    response.
    """
    receivers = _list_receivers(state, now, service)
    shuffled = state.rng.sample(receivers, len(receivers))
    entries_by_sidecar: dict[str, list[messages.TeamWaiting]] = {}
    for team in teams:
        key = service, team
        entry = _build_team_entry(state, now, service, team)
        before = state.informed_sidecars.get(key, set())
        chosen = hints.reserve_slots(state, now, service, entry.count)
        others = [name for name in shuffled if name not in chosen]
        missing = SIDECARS_PER_REQUEST * entry.count - len(chosen)
        chosen += others[: max(0, missing)]
        if entry.count:
            state.informed_sidecars[key] = before | set(chosen)
        else:
            chosen = sorted(before)
            del state.informed_sidecars[key]
        _set_or_drop(state.announced_counts, key, entry.count)
        for name in chosen:
            entries_by_sidecar.setdefault(name, []).append(entry)
    return [
        _send_waiting(state, now, name, service, entries, complete=False)
        for name, entries in entries_by_sidecar.items()
    ]


def _needs_announcement(
    state: state_module.RouterState, key: tuple[str, str]
) -> bool:
    count = queues.count_waiting(state.waiting, *key)
    if count == 0:
        return key in state.informed_sidecars
    return count >= 2 * state.announced_counts.get(key, 0)


def find_next_full_announcement(state: state_module.RouterState) -> float:
    """Returns when `announce_all` is due, or infinity if it is not needed."""
    if not state.informed_sidecars and not state.waiting.queues:
        return float("inf")
    return max(
        state.next_full_announcement_at,
        sharing.compute_next_send_time(state.announcement_budget),
    )


def announce_all(
    state: state_module.RouterState, now: float
) -> list[effects.SendMessage]:
    """Announces all waiting requests, which repairs lost announcements.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.

    Returns:
        Messages to send.
    """
    services = {service for service, _ in state.informed_sidecars}
    state.informed_sidecars.clear()
    state.announced_counts.clear()
    sends: list[effects.SendMessage] = []
    for service in sorted(services | set(state.waiting.queues)):
        sends += _announce_service(state, now, service)
    cost = sum(_estimate_size(send.message) for send in sends)
    pause = cost / (state.announcement_budget.rate * FULL_ANNOUNCEMENT_SHARE)
    state.next_full_announcement_at = now + max(
        FULL_ANNOUNCEMENT_INTERVAL, pause
    )
    return sends


def announce_to_sidecar(
    state: state_module.RouterState, now: float, sidecar: str
) -> list[effects.SendMessage]:
    """Announces all waiting requests of a sidecar's service to that sidecar.

    Args:
        state: The router's state; changed.
        now: This process's time, in seconds.
        sidecar: VM name of a sidecar that is new or has nothing to claim.

    Returns:
        One message, or none if no request waits for the sidecar's service.
    """
    service = state.directory.vms[sidecar].service
    teams = state.waiting.queues.get(service)
    if not teams:
        return []
    entries = [_build_team_entry(state, now, service, team) for team in teams]
    for team in teams:
        state.informed_sidecars.setdefault((service, team), set()).add(sidecar)
    return [_send_waiting(state, now, sidecar, service, entries, complete=True)]


def _announce_service(
    state: state_module.RouterState, now: float, service: str
) -> list[effects.SendMessage]:
    receivers = _list_receivers(state, now, service)
    teams = state.waiting.queues.get(service, {})
    entries = [_build_team_entry(state, now, service, team) for team in teams]
    for entry in entries:
        key = service, entry.team
        state.informed_sidecars[key] = set(receivers)
        state.announced_counts[key] = entry.count
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
    state.last_announcement += 1
    message = messages.Waiting(
        service, state.last_announcement, tuple(entries), complete
    )
    sharing.spend_bytes(state.announcement_budget, now, _estimate_size(message))
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


def _build_team_entry(
    state: state_module.RouterState, now: float, service: str, team: str
) -> messages.TeamWaiting:
    oldest = queues.get_oldest_arrival(state.waiting, service, team)
    return messages.TeamWaiting(
        team=team,
        count=queues.count_waiting(state.waiting, service, team),
        oldest_ms=0 if oldest is None else round((now - oldest) * 1000),
    )


def _estimate_size(message: messages.Waiting) -> int:
    return HEADER_BYTES + TEAM_ENTRY_BYTES * len(message.teams)
