"""State of a sidecar's decision logic, which is lost with the process."""

__all__ = ["ClaimBackoff", "Run", "SidecarState", "create_state"]

import dataclasses
import random

from sycamorefall import admission, configuration, dispatch, membership, sharing
from sycamorefall.sidecar import gate as gate_module

HINT_RATE = 1500.0
"""Bytes per second that a sidecar without links may send for hints, the
heartbeats that announce free slots."""

ROUTER_HINT_RATE = 4000.0
"""Bytes per second of hints that a router may receive from the sidecars of a
service."""

HEARTBEAT_RATE = 50.0
"""Bytes per second that the heartbeats on a link take, in both directions."""

HINT_BURST = 1000.0
"""Bytes for hints that a sidecar may save up."""


@dataclasses.dataclass(slots=True)
class Run:
    """A request that this sidecar has accepted and that has not ended.

    Attributes:
        attempt_id: ID of the attempt.
        team: Team of the request.
        reserved: Cost units that are still reserved for it.
        charged: Cost units charged so far.
        idempotent: Whether it may be cancelled and executed again.
        deadline: Time at which its caller stops waiting, by this process's
            clock.
        sent: Bytes of the response that were forwarded to the router so far.
    """

    attempt_id: str
    team: str
    reserved: float
    charged: float = 0.0
    idempotent: bool = True
    deadline: float = float("inf")
    sent: int = 0


@dataclasses.dataclass(slots=True)
class ClaimBackoff:
    """Backoff from a router that let a claim expire.

    Attributes:
        last_expiry_at: Time at which a claim at the router last expired.
        ignored_until: Time until which the router's announcements are ignored.
        duration: Seconds for which they were last ignored.
    """

    last_expiry_at: float
    ignored_until: float
    duration: float


@dataclasses.dataclass(slots=True)
class SidecarState:
    """State of a sidecar's decision logic.

    Attributes:
        vm: Name of this VM.
        incarnation: Incarnation of this process.
        service: Service of the upstream.
        accounts: Accounts of what each team received from the service.
        versions: Configuration in force.
        directory: VMs of the fleet.
        links: Routers and sidecars that this sidecar is linked to.
        fairness: State of the team selection.
        estimates: Cost estimates from the teams' recent requests.
        demand: Requests that wait at the routers.
        limit: Concurrency limit of the upstream.
        gate: Holds runs until the limit lets them start at the upstream.
        claims: Claims whose requests have not arrived yet.
        runs: Accepted requests that have not ended, by attempt.
        outcomes: Records of the states of attempts.
        claim_backoffs: Backoffs from routers that let a claim expire, by VM
            name.
        next_heartbeat_at: Time at which the next heartbeats to routers are due.
        hinted_slots: Free slots in the last hint; 0 if since then there was no
            free slot, or there was work to claim.
        next_sibling_heartbeat_at: Time at which the next heartbeats to
            siblings are due.
        next_search_at: Time at which the next search for work at unlinked
            routers is due.
        search_pause: Seconds from that search to the one after it, before
            jitter.
        rng: Source of random choices.
        hint_budget: Byte budget of the hints outside the regular heartbeats.
        account_exchange: State of sending account entries to siblings.
        stopping: Whether no new work is accepted.
    """

    vm: str
    incarnation: int
    service: str
    accounts: sharing.ServiceAccounts
    versions: configuration.VersionState = dataclasses.field(
        default_factory=configuration.VersionState
    )
    directory: membership.Directory = dataclasses.field(
        default_factory=membership.Directory
    )
    links: membership.Links = dataclasses.field(
        default_factory=membership.Links
    )
    fairness: sharing.FairnessState = dataclasses.field(
        default_factory=sharing.FairnessState
    )
    estimates: sharing.CostEstimates = dataclasses.field(
        default_factory=sharing.CostEstimates
    )
    demand: sharing.Demand = dataclasses.field(default_factory=sharing.Demand)
    limit: admission.ConcurrencyLimit = dataclasses.field(
        default_factory=admission.ConcurrencyLimit
    )
    gate: gate_module.ConcurrencyGate = dataclasses.field(init=False)
    claims: dispatch.ClaimTable = dataclasses.field(
        default_factory=dispatch.ClaimTable
    )
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    outcomes: dispatch.OutcomeRecords = dataclasses.field(
        default_factory=dispatch.OutcomeRecords
    )
    claim_backoffs: dict[str, ClaimBackoff] = dataclasses.field(
        default_factory=dict
    )
    next_heartbeat_at: float = 0.0
    hinted_slots: int = 0
    next_sibling_heartbeat_at: float = 0.0
    next_search_at: float = 0.0
    search_pause: float = 0.0
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    hint_budget: sharing.ByteBudget = dataclasses.field(
        default_factory=lambda: sharing.ByteBudget(
            HINT_RATE, HINT_BURST, HINT_BURST
        )
    )
    account_exchange: sharing.AccountExchange = dataclasses.field(
        default_factory=sharing.AccountExchange
    )
    stopping: bool = False

    def __post_init__(self):
        self.gate = gate_module.ConcurrencyGate(self.limit)
        # Random choices are reproducible and differ between sidecars.
        self.rng.seed(f"{self.vm}/{self.incarnation}")


def create_state(vm: str, incarnation: int, service: str) -> SidecarState:
    """Creates the state of a sidecar that has just started.

    Args:
        vm: Name of this VM.
        incarnation: Incarnation of this process.
        service: Service of the upstream.

    Returns:
        The state.
    """
    owner = f"{vm}/{incarnation}"
    return SidecarState(
        vm, incarnation, service, sharing.ServiceAccounts(owner)
    )
