"""Which routers and sidecars keep a link, at sizes where not all can.

Both ends compute the same links from the platform's list of VMs alone. A
difference between their lists, which lag, does no harm: a message is taken
from any listed VM, and the link appears or goes once both have the list.
"""

__all__ = [
    "Links",
    "choose_full_sync_senders",
    "choose_sidecars",
    "list_linked_routers",
    "list_linked_sidecars",
    "list_siblings",
    "list_unlinked_routers",
]

from collections.abc import Sequence
import dataclasses
import hashlib
import math

from sycamorefall.membership import directory as directory_module

MIN_SIDECARS_PER_SERVICE = 3
"""Sidecars of each service that every router is linked to, if there are."""

MIN_ROUTERS_PER_SIDECAR = 12
"""Routers that a sidecar is linked to on average, if there are."""

FULL_SYNC_SENDERS = 2
"""Sidecars that tell a new one the entries of all owners."""

Vms = Sequence[directory_module.VmEntry]


@dataclasses.dataclass(slots=True)
class Links:
    """A process's links, kept until the list of VMs changes.

    Attributes:
        vms: The list that they were computed from.
        since: When that list was first used, by this process's clock.
        ranked: Of a router: sidecars by service, in order of preference.
        degrees: Of a router: how many of them it is linked to.
        routers: Of a sidecar: names of its linked routers.
        unlinked: Of a sidecar: names of all other routers.
        siblings: Of a sidecar: names of the service's other sidecars.
    """

    vms: dict[str, directory_module.VmEntry] | None = None
    since: float = 0.0
    ranked: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    degrees: dict[str, int] = dataclasses.field(default_factory=dict)
    routers: list[str] = dataclasses.field(default_factory=list)
    unlinked: list[str] = dataclasses.field(default_factory=list)
    siblings: list[str] = dataclasses.field(default_factory=list)


def choose_sidecars(
    router: directory_module.VmEntry, sidecars: Vms, routers: int
) -> tuple[list[str], int]:
    """Ranks a service's sidecars for a router.

    Rendezvous hashing: a VM that comes or goes changes no link but its own.
    Sidecars of the router's own failure domain come first, for the short
    way; but the last link goes to another failure domain, so that a router
    still reaches the service when the own one has lost it.

    Args:
        router: The router.
        sidecars: All sidecars of the service.
        routers: Number of routers in the fleet.

    Returns:
        Names in order of preference, and how many of them are linked. VMs
        that are leaving don't count, so links are made in their place.

    Example:
        >>> role = directory_module.VmRole
        >>> here = directory_module.VmEntry("r", role.ROUTER, "d", "", "")
        >>> there = directory_module.VmEntry("s", role.UPSTREAM, "d", "", "")
        >>> choose_sidecars(here, [there], routers=4)
        (['s'], 1)
    """
    live = sum(_is_live(vm) for vm in sidecars)
    count = max(
        MIN_SIDECARS_PER_SERVICE,
        math.ceil(live * MIN_ROUTERS_PER_SIDECAR / routers),
    )
    ordered = sorted(sidecars, key=lambda vm: _score(router.name, vm.name))
    domain = router.failure_domain
    near = [vm for vm in ordered if vm.failure_domain == domain]
    far = [vm for vm in ordered if vm.failure_domain != domain]
    first = _count_until(near, count - 1)
    ranked = near[:first] + far + near[first:]
    names = [vm.name for vm in ranked]
    return names, _count_until(ranked, count)


def choose_full_sync_senders(
    newcomer: str, sidecars: Sequence[str]
) -> list[str]:
    """Chooses the sidecars that tell a new one the entries of all owners.

    Args:
        newcomer: VM name of the new sidecar.
        sidecars: VM names of the service's sidecars.

    Returns:
        A few VM names, the same at every sidecar.
    """
    others = (name for name in sidecars if name != newcomer)
    return sorted(others, key=lambda name: _score(newcomer, name))[
        :FULL_SYNC_SENDERS
    ]


def _score(router: str, sidecar: str) -> bytes:
    pair = f"{router}/{sidecar}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()


