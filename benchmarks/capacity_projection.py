"""Projects costs at the fleet size expected in two years.

The costs are computed from the measured figures.
"""

from collections.abc import Callable
import dataclasses

from benchmarks import capacity_fleet, capacity_probe, capacity_state

ROUTERS, SIDECARS = capacity_fleet.ROUTERS, capacity_fleet.SIDECARS
MODELS = capacity_fleet.MODELS
TEAMS = capacity_state.TEAMS
TOKENS_PER_SECOND, REQUESTS_PER_SECOND = 1_100_000, 4_400
CHANGES_PER_DAY, FAILED_VMS_PER_DAY, RESTARTED_VMS_PER_DAY = 2_700, 9, 89
SECONDS_PER_DAY = 86_400
MIB = 1 << 20
OPEN_STREAMS = 40
"""Number of open streams of a router."""

WAITING_REQUESTS = 1_000
"""Number of requests that wait at a router: an estimate of a long queue."""

TEXT_BYTES = capacity_state.MAX_TEXT_BYTES
"""Largest size of the configuration text, in bytes."""


@dataclasses.dataclass(slots=True, frozen=True)
class Estimate:
    """One row of the projected costs.

    Attributes:
        what: The projected cost.
        formula: Formula in terms of the names of the measures.
        compute: Evaluates the formula, given the measured values by name.
        unit: Unit of the result.
        budget: Largest allowed value; 0 if there is no limit.
    """

    what: str
    formula: str
    compute: Callable[[dict[str, float]], float]
    unit: str
    budget: float = 0.0


def _create_control_cpu(role: str) -> Callable[[dict[str, float]], float]:
    """Creates the function that computes a role's processor use for control.

    The function returns percent of a core.
    """

    def compute(m: dict[str, float]) -> float:
        received = m[f"{role}-received"] * m[f"{role}-heartbeat-cpu"]
        sent = m[f"{role}-sent"] * m[f"{role}-send-cpu"]
        idle = m[f"{role}-idle-cpu"] + m[f"{role}-decisions-cpu"]
        return (received + sent) / 1e4 + idle

    return compute


def _compute_control_rate(m: dict[str, float], role: str) -> float:
    """Computes the control traffic of a node, in KB per second."""
    messages = m[f"{role}-sent-bytes"] + m[f"{role}-received-bytes"]
    return (
        messages + CHANGES_PER_DAY / SECONDS_PER_DAY * m["change-bytes"]
    ) / 1e3


def _compute_router_memory(m: dict[str, float]) -> float:
    """Computes the resident memory of a router, in MiB."""
    links = m["router-peers"] * m["router-peer-memory"]
    vms = (ROUTERS + SIDECARS) * m["vm-memory"]
    text = TEXT_BYTES / m["text-size"] * m["router-adopt-memory"]
    waiting = WAITING_REQUESTS * m["request-memory"]
    streams = OPEN_STREAMS * m["router-stream-memory"]
    state = links + vms + text + waiting + streams
    return m["router-idle-resident"] + state / MIB


def _compute_sidecar_memory(m: dict[str, float], share: float = 1.0) -> float:
    """Computes the resident memory of a sidecar, in MiB.

    Args:
        m: Measured values by name.
        share: Fraction of the accounts that the sidecar keeps.
    """
    links = m["sidecar-peers"] * m["sidecar-peer-memory"]
    vms = (ROUTERS + SIDECARS) * m["vm-memory"]
    text = TEXT_BYTES / m["text-size"] * m["router-adopt-memory"]
    state = links + vms + text + share * _compute_account_memory(m) * MIB
    return m["sidecar-idle-resident"] + state / MIB


def _compute_account_memory(m: dict[str, float]) -> float:
    """Computes the memory of a sidecar's accounts, in MiB.

    Each team uses one service, and its account has an entry for each sidecar
    of the service.
    """
    teams, owners = TEAMS / MODELS, SIDECARS / MODELS
    one = m["account-memory"] + (owners - 1) * m["entry-memory"]
    return teams * one / MIB


