"""Work that waits, claims of it, and accounts of what teams received."""

__all__ = [
    "AccountEntry",
    "AccountUpdate",
    "Claim",
    "Heartbeat",
    "NoWork",
    "TeamWaiting",
    "Waiting",
]

import msgspec

from sycamorefall.messages.naming import Name


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Says that the sender lives, and what it holds.

    Attributes:
        stopping: Whether the sender takes nothing new.
        free_slots: Of a sidecar: slots that are free and that it knows no work
            for, a hint for routers; 0 of a router.
        vms_revision: Revision of the VM list in use.
        fingerprint: Differs between processes whose documents differ; 0 of
            a process that is starting.
        clock_seconds: Of a sidecar with room: its clock, in whole seconds. An
            offer
            on this hint brings it back.
    """

    stopping: bool = False
    free_slots: int = 0
    vms_revision: int = 0
    fingerprint: int = 0
    clock_seconds: int = 0


class TeamWaiting(msgspec.Struct, frozen=True, array_like=True):
    """Work of one team that waits at a router.

    Attributes:
        team: The team's name.
        count: Waiting requests.
        oldest_ms: Milliseconds the oldest of them has waited.
    """

    team: Name
    count: int
    oldest_ms: int


class Waiting(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A router tells which teams of a service have work waiting with it.

    Attributes:
        service: The service.
        sequence: Grows with each announcement of the sender's incarnation.
        teams: Teams whose count changed; a count of 0 ends an announcement.
        complete: Whether `teams` is all there is, replacing what was known.
    """

    service: Name
    sequence: int
    teams: tuple[TeamWaiting, ...]
    complete: bool


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A sidecar asks a router for one request of a team.

    The claim is a lease: the sidecar refuses an attempt that arrives after
    `lease_ms` milliseconds by its own clock.
    """

    claim_id: int
    service: Name
    team: Name
    lease_ms: int


class NoWork(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A router's answer to a claim when the team has nothing waiting."""

    claim_id: int
    service: Name
    team: Name


class AccountEntry(msgspec.Struct, frozen=True, array_like=True):
    """What one sidecar incarnation gave to a team.

    Attributes:
        team: The team's name.
        owner: The owner: VM name and incarnation.
        sequence: Grows with each change by the owner.
        served: Cost units charged so far.
        reserved: Estimated units of claims and runs in flight.
        offset: Order key from which the units count, the highest known.
    """

    team: Name
    owner: Name
    sequence: int
    served: float
    reserved: float
    offset: float


class AccountUpdate(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Account entries of a service, the sender's own or passed on."""

    service: Name
    entries: tuple[AccountEntry, ...]