def _is_live(vm: directory_module.VmEntry) -> bool:
    return vm.state is directory_module.VmState.LIVE


def _count_until(vms: Vms, live: int) -> int:
    """Counts the leading VMs that hold a number of live ones."""
    for index, vm in enumerate(vms):
        if live <= 0:
            return index
        live -= _is_live(vm)
    return len(vms)


def list_linked_sidecars(
    links: Links,
    directory: directory_module.Directory,
    now: float,
    own: str,
    service: str,
) -> list[str]:
    """Lists the sidecars of a service that a router is linked to.

    Guards against a rack or failure domain that is gone and took all linked
    sidecars of a service with it, while the platform's list still shows
    them: callers would hear that there is no upstream although others idle.
    In place of each that is silent stands the next in order; a sidecar
    answers any router that it hears.

    Args:
        links: The router's links; brought up to date.
        directory: The router's view of the fleet.
        now: This process's time.
        own: VM name of the router.
        service: The service.

    Returns:
        VM names, silent ones included.
    """
    _update_links(links, directory, now, own)
    ranked = links.ranked.get(service, [])
    degree = links.degrees.get(service, 0)
    silent = sum(
        _is_silent(links, directory, now, name) for name in ranked[:degree]
    )
    return ranked[: degree + silent]


def _is_silent(
    links: Links,
    directory: directory_module.Directory,
    now: float,
    name: str,
) -> bool:
    peer = directory.peers.get(name)
    heard_at = peer.heard_at if peer else links.since
    return now - heard_at > directory_module.SUSPECT_AFTER


def list_linked_routers(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> list[str]:
    """Lists the routers that a sidecar is linked to or that it just heard.

    Args:
        links: The sidecar's links; brought up to date.
        directory: The sidecar's view of the fleet.
        now: This process's time.
        own: VM name of the sidecar.

    Returns:
        VM names.
    """
    _update_links(links, directory, now, own)
    heard = [
        name
        for name in links.unlinked
        if name in directory.peers
        and now - directory.peers[name].heard_at
        <= directory_module.SUSPECT_AFTER
    ]
    return links.routers + heard


def list_unlinked_routers(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> list[str]:
    """Lists the routers that a sidecar is not linked to."""
    _update_links(links, directory, now, own)
    return links.unlinked


def list_siblings(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> list[str]:
    """Lists the other sidecars of a sidecar's service."""
    _update_links(links, directory, now, own)
    return links.siblings


def _update_links(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> None:
    if links.vms is directory.vms:
        return
    links.vms = directory.vms
    links.since = now
    vms = list(directory.vms.values())
    role = directory_module.VmRole
    routers = [vm for vm in vms if vm.role is role.ROUTER]
    sidecars = [vm for vm in vms if vm.role is role.UPSTREAM]
    entry = directory.vms.get(own)
    links.ranked, links.degrees = {}, {}
    links.routers, links.unlinked, links.siblings = [], [], []
    if entry is None:
        return
    if entry.role is role.ROUTER:
        _link_router(links, entry, sidecars, len(routers))
    else:
        same = [vm for vm in sidecars if vm.service == entry.service]
        _link_sidecar(links, entry, same, routers)


def _link_router(
    links: Links,
    router: directory_module.VmEntry,
    sidecars: Vms,
    routers: int,
) -> None:
    services: dict[str, list[directory_module.VmEntry]] = {}
    for vm in sidecars:
        services.setdefault(vm.service, []).append(vm)
    for service, group in services.items():
        ranked, degree = choose_sidecars(router, group, routers)
        links.ranked[service] = ranked
        links.degrees[service] = degree


def _link_sidecar(
    links: Links,
    sidecar: directory_module.VmEntry,
    same: Vms,
    routers: Vms,
) -> None:
    for router in routers:
        ranked, degree = choose_sidecars(router, same, len(routers))
        linked = sidecar.name in ranked[:degree]
        (links.routers if linked else links.unlinked).append(router.name)
    links.siblings = [vm.name for vm in same if vm.name != sidecar.name]
