"""Changes of upstreams: they join, leave, lapse, crash and are restarted."""

import asyncio
from collections.abc import Awaitable, Callable
import signal
import time

from soak import fleet

DRAIN_TIME = 5.0
"""Seconds between an upstream's notice to leave and the end of its entry."""

MAX_LEAVE_TIME = 20.0
"""Seconds after which a leaving upstream ends though it still works."""

LEASE = 3.6
"""Seconds after the last heartbeat of an upstream at which its entry goes."""

Change = Callable[[fleet.Fleet, fleet.Place, list], Awaitable[None]]


async def join(running: fleet.Fleet, place: fleet.Place, broken: list) -> None:
    """Starts an upstream on a VM without one, of either version."""
    version = running.random.choice(("v1", "v2"))
    await _start(running, place, version)


async def leave(running: fleet.Fleet, place: fleet.Place, broken: list) -> None:
    """Drains an upstream; it ends when it has no more work."""
    name = place.upstream
    running.list_upstream(place, "draining")
    await asyncio.sleep(DRAIN_TIME)
    running.unlist_upstream(name)
    ends_at = time.monotonic() + MAX_LEAVE_TIME
    while running.count_running(name) and time.monotonic() < ends_at:
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.0)
    _kill(running, place, broken)


async def update(
    running: fleet.Fleet, place: fleet.Place, broken: list
) -> None:
    """Drains an upstream; one of another version comes in its place."""
    version = running.site.upstreams[place.upstream].version
    await leave(running, place, broken)
    await _start(running, place, "v2" if version == "v1" else "v1")


async def lapse(running: fleet.Fleet, place: fleet.Place, broken: list) -> None:
    """Removes the entry of an upstream that goes on, and writes it again."""
    running.unlist_upstream(place.upstream)
    await asyncio.sleep(running.random.uniform(0.5, 4.0))
    running.list_upstream(place)


async def stand_still(
    running: fleet.Fleet, place: fleet.Place, broken: list
) -> None:
    """Stops an upstream's process until its entry has gone, then for longer."""
    process = running.upstreams[place.upstream]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(running.random.uniform(1.5, LEASE))
    running.unlist_upstream(place.upstream)
    await asyncio.sleep(running.random.uniform(0.1, 2.4))
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(running.random.uniform(0.0, 1.0))
    running.list_upstream(place)


async def crash(running: fleet.Fleet, place: fleet.Place, broken: list) -> None:
    """Kills an upstream; it is restarted before or after its entry has gone."""
    name = place.upstream
    _kill(running, place, broken)
    restart_first = running.random.random() < 0.5
    if not restart_first:
        await asyncio.sleep(LEASE)
        running.unlist_upstream(name)
    await asyncio.sleep(running.random.uniform(0.5, 2.0))
    await _start(running, place, "v1")
    if restart_first:
        await asyncio.sleep(running.random.uniform(0.0, LEASE))
        running.unlist_upstream(name)


def choose_change(running: fleet.Fleet, place: fleet.Place) -> Change:
    """Chooses a change that a VM's upstream can make."""
    if not place.upstream:
        return join
    changes = [update, lapse, lapse, stand_still, stand_still, crash]
    return running.random.choice(
        [*changes, leave] if place.name.startswith("s") else changes
    )


async def perform(
    running: fleet.Fleet, place: fleet.Place, change: Change, broken: list
) -> None:
    """Performs a change; no other one of the same VM begins meanwhile.

    Args:
        running: The processes.
        place: The VM.
        change: The change.
        broken: Upstreams that break answers off are added, see
            `verdict.judge`.
    """
    place.changing = True
    try:
        await change(running, place, broken)
    finally:
        place.changing = False


async def _start(
    running: fleet.Fleet, place: fleet.Place, version: str
) -> None:
    running.start_upstream(place, version)
    await asyncio.sleep(0.5)
    if place.count > 1:
        running.command_upstream_links(f"up {place.link}")
    running.list_upstream(place)


def _kill(running: fleet.Fleet, place: fleet.Place, broken: list) -> None:
    process, now = running.upstreams[place.upstream], time.monotonic()
    if running.count_running(place.upstream):
        broken.append((place.upstream, now - 0.1, now + 0.3))
    process.kill()
    running.command_upstream_links(f"down {place.link}")
    process.wait()
    place.upstream = ""
