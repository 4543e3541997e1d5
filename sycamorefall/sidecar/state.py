"""State of a sidecar's decisions. All of it is lost with the process."""

__all__ = ["Run", "SidecarState", "Silence", "create_state"]

import dataclasses
import random

from sycamorefall import admission, configuration, dispatch, membership, sharing
from sycamorefall.sidecar import gate as gate_module

HINT_RATE = 1500.0
"""Bytes per second that a sidecar without links may send for hints."""

ROUTER_HINT_RATE = 4000.0
"""Bytes per second of hints that a router is to hear from a service."""

HEARTBEAT_RATE = 50.0
"""Bytes per second that the heartbeats of a link take, both ways."""

HINT_BURST = 1000.0
"""Bytes of hints that a sidecar may save up."""


@dataclasses.dataclass(slots=True)
class Run:
    """A request in progress at the upstream.

    Attributes:
        attempt_id: The attempt.
        team: Whose request it is.
        reserved: Cost units still reserved for it.
        charged: Cost units charged so far.
        idempotent: Whether it may be cancelled and run again.
        deadline: When its caller stops waiting, by this process's clock.
        sent: Bytes of the answer passed on to the router so far.
    """

    attempt_id: str
    team: str
    reserved: float
    charged: float = 0.0
    idempotent: bool = True
    deadline: float = float("inf")
    sent: int = 0


@dataclasses.dataclass(slots=True)
class Silence:
    """A router that let a claim expire.

    Attributes:
        since: When a claim there expired last.
        until: Until when its work is passed over.
        pause: For how long it was passed over last, in seconds.
    """

    since: float
    until: float
    pause: float


@dataclasses.dataclass(slots=True)
class SidecarState:
    """Everything a sidecar decides from.

    Attributes:
        vm: This sidecar's VM name.
        incarnation: This process's number.
        service: The upstream's service.
        accounts: What each team received from the service.
        versions: The configuration in force.
        directory: The VMs of the fleet.
        links: The routers and sidecars that it is linked to.
        fairness: State of the choice of the next team.
        estimates: Costs of the teams' recent requests.
        demand: Work waiting at the routers.
        limit: The upstream's concurrency limit.
        gate: Runs held until the limit lets them reach the upstream.
        claims: Requests asked for that have not come yet.
        runs: Requests in progress at the upstream, by attempt.
        outcomes: What became of each attempt.
        silences: Routers that let a claim expire, by VM name.
        next_heartbeat: When the next heartbeat is due.
        hinted: Free slots that routers were last told of; 0 since there was
            none or work to claim.
        next_sibling_beat: When the next heartbeat to siblings is due.
        search_pause: Seconds until the search after that.
        chance: Source of random choices.
        hinting: What may be sent for hints outside of heartbeats.
        exchange: What siblings were told of the accounts.
        stopping: Whether no new work is taken.
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
    silences: dict[str, Silence] = dataclasses.field(default_factory=dict)
    next_heartbeat: float = 0.0
    hinted: int = 0
    next_sibling_beat: float = 0.0
    next_search: float = 0.0
    search_pause: float = 0.0
    chance: random.Random = dataclasses.field(default_factory=random.Random)
    hinting: sharing.ByteBudget = dataclasses.field(
        default_factory=lambda: sharing.ByteBudget(
            HINT_RATE, HINT_BURST, HINT_BURST
        )
    )
    exchange: sharing.AccountExchange = dataclasses.field(
        default_factory=sharing.AccountExchange
    )
    stopping: bool = False

    def __post_init__(self):
        self.gate = gate_module.ConcurrencyGate(self.limit)
        # Choices are alike in each run, and different at each sidecar.
        self.chance.seed(f"{self.vm}/{self.incarnation}")


def create_state(vm: str, incarnation: int, service: str) -> SidecarState:
    """Creates the state of a sidecar that has just started.

    Args:
        vm: This sidecar's VM name.
        incarnation: This process's number.
        service: The upstream's service.

    Returns:
        The state.
    """
    owner = f"{vm}/{incarnation}"
    return SidecarState(
        vm, incarnation, service, sharing.ServiceAccounts(owner)
    )
