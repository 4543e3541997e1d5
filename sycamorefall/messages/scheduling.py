"""Messages for scheduling: waiting requests, claims and service accounts.

Routers announce to sidecars which teams have requests waiting. A sidecar with a
free slot claims a request of the team that has received the least service. To
know which team that is, the sidecars of a service exchange account entries.
"""

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
from sycamorefall.messages.numbers import Quantity, Time


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Reports that the sender is alive, and which documents it has.

    Attributes:
        stopping: Whether the sender accepts no new requests.
        free_slots: Number of free slots of a sidecar that knows of no waiting
            requests; 0 from a router. It is a hint: routers may offer requests
            for these slots without a claim.
        vms_revision: Revision of the VM list in use at the sender.
        fingerprint: Fingerprint of the sender's documents, which differs
            between processes whose documents differ; 0 from a process that is
            starting.
        clock_seconds: The sender's clock in whole seconds, from a sidecar.
            An offer that answers this hint returns it in
            `AttemptOrder.hinted`.
    """

    stopping: bool = False
    free_slots: int = 0
    vms_revision: int = 0
    fingerprint: int = 0
    clock_seconds: int = 0


class TeamWaiting(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one team that wait at a router.

    Attributes:
        team: Name of the team.
        count: Number of waiting requests.
        oldest_ms: Milliseconds for which the oldest of them has waited.
    """

    team: Name
    count: int
    oldest_ms: int


class Waiting(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A router's announcement of the requests of a service that wait there.

    Attributes:
        service: Name of the service.
        sequence: Sequence number, which grows with each announcement of the
            sender's process.
        teams: Teams whose number of waiting requests changed; a count of 0
            means that none wait any more.
        complete: Whether `teams` contains all teams with waiting requests, and
            replaces earlier announcements.
    """

    service: Name
    sequence: int
    teams: tuple[TeamWaiting, ...]
    complete: bool


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A sidecar's claim of one waiting request of a team at a router.

    The claim is a lease: the sidecar refuses an attempt that arrives after
    `lease_ms` milliseconds by its own clock.

    Attributes:
        claim_id: Number of the claim, unique within the sidecar's process.
        service: Name of the service.
        team: Name of the team.
        lease_ms: Duration of the lease in milliseconds.
    """

    claim_id: int
    service: Name
    team: Name
    lease_ms: int


class NoWork(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A router's response to a claim if no request of the team is waiting.

    Attributes:
        claim_id: Number of the claim.
        service: Name of the service.
        team: Name of the team.
    """

    claim_id: int
    service: Name
    team: Name


class AccountEntry(msgspec.Struct, frozen=True, array_like=True):
    """Service that one sidecar process, the owner of the entry, gave to a team.

    Attributes:
        team: Name of the team.
        owner: VM name and incarnation of the owner.
        sequence: Sequence number, which grows with each change by the owner.
        served: Cost units charged to the team since the offset.
        reserved: Estimated cost units of open claims and of runs in progress.
        offset: Order key from which the units of the account are counted; the
            highest that the sender knows.
    """

    team: Name
    owner: Name
    sequence: int
    served: Quantity
    reserved: Quantity
    offset: Time


class AccountUpdate(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Account entries of a service, of the sender or of other owners.

    Attributes:
        service: Name of the service.
        entries: The entries.
    """

    service: Name
    entries: tuple[AccountEntry, ...]