ESTIMATES = {
    "Data path": (
        Estimate(
            "router: tokens at the peak, to the most that kept the gap",
            f"({TOKENS_PER_SECOND} / {ROUTERS}) / `router-token-rate`",
            lambda m: TOKENS_PER_SECOND / ROUTERS / m["router-token-rate"],
            "",
            1.0,
        ),
        Estimate(
            "router: processor time of tokens and requests",
            f"{TOKENS_PER_SECOND} / {ROUTERS} x `router-token-cpu`",
            lambda m: TOKENS_PER_SECOND / ROUTERS * m["router-token-cpu"] / 1e4,
            "% of a core",
        ),
        Estimate(
            "sidecar: processor time of tokens and requests",
            f"{TOKENS_PER_SECOND} / {SIDECARS} x `sidecar-token-cpu`",
            lambda m: (
                TOKENS_PER_SECOND / SIDECARS * m["sidecar-token-cpu"] / 1e4
            ),
            "% of a core",
        ),
    ),
    "Control: processor time": (
        Estimate(
            "router",
            "`router-idle-cpu` + `router-decisions-cpu` + `router-received` x"
            " `router-heartbeat-cpu` + `router-sent` x `router-send-cpu`",
            _create_control_cpu("router"),
            "% of a core",
            3.5,
        ),
        Estimate(
            "sidecar",
            "the same of the sidecar",
            _create_control_cpu("sidecar"),
            "% of a core",
            3.5,
        ),
        Estimate(
            "either: changes of the text, of 9,000 teams",
            f"{CHANGES_PER_DAY} a day x `change-pause`",
            lambda m: (
                CHANGES_PER_DAY / SECONDS_PER_DAY * m["change-pause"] * 100
            ),
            "% of a core",
            3.5,
        ),
        Estimate(
            "either: the loop stands still per change",
            "`change-pause`",
            lambda m: m["change-pause"],
            "s",
            0.046,
        ),
    ),
    "Control: bytes": (
        Estimate(
            "router: sent and received, changes included",
            "`router-sent-bytes` + `router-received-bytes` +"
            f" {CHANGES_PER_DAY} a day x `change-bytes`",
            lambda m: _compute_control_rate(m, "router"),
            "KB/s",
            7.0,
        ),
        Estimate(
            "sidecar: sent and received, changes included",
            "the same of the sidecar",
            lambda m: _compute_control_rate(m, "sidecar"),
            "KB/s",
            7.0,
        ),
        Estimate(
            "either, while it holds a watch: a text of 1 MiB at each change",
            f"{CHANGES_PER_DAY} a day x 1 MiB",
            lambda m: CHANGES_PER_DAY / SECONDS_PER_DAY * TEXT_BYTES / 1e3,
            "KB/s",
            7.0,
        ),
        Estimate(
            "either, while it holds a watch: the list of VMs at each change",
            f"({FAILED_VMS_PER_DAY} + 2 x {RESTARTED_VMS_PER_DAY}) a day x"
            f" {ROUTERS + SIDECARS} x `list-size`",
            lambda m: (
                (FAILED_VMS_PER_DAY + 2 * RESTARTED_VMS_PER_DAY)
                / SECONDS_PER_DAY
                * (ROUTERS + SIDECARS)
                * m["list-size"]
                / 1e3
            ),
            "KB/s",
            7.0,
        ),
    ),
    "Control: reads of the platform": (
        Estimate(
            "all nodes, mean",
            "`platform-reads-mean`",
            lambda m: m["platform-reads-mean"],
            "1/s",
            2000,
        ),
        Estimate(
            "all nodes, worst second of a start of all",
            "`platform-reads-start`",
            lambda m: m["platform-reads-start"],
            "1/s",
            2000,
        ),
    ),
    "Memory": (
        Estimate(
            "router",
            "`router-idle-resident` + `router-peers` x `router-peer-memory` +"
            f" {ROUTERS + SIDECARS} x `vm-memory` + a full value's teams x"
            f" `router-adopt-memory` + {WAITING_REQUESTS} x `request-memory` +"
            f" {OPEN_STREAMS} x"
            " `router-stream-memory`",
            _compute_router_memory,
            "MiB",
            64,
        ),
        Estimate(
            "sidecar: accounts, each team at one model",
            f"{TEAMS} / {MODELS} x (`account-memory` +"
            f" ({SIDECARS} / {MODELS} - 1) x `entry-memory`)",
            _compute_account_memory,
            "MiB",
        ),
        Estimate(
            "sidecar, a tenth of the accounts, the others at rest",
            "as below, with a tenth of the accounts",
            lambda m: _compute_sidecar_memory(m, 0.1),
            "MiB",
            64,
        ),
        Estimate(
            "sidecar",
            "`sidecar-idle-resident` + `sidecar-peers` x"
            f" `sidecar-peer-memory` + {ROUTERS + SIDECARS} x `vm-memory` + a"
            " full value's teams x `router-adopt-memory` + accounts",
            _compute_sidecar_memory,
            "MiB",
            64,
        ),
        Estimate(
            "teams whose section fits into one value",
            "1 MiB / `text-size`",
            lambda m: TEXT_BYTES / m["text-size"],
            f"of {TEAMS}",
        ),
    ),
}


def format_estimates(
    measures: list[capacity_probe.Measure],
) -> list[str]:
    """Formats the tables of projected costs.

    A cost whose measures are missing is marked as not measured.
    """
    values = {measure.key: measure.value for measure in measures}
    lines = ["", "## Worked out for two years"]
    for title, estimates in ESTIMATES.items():
        lines += ["", f"### {title}", ""]
        lines.append("| what | value | at most | worked out as |")
        lines.append("|---|---|---|---|")
        lines += [_format_row(estimate, values) for estimate in estimates]
    return lines


def _format_row(estimate: Estimate, values: dict[str, float]) -> str:
    try:
        value = estimate.compute(values)
    except KeyError as missing:
        shown = f"not measured ({missing.args[0]})"
        return f"| {estimate.what} | {shown} | | {estimate.formula} |"
    budget = f"{estimate.budget:g}" if estimate.budget else ""
    if estimate.budget and value > estimate.budget:
        budget += " **over**"
    shown = f"{value:.3g} {estimate.unit}"
    return f"| {estimate.what} | {shown} | {budget} | {estimate.formula} |"
