"""Links between routers and sidecars in a fleet too large to link all pairs.

A router and a sidecar that are linked send each other heartbeats. Both ends
compute the same links from the platform's list of VMs alone. Their lists may
differ for a while, because they lag. This is harmless: a process accepts
messages from any listed VM, and a link is added or removed as soon as both ends
have the same list.
"""

__all__ = [
    "Links",
    "choose_full_sync_senders",
    "rank_sidecars",
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
"""Minimum number of live sidecars of each service to which a router is linked,
if the service has as many."""

MIN_ROUTERS_PER_SIDECAR = 12
"""Minimum number of routers to which a sidecar is linked on average, if there
are as many."""

FULL_SYNC_SENDERS = 2
"""Number of sidecars that send a new one the account entries of all owners."""

Vms = Sequence[directory_module.VmEntry]


@dataclasses.dataclass(slots=True)
class Links:
    """Links of a process, cached until the list of VMs changes.

    Attributes:
        vms: VMs from which the links were computed.
        computed_at: When they were computed, by this process's clock.
        ranked: At a router, names of all sidecars by service, in order of
            preference.
        degrees: At a router, number of sidecars to which it is linked, by
            service. These are the first ones in `ranked`.
        linked_routers: At a sidecar, names of the routers to which it is
            linked.
        unlinked_routers: At a sidecar, names of all other routers.
        siblings: At a sidecar, names of the other sidecars of its service.
    """

    vms: dict[str, directory_module.VmEntry] | None = None
    computed_at: float = 0.0
    ranked: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    degrees: dict[str, int] = dataclasses.field(default_factory=dict)
    linked_routers: list[str] = dataclasses.field(default_factory=list)
    unlinked_routers: list[str] = dataclasses.field(default_factory=list)
    siblings: list[str] = dataclasses.field(default_factory=list)


def rank_sidecars(
    router: directory_module.VmEntry, sidecars: Vms, router_count: int
) -> tuple[list[str], int]:
    """Ranks the sidecars of a service for a router, and counts its links.

    The order is by rendezvous hashing, so a VM that is added or removed changes
    only its own links. Sidecars in the router's failure domain come first,
    because of the short distance. The last link goes to another failure domain,
    so that the router can use the service even if its own failure domain has no
    upstream of it left.

    Args:
        router: The router.
        sidecars: All sidecars of the service.
        router_count: Number of routers in the fleet.

    Returns:
        VM names in order of preference, and the number of them, from the first,
        to which the router is linked. Leaving VMs are linked in addition to the
        required number of live ones.

    Example:
        >>> role = directory_module.VmRole
        >>> here = directory_module.VmEntry("r", role.ROUTER, "d", "", "")
        >>> there = directory_module.VmEntry("s", role.UPSTREAM, "d", "", "")
        >>> rank_sidecars(here, [there], router_count=4)
        (['s'], 1)
    """
    live = sum(_is_live(vm) for vm in sidecars)
    count = max(
        MIN_SIDECARS_PER_SERVICE,
        math.ceil(live * MIN_ROUTERS_PER_SIDECAR / router_count),
    )
    ordered = sorted(sidecars, key=lambda vm: _hash_pair(router.name, vm.name))
    domain = router.failure_domain
    local = [vm for vm in ordered if vm.failure_domain == domain]
    remote = [vm for vm in ordered if vm.failure_domain != domain]
    first = _count_until(local, count - 1)
    ranked = local[:first] + remote + local[first:]
    names = [vm.name for vm in ranked]
    return names, _count_until(ranked, count)


def choose_full_sync_senders(
    new_sidecar: str, sidecars: Sequence[str]
) -> list[str]:
    """Chooses the sidecars that send all account entries to a new sidecar.

    Args:
        new_sidecar: VM name of the new sidecar.
        sidecars: VM names of all sidecars of the service.

    Returns:
        At most `FULL_SYNC_SENDERS` VM names. Each sidecar computes the
        same ones from the same list.
    """
    others = (name for name in sidecars if name != new_sidecar)
    return sorted(others, key=lambda name: _hash_pair(new_sidecar, name))[
        :FULL_SYNC_SENDERS
    ]


def _hash_pair(first: str, second: str) -> bytes:
    pair = f"{first}/{second}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()


def _is_live(vm: directory_module.VmEntry) -> bool:
    return vm.state is directory_module.VmState.LIVE


def _count_until(vms: Vms, live: int) -> int:
    """Computes how many VMs, from the first, include a number of live ones."""
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
    """Lists the sidecars of a service to which a router is linked.

    A failure may remove all linked sidecars of a service, such as the loss of a
    rack or failure domain, while the platform's list still contains them. To
    avoid refusing requests for lack of an upstream although others are idle,
    the list is extended by one further sidecar, in order of preference, for
    each linked one that is silent. A sidecar responds to any router that sends
    it a message.

    Args:
        links: The router's links; updated if the list of VMs has changed.
        directory: The router's directory.
        now: This process's time, in seconds.
        own: VM name of the router.
        service: Name of the service.

    Returns:
        VM names, including silent sidecars.
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
    heard_at = peer.heard_at if peer else links.computed_at
    return now - heard_at > directory_module.SUSPECT_AFTER


def list_linked_routers(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> list[str]:
    """Lists the routers to which a sidecar is linked, or that it heard from.

    Args:
        links: The sidecar's links; updated if the list of VMs has changed.
        directory: The sidecar's directory.
        now: This process's time, in seconds.
        own: VM name of the sidecar.

    Returns:
        VM names of the linked routers, and of unlinked ones that sent a message
        within `SUSPECT_AFTER`.
    """
    _update_links(links, directory, now, own)
    recently_heard = [
        name
        for name in links.unlinked_routers
        if name in directory.peers
        and now - directory.peers[name].heard_at
        <= directory_module.SUSPECT_AFTER
    ]
    return links.linked_routers + recently_heard


def list_unlinked_routers(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> list[str]:
    """Lists the routers to which a sidecar is not linked."""
    _update_links(links, directory, now, own)
    return links.unlinked_routers


def list_siblings(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> list[str]:
    """Lists the other sidecars of the same service."""
    _update_links(links, directory, now, own)
    return links.siblings


def _update_links(
    links: Links, directory: directory_module.Directory, now: float, own: str
) -> None:
    if links.vms is directory.vms:
        return
    links.vms = directory.vms
    links.computed_at = now
    vms = list(directory.vms.values())
    role = directory_module.VmRole
    routers = [vm for vm in vms if vm.role is role.ROUTER]
    sidecars = [vm for vm in vms if vm.role is role.UPSTREAM]
    entry = directory.vms.get(own)
    links.ranked, links.degrees = {}, {}
    links.linked_routers, links.unlinked_routers, links.siblings = [], [], []
    if entry is None:
        return
    if entry.role is role.ROUTER:
        _link_router(links, entry, sidecars, len(routers))
    else:
        in_service = [vm for vm in sidecars if vm.service == entry.service]
        _link_sidecar(links, entry, in_service, routers)


def _link_router(
    links: Links,
    router: directory_module.VmEntry,
    sidecars: Vms,
    router_count: int,
) -> None:
    services: dict[str, list[directory_module.VmEntry]] = {}
    for vm in sidecars:
        services.setdefault(vm.service, []).append(vm)
    for service, group in services.items():
        ranked, degree = rank_sidecars(router, group, router_count)
        links.ranked[service] = ranked
        links.degrees[service] = degree


def _link_sidecar(
    links: Links,
    sidecar: directory_module.VmEntry,
    in_service: Vms,
    routers: Vms,
) -> None:
    for router in routers:
        ranked, degree = rank_sidecars(router, in_service, len(routers))
        linked = sidecar.name in ranked[:degree]
        (links.linked_routers if linked else links.unlinked_routers).append(
            router.name
        )
    links.siblings = [vm.name for vm in in_service if vm.name != sidecar.name]
