"""Works out, from the measured slopes, what the size of two years costs."""

from collections.abc import Callable
import dataclasses

from benchmarks import capacity_fleet, capacity_probe, capacity_state

ROUTERS, SIDECARS = capacity_fleet.ROUTERS, capacity_fleet.SIDECARS
MODELS = capacity_fleet.MODELS
TEAMS = capacity_state.TEAMS
TOKENS, REQUESTS = 1_100_000, 4_400
CHANGES, FAILED, RESTARTED = 2_700, 9, 89
DAY = 86_400
MIB = 1 << 20
STREAMS = 40
"""Open streams of a router."""

WAITING = 1_000
"""Requests that wait at a router, a guess at a long queue."""

FIT = capacity_state.TEXT_LIMIT
"""Bytes of the operators' text at most."""


@dataclasses.dataclass(slots=True, frozen=True)
class Estimate:
    """One line of what is worked out.

    Attributes:
        what: What is worked out.
        formula: How, naming the measures.
        compute: The same, from the measured values by name.
        unit: Unit of the result.
        budget: What it may be at most; 0 if nothing is asked.
    """

    what: str
    formula: str
    compute: Callable[[dict[str, float]], float]
    unit: str
    budget: float = 0.0


def _spend_control(role: str) -> Callable[[dict[str, float]], float]:
    """Makes the function for a role's share of a core for control."""

    def compute(m: dict[str, float]) -> float:
        received = m[f"{role}-received"] * m[f"{role}-heartbeat-cpu"]
        sent = m[f"{role}-sent"] * m[f"{role}-send-cpu"]
        idle = m[f"{role}-idle-cpu"] + m[f"{role}-decisions-cpu"]
        return (received + sent) / 1e4 + idle

    return compute


def _count_bytes(m: dict[str, float], role: str) -> float:
    """Bytes that a node sends and receives for control, in KB per second."""
    messages = m[f"{role}-sent-bytes"] + m[f"{role}-received-bytes"]
    return (messages + CHANGES / DAY * m["change-bytes"]) / 1e3


def _hold_router(m: dict[str, float]) -> float:
    links = m["router-peers"] * m["router-peer-memory"]
    vms = (ROUTERS + SIDECARS) * m["vm-memory"]
    text = FIT / m["text-size"] * m["router-adopt-memory"]
    waiting = WAITING * m["request-memory"]
    streams = STREAMS * m["router-stream-memory"]
    state = links + vms + text + waiting + streams
    return m["router-idle-resident"] + state / MIB


def _hold_sidecar(m: dict[str, float], share: float = 1.0) -> float:
    links = m["sidecar-peers"] * m["sidecar-peer-memory"]
    vms = (ROUTERS + SIDECARS) * m["vm-memory"]
    text = FIT / m["text-size"] * m["router-adopt-memory"]
    state = links + vms + text + share * _hold_accounts(m) * MIB
    return m["sidecar-idle-resident"] + state / MIB


def _hold_accounts(m: dict[str, float]) -> float:
    """Accounts of a service's share of the teams, an entry per sidecar."""
    teams, owners = TEAMS / MODELS, SIDECARS / MODELS
    one = m["account-memory"] + (owners - 1) * m["entry-memory"]
    return teams * one / MIB


ESTIMATES = {
    "Data path": (
        Estimate(
            "router: tokens at the peak, to the most that kept the gap",
            f"({TOKENS} / {ROUTERS}) / `router-token-rate`",
            lambda m: TOKENS / ROUTERS / m["router-token-rate"],
            "",
            1.0,
        ),
        Estimate(
            "router: processor time of tokens and requests",
            f"{TOKENS} / {ROUTERS} x `router-token-cpu`",
            lambda m: TOKENS / ROUTERS * m["router-token-cpu"] / 1e4,
            "% of a core",
        ),
        Estimate(
            "sidecar: processor time of tokens and requests",
            f"{TOKENS} / {SIDECARS} x `sidecar-token-cpu`",
            lambda m: TOKENS / SIDECARS * m["sidecar-token-cpu"] / 1e4,
            "% of a core",
        ),
    ),
    "Control: processor time": (
        Estimate(
            "router",
            "`router-idle-cpu` + `router-decisions-cpu` + `router-received` x"
            " `router-heartbeat-cpu` + `router-sent` x `router-send-cpu`",
            _spend_control("router"),
            "% of a core",
            3.5,
        ),
        Estimate(
            "sidecar",
            "the same of the sidecar",
            _spend_control("sidecar"),
            "% of a core",
            3.5,
        ),
        Estimate(
            "either: changes of the text, of 9,000 teams",
            f"{CHANGES} a day x `change-pause`",
            lambda m: CHANGES / DAY * m["change-pause"] * 100,
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
            f" {CHANGES} a day x `change-bytes`",
            lambda m: _count_bytes(m, "router"),
            "KB/s",
            7.0,
        ),
        Estimate(
            "sidecar: sent and received, changes included",
            "the same of the sidecar",
            lambda m: _count_bytes(m, "sidecar"),
            "KB/s",
            7.0,
        ),
        Estimate(
            "either, while it holds a watch: a text of 1 MiB at each change",
            f"{CHANGES} a day x 1 MiB",
            lambda m: CHANGES / DAY * FIT / 1e3,
            "KB/s",
            7.0,
        ),
        Estimate(
            "either, while it holds a watch: the list of VMs at each change",
            f"({FAILED} + 2 x {RESTARTED}) a day x {ROUTERS + SIDECARS} x"
            " `list-size`",
            lambda m: (
                (FAILED + 2 * RESTARTED)
                / DAY
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
            f" `router-adopt-memory` + {WAITING} x `request-memory` +"
            f" {STREAMS} x"
            " `router-stream-memory`",
            _hold_router,
            "MiB",
            64,
        ),
        Estimate(
            "sidecar: accounts, each team at one model",
            f"{TEAMS} / {MODELS} x (`account-memory` +"
            f" ({SIDECARS} / {MODELS} - 1) x `entry-memory`)",
            _hold_accounts,
            "MiB",
        ),
        Estimate(
            "sidecar, a tenth of the accounts, the others at rest",
            "as below, with a tenth of the accounts",
            lambda m: _hold_sidecar(m, 0.1),
            "MiB",
            64,
        ),
        Estimate(
            "sidecar",
            "`sidecar-idle-resident` + `sidecar-peers` x"
            f" `sidecar-peer-memory` + {ROUTERS + SIDECARS} x `vm-memory` + a"
            " full value's teams x `router-adopt-memory` + accounts",
            _hold_sidecar,
            "MiB",
            64,
        ),
        Estimate(
            "teams whose section fits into one value",
            "1 MiB / `text-size`",
            lambda m: FIT / m["text-size"],
            f"of {TEAMS}",
        ),
    ),
}


def write_estimates(
    measures: list[capacity_probe.Measure],
) -> list[str]:
    """Writes the tables of what is worked out from measures."""
    values = {measure.key: measure.value for measure in measures}
    lines = ["", "## Worked out for two years"]
    for title, estimates in ESTIMATES.items():
        lines += ["", f"### {title}", ""]
        lines.append("| what | value | at most | worked out as |")
        lines.append("|---|---|---|---|")
        lines += [_write_line(estimate, values) for estimate in estimates]
    return lines


def _write_line(estimate: Estimate, values: dict[str, float]) -> str:
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
